package published_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/published"
)

// TestDocumentedSplitValueIsAccepted reads the split value that docs/PLATFORM.md shows as
// an example.
func TestDocumentedSplitValueIsAccepted(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(filepath.Join("..", "docs", "PLATFORM.md"))
	is.NoErr(err)
	names := regexp.MustCompile("(?m)^(?:Part|Value) `(.*)`:$").FindAllStringSubmatch(string(page), -1)
	blocks := regexp.MustCompile("(?s)```json\n(.*?)```").FindAllStringSubmatch(string(page), -1)
	is.Equal(len(names), 3)
	is.Equal(len(blocks), 3)
	s, p, store := newService(), newPoller(true), published.NewStore()
	for i, name := range names {
		s.publish(name[1], 9, strings.TrimSpace(blocks[i][1]))
	}
	updates := runPoller(p, s, 0, clock.Second)
	is.Equal(len(updates), 1) // the digests of the parts match the head
	verdict, err := store.OfferUpdate(0, "platform", updates[0])
	is.NoErr(err)
	is.Equal(verdict, published.Accepted)
	is.Equal(store.Tables().Version(), uint64(9))
}
