package front

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a view whose fields differ in case, or occur twice, being taken for a sibling's.
func TestMisspelledFieldsOfAView(t *testing.T) {
	for text, isView := range map[string]bool{
		`{"digest":1,"changes":{"targets":[],"revision":7}}`:                true,
		`{"digest":1,"Changes":{"targets":[],"revision":7}}`:                false,
		`{"digest":1,"changes":{"revision":7},"changes":{"revision":8}}`:    false,
		`{"digest":1,"changes":{"targets":[{"id":"i-1","ID":"i-2"}]}}`:      true,
		`{"digest":1,"changes":{"targets":[{"id":"i-1","id":"i-2"}]}}`:      false,
		`{"digest":1,"changes":{"targets":[],"revision":7}} {"changes":{}}`: false,
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(viewAgeHeader, "5")
				_, _ = w.Write([]byte(text))
			}))
			defer server.Close()
			view, err := fetchView(context.Background(), netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), 0, 0)
			is.Equal(err == nil, isView)
			if isView && len(view.Changes.Targets) > 0 {
				is.Equal(view.Changes.Targets[0].ID, "i-1")
			}
		})
	}
}
