package front

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/inband"
)

// bindFeed puts tables into force whose only route is bound to a region.
func (d *Daemon) bindFeed(region string) {
	content := storeContent(20)
	content.Tables.Version = 2
	content.Tables.Routes[0].AllowedRegions = []string{region}
	d.mergeRead(20, content)
}

func TestRegionsOfTheSettings(t *testing.T) {
	tests := []struct {
		name         string
		before       string // setting at the start
		after        string // and once it was reloaded
		want         []string
		isUnreadable bool // one of them
	}{
		{"unchanged", "a=east,b=west", "a=east,b=west", []string{"a"}, false},
		{"changed", "a=east,b=west", "a=west,b=east", []string{"b"}, false},
		{"a domain is added", "a=east", "a=east,b=east", []string{"a", "b"}, false},
		{"unreadable later", "a=east,b=west", "a", []string{"a"}, true},
		{"unreadable at first", "{{#zones}}{{@}}={{.}}{{,}}{{/zones}}", "a=east,b=west", []string{"a"}, true},
		{"none", "", "", nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			settings := func(regions string) []byte {
				return []byte(strings.Replace(validSettings, `"policy":"naive"`, `"policy":"naive","regions":"`+regions+`"`, 1))
			}
			parsed, err := ParseSettings(settings(tt.before))
			is.NoErr(err)
			d, err := New(parsed, Options{})
			is.NoErr(err)
			t.Cleanup(func() { is.NoErr(d.sockets.close()) })
			d.mergeRead(10, storeContent(10))
			d.bindFeed("east")
			path := filepath.Join(t.TempDir(), "settings.json")
			is.NoErr(os.WriteFile(path, settings(tt.after), 0o600))
			d.Reload(path)
			is.Equal(d.newFlowDomains(), tt.want)
			var lines strings.Builder
			is.NoErr(d.logWriter.flush(&lines))
			is.Equal(strings.Contains(lines.String(), "msg=regions_unreadable"), tt.isUnreadable)
		})
	}
}

// A view that a sibling sends holds the regions of routes, whole or as a difference.
func TestSiblingsTellRegionsOfRoutes(t *testing.T) {
	is := is.New(t)
	d, sibling := newReadDaemon(t), newReadDaemon(t)
	sibling.bindFeed("north")
	changes := sibling.catalog.ChangesSince(20, d.catalog.Tables().Version, d.catalog.Revision())
	d.mergeChanges(20, 20, changes, false, "sibling")
	is.Equal(d.catalog.Tables().Routes[0].AllowedRegions, []string{"north"})
	is.Equal(len(d.newFlowDomains()), 0)
	is.Equal(d.engine.BoundRoutes(20), []inband.BoundRoute{{Name: "feed", AllowedRegions: []string{"north"}}})
}
