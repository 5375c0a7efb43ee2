package front

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/almondflow/almondflow/clock"
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
		isChanged    bool // what is in force
	}{
		{"unchanged", "a=east,b=west", "a=east,b=west", []string{"a"}, false, false},
		{"in another order", "a=east,b=west", "b=west, a=east", []string{"a"}, false, false},
		{"changed", "a=east,b=west", "a=west,b=east", []string{"b"}, false, true},
		{"a domain is added", "a=east", "a=east,b=east", []string{"a", "b"}, false, true},
		{"unreadable later", "a=east,b=west", "a", []string{"a"}, true, false},
		{"unreadable at first", "{{#zones}}{{@}}={{.}}{{,}}{{/zones}}", "a=east,b=west", []string{"a"}, true, true},
		{"none", "", "", nil, false, false},
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
			is.Equal(strings.Contains(lines.String(), "msg=regions_changed"), tt.isChanged)
		})
	}
}

func TestChangedRegionsAreAudited(t *testing.T) {
	is := is.New(t)
	d := newDaemon(t, Options{})
	path := filepath.Join(t.TempDir(), "settings.json")
	for _, regions := range []string{"b=west, a=east", "a=east,b=west", "a", "a=east"} {
		settings := strings.Replace(validSettings, `"policy":"naive"`, `"policy":"naive","regions":"`+regions+`"`, 1)
		is.NoErr(os.WriteFile(path, []byte(settings), 0o600))
		d.Reload(path)
	}
	var changes []AuditRecord
	for _, record := range d.auditTrail.list() {
		if record.Subject == "regions" {
			record.AtMS = 0
			changes = append(changes, record)
		}
	}
	is.Equal(changes, []AuditRecord{
		{Subject: "regions", After: "a=east,b=west", Source: path},
		{Subject: "regions", Before: "a=east,b=west", After: "a=east", Source: path},
	})
	var lines strings.Builder
	is.NoErr(d.logWriter.flush(&lines))
	is.True(strings.Contains(lines.String(), `before="a=east,b=west" after="a=east" source=`))
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

// A pool of some regions is not taken for that of the whole service.
func TestRefusalsAreToldApartByRegion(t *testing.T) {
	is := is.New(t)
	pools := append(refusing(0.2), refusing(0.1)...)
	pools[1].AllowedRegions = []string{"east", "west"}
	l := &refusalLog{}
	is.Equal(len(l.update(0, pools)), 2)
	is.Equal(len(l.update(500, pools)), 0)
	pools[1].Shares[1].Refused = 0
	changes := l.update(2*clock.Second, pools)
	is.Equal(len(changes), 1)
	is.True(!changes[0].isBegin)
	is.Equal(regionNames(changes[0].pool.AllowedRegions), "east,west")
}

func TestMetricsTellRegionsApart(t *testing.T) {
	is := is.New(t)
	settings, err := ParseSettings([]byte(strings.Replace(validSettings, `"policy":"naive"`, `"policy":"local","regions":"a=east,b=west"`, 1)))
	is.NoErr(err)
	d, err := New(settings, Options{DecodeParts: func([]string) Parts { return Parts{SharesLoad: true} }})
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(d.sockets.close()) })
	d.mergeRead(10, storeContent(10))
	d.bindFeed("east")
	d.updateMetrics(20)
	var text strings.Builder
	is.NoErr(writeSnapshot(&text, d.metrics.scope.(tally.TestScope).Snapshot()))
	is.True(strings.Contains(text.String(), `almondflow_front_spill_share{regions="east",service="core"} 0`))
	is.True(strings.Contains(text.String(), `almondflow_front_spill_share{service="core"} 0`))
}

func TestSummaryOfSettings(t *testing.T) {
	tests := []struct{ name, regions, want string }{
		{"none", "", "entry VM front-a-1 in a, policy local, regions of 0 failure domains"},
		{"two", "a=east,b=west", "entry VM front-a-1 in a, policy local, regions of 2 failure domains"},
		{"unreadable", "a", `entry VM front-a-1 in a, policy local, regions unreadable: not a failure domain with its region: "a"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &Settings{Name: "front-a-1", Domain: "a", Policy: policyLocal, Regions: tt.regions}
			is.New(t).Equal(s.Summary(), tt.want)
		})
	}
}
