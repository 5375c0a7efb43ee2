package catalog_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/catalog"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/drain"
	"github.com/almondflow/almondflow/inband"
)

// inEra returns changes with all their revisions in an era.
func inEra(era uint64, c *catalog.Changes) *catalog.Changes {
	c.Revision = inband.NewRevision(era, uint64(c.Revision))
	for _, t := range c.Targets {
		t.Revision = inband.NewRevision(era, uint64(t.Revision))
	}
	return c
}

// states returns the states of all targets, by id.
func states(c *catalog.Catalog) map[string]inband.State {
	all := map[string]inband.State{}
	for _, e := range c.Entries() {
		all[e.Target().ID] = e.Target().State
	}
	return all
}

// newCatalogOfEra returns a catalog that read revision 100 of an era, in version 5 of the tables.
func newCatalogOfEra(era uint64, targets ...*inband.Target) *catalog.Catalog {
	c := catalog.New()
	c.Replace(0, 0, inEra(era, newChanges(5, 100, targets...)))
	return c
}

// A store that came back from an older copy holds less, at lower numbers. A full read replaces what was known,
// but for the tables, which never go back. Targets that it lacks may publish themselves again.
func TestFullReadOfANewEra(t *testing.T) {
	is := is.New(t)
	c := newCatalogOfEra(1, newTarget("i-1", 90, inband.Serving), newTarget("i-2", 95, inband.Serving), newTarget("i-3", 95, inband.Leaving))
	c.Replace(500, 500, inEra(2, newChanges(3, 80, newTarget("i-1", 70, inband.Serving))))
	is.Equal(states(c), map[string]inband.State{"i-1": inband.Serving, "i-2": inband.Gone, "i-3": inband.Gone})
	is.Equal(c.Tables().Version, int64(5))
	is.Equal(c.Revision(), inband.NewRevision(2, 80))
	is.True(c.Entries()[1].FallbackUntil() > 500)
	is.True(c.Entries()[1].MayReturnUntil() > 500)
	is.True(c.Entries()[2].MayReturnUntil() > 500)
	c.Apply(600, 600, inEra(2, newChanges(0, 81, newTarget("i-2", 81, inband.Serving))))
	is.Equal(states(c)["i-2"], inband.Serving)
}

// What was read before the store came back is no news afterwards, from wherever it comes. Newer tables are: the
// operator publishes them again.
func TestChangesOfAnEarlierEra(t *testing.T) {
	older := func() *catalog.Changes {
		return inEra(1, newChanges(6, 200, newTarget("i-1", 150, inband.Leaving), newTarget("i-3", 160, inband.Serving)))
	}
	tests := []struct {
		name  string
		merge func(c *catalog.Catalog)
	}{
		{"changes", func(c *catalog.Catalog) { c.Apply(900, 900, older()) }},
		{"full read", func(c *catalog.Catalog) { c.Replace(900, 900, older()) }},
		{"confirmation", func(c *catalog.Catalog) {
			c.Apply(900, 100, &catalog.Changes{Tables: &inband.Tables{Version: 6}, Revision: inband.NewRevision(2, 80)})
			c.Confirm(900, inband.NewRevision(1, 200))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newCatalogOfEra(2, newTarget("i-1", 70, inband.Serving), newTarget("i-2", 70, inband.Serving))
			tt.merge(c)
			is.Equal(states(c), map[string]inband.State{"i-1": inband.Serving, "i-2": inband.Serving})
			is.Equal(c.Revision(), inband.NewRevision(2, 100))
			is.True(c.Age(900) >= 800) // not confirmed by that
			is.Equal(c.Tables().Version, int64(6))
		})
	}
}

// A full read that began before the store came back ends no target, also where the new era has only been heard
// of.
func TestFullReadOfAnEarlierEraEndsNothing(t *testing.T) {
	is := is.New(t)
	c := newCatalogOfEra(1, newTarget("i-1", 90, inband.Serving))
	c.Confirm(100, inband.NewRevision(2, 80))
	c.Replace(200, 200, inEra(1, newChanges(5, 150)))
	is.Equal(states(c)["i-1"], inband.Serving)
}

// A copy may show a target as serving that has begun to leave, or has left, since. The target does not come
// back from that; its next start does.
func TestCopyDoesNotBringLeavingTargetsBack(t *testing.T) {
	nextStart := newTarget("i-1", 70, inband.Serving)
	nextStart.StartedAtMS = 9
	tests := []struct {
		name   string
		before inband.State
		era    uint64
		target *inband.Target
		want   inband.State
	}{
		{"leaving", inband.Leaving, 2, newTarget("i-1", 70, inband.Serving), inband.Leaving},
		{"left", inband.Gone, 2, newTarget("i-1", 70, inband.Serving), inband.Gone},
		{"the next start", inband.Leaving, 2, nextStart, inband.Serving},
		{"no copy, its own word", inband.Leaving, 1, newTarget("i-1", 120, inband.Serving), inband.Serving},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newCatalogOfEra(1, newTarget("i-1", 90, inband.Leaving))
			if tt.before == inband.Gone {
				c.Apply(100, 100, inEra(1, newChanges(0, 101, newTarget("i-1", 101, inband.Gone))))
			}
			c.Replace(500, 500, inEra(tt.era, newChanges(5, 130, tt.target)))
			is.Equal(states(c)["i-1"], tt.want)
		})
	}
}

// A full read that the store's return divides starts again.
func TestFullReadAcrossEras(t *testing.T) {
	is := is.New(t)
	var read catalog.FullRead
	is.Equal(read.Next(0), "")
	first := inEra(1, newChanges(5, 100, newTarget("i-1", 90, inband.Serving)))
	is.NoErr(read.CheckEra(first))
	read.AddPage(first, "i-1")
	is.Equal(read.Next(100), "i-1")
	is.True(read.CheckEra(inEra(2, newChanges(0, 80))) != nil)
	is.Equal(read.Next(200*clock.Millisecond), "")
}

// A copy may lack a drain that began since. The operator writes it again, and until then the domain stays drained.
func TestDrainOutlivesACopyThatLacksIt(t *testing.T) {
	is := is.New(t)
	c := newCatalogOfEra(1, newTarget("i-1", 90, inband.Serving))
	began := inEra(1, &catalog.Changes{Revision: 101})
	began.Drains = []drain.Mark{{Domain: "a", Revision: inband.NewRevision(1, 101)}}
	c.Apply(100, 100, began)
	is.Equal(len(c.Drains()), 1)
	list := inEra(2, newChanges(5, 95, newTarget("i-1", 70, inband.Serving)))
	list.HasAllDrains = true
	c.Replace(500, 500, list)
	is.Equal(len(c.Drains()), 1)
}
