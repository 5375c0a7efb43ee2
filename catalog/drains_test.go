package catalog_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/catalog"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/drain"
	"github.com/almondflow/almondflow/inband"
)

func drainOf(domain string, revision inband.Revision) drain.Mark {
	return drain.Mark{Domain: domain, Revision: revision}
}

func endOf(domain string, revision inband.Revision) drain.Mark {
	return drain.Mark{Domain: domain, Revision: revision, HasEnded: true}
}

// newDrains returns changes that hold drains only.
func newDrains(revision inband.Revision, marks ...drain.Mark) *catalog.Changes {
	return &catalog.Changes{Revision: revision, Drains: marks}
}

// fullRead returns a complete read with drains, as its pages give it.
func fullRead(revision inband.Revision, marks ...drain.Mark) *catalog.Changes {
	page := newChanges(1, revision)
	page.Drains = marks
	read := catalog.FullRead{}
	full, _ := read.AddLastPage(page)
	return full
}

// newDrainedCatalog returns a catalog that has read that domain a is drained.
func newDrainedCatalog() *catalog.Catalog {
	c := catalog.New()
	c.Replace(0, 0, fullRead(10, drainOf("a", 9)))
	return c
}

// Each case brings about one failure on the way from the store to a VM.
func TestDrainsUnderFailures(t *testing.T) {
	now := clock.Millis(100)
	tests := []struct {
		name string
		fail func(c *catalog.Catalog)
		want []drain.Mark
	}{
		{"none", func(*catalog.Catalog) {}, []drain.Mark{drainOf("a", 9)}},
		{"late message with an older end", func(c *catalog.Catalog) { c.Apply(now, now, newDrains(0, endOf("a", 8))) }, []drain.Mark{drainOf("a", 9)}},
		{"late message brings no drain back", func(c *catalog.Catalog) {
			c.Apply(now, now, newDrains(12, endOf("a", 12)))
			c.Apply(now, now, newDrains(0, drainOf("a", 9)))
		}, nil},
		{"end arrives before its begin", func(c *catalog.Catalog) {
			c.Apply(now, now, newDrains(0, endOf("b", 14)))
			c.Apply(now, now, newDrains(0, drainOf("b", 13)))
		}, []drain.Mark{drainOf("a", 9)}},
		{"full read after the history was lost", func(c *catalog.Catalog) { c.Replace(now, now, fullRead(20)) }, nil},
		{"full read that began before the drain", func(c *catalog.Catalog) { c.Replace(now, now, fullRead(8)) }, []drain.Mark{drainOf("a", 9)}},
		{"full read that is late", func(c *catalog.Catalog) {
			c.Apply(now, now, newDrains(12, endOf("a", 12)))
			c.Replace(now, now, fullRead(11, drainOf("a", 9)))
		}, nil},
		{"page of an unfinished full read", func(c *catalog.Catalog) { c.MergeMarks(now, []drain.Mark{drainOf("b", 13)}) }, []drain.Mark{drainOf("a", 9), drainOf("b", 13)}},
		{"old view of a sibling", func(c *catalog.Catalog) {
			c.Apply(now, now, newDrains(12, endOf("a", 12)))
			c.Apply(now, now, newDrainedCatalog().ChangesSince(0, 1, 0))
		}, nil},
		{"sibling that never heard of drains", func(c *catalog.Catalog) { c.Apply(now, now, newDrains(20)) }, []drain.Mark{drainOf("a", 9)}},
		{"sibling of the same revision that lacks it", func(c *catalog.Catalog) {
			sibling := catalog.New()
			sibling.Replace(0, 0, fullRead(10))
			c.Apply(now, now, sibling.ChangesSince(0, 1, c.Revision()))
		}, nil},
		{"sibling of the same revision that knows no drains", func(c *catalog.Catalog) {
			sibling := catalog.New()
			sibling.Replace(0, 0, withoutDrains(fullRead(10)))
			c.Apply(now, now, sibling.ChangesSince(0, 1, c.Revision()))
		}, []drain.Mark{drainOf("a", 9)}},
		{"the end was missed in a pause of hours", func(c *catalog.Catalog) {
			sibling := catalog.New()
			sibling.Replace(0, 0, fullRead(20))
			c.Apply(now, now, sibling.ChangesSince(0, 1, c.Revision()))
		}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newDrainedCatalog()
			tt.fail(c)
			is.Equal(c.Drains(), tt.want)
		})
	}
}

// A VM that starts while the store is down learns of a drain from the view of a sibling.
func TestViewHoldsDrainsAndTombstones(t *testing.T) {
	is := is.New(t)
	known := newDrainedCatalog()
	known.Apply(1, 1, newDrains(12, drainOf("b", 11), endOf("c", 12)))
	starting := catalog.New()
	starting.Replace(2, 2, known.ChangesSince(0, 0, 0))
	is.Equal(starting.Drains(), []drain.Mark{drainOf("a", 9), drainOf("b", 11)})
	is.Equal(starting.Digest(), known.Digest())
	starting.Apply(3, 3, newDrains(0, drainOf("c", 10)))
	is.Equal(len(starting.Drains()), 2) // the sibling told of the end
}

// withoutDrains returns the view of a sibling whose version knows no drains.
func withoutDrains(view *catalog.Changes) *catalog.Changes {
	view.Drains, view.HasAllDrains = nil, false
	return view
}

// A VM that started with the view of a sibling that knows no drains ends none at others, until it has read the
// store.
func TestViewWithoutDrainsEndsNone(t *testing.T) {
	is := is.New(t)
	starting, known := catalog.New(), newDrainedCatalog()
	starting.Replace(0, 0, withoutDrains(known.ChangesSince(0, 0, 0)))
	starting.Confirm(1, 11)
	known.Apply(2, 2, starting.ChangesSince(0, 1, 10))
	is.Equal(known.Drains(), []drain.Mark{drainOf("a", 9)})

	starting.Replace(3, 3, fullRead(12))
	known.Apply(4, 4, starting.ChangesSince(0, 1, 10))
	is.Equal(len(known.Drains()), 0)
}

// VMs that send each other their views must not keep the end of a drain alive.
func TestTombstonesOfSiblingsDie(t *testing.T) {
	is := is.New(t)
	a, b := newDrainedCatalog(), newDrainedCatalog()
	a.Apply(0, 0, newDrains(12, endOf("a", 12)))
	for now := clock.Millis(0); now <= 20*clock.Minute; now += 100 * clock.Second {
		b.Apply(now, now, a.ChangesSince(now, 1, 10))
		a.Prune(now)
		a.Apply(now, now, b.ChangesSince(now, 1, 10))
		b.Prune(now + 50*clock.Second)
	}
	is.Equal(len(a.ChangesSince(0, 1, 10).Drains), 0)
	is.Equal(len(b.ChangesSince(0, 1, 10).Drains), 0)
}

// The digest tells a VM that it missed a drain or its end.
func TestDigestCoversDrains(t *testing.T) {
	is := is.New(t)
	without := catalog.New()
	without.Replace(0, 0, fullRead(10))
	with := newDrainedCatalog()
	is.True(with.Digest() != without.Digest())
	with.Apply(1, 1, newDrains(12, endOf("a", 12)))
	is.Equal(with.Digest(), without.Digest())
}

func TestPageOfAStartingVMHoldsDrains(t *testing.T) {
	is := is.New(t)
	c := catalog.New()
	c.MergePage(0, newDrains(10, drainOf("a", 9)))
	is.Equal(c.Drains(), []drain.Mark{drainOf("a", 9)})
	is.Equal(c.Revision(), inband.Revision(0)) // the read is not complete
}

func TestPagesOfAFullReadKeepDrains(t *testing.T) {
	is := is.New(t)
	var read catalog.FullRead
	read.AddPage(newDrains(10, drainOf("a", 9)), "x")
	read.AddPage(newDrains(12, drainOf("b", 11)), "y")
	full, _ := read.AddLastPage(newChanges(1, 13))
	is.Equal(full.Drains, []drain.Mark{drainOf("a", 9), drainOf("b", 11)})
	is.Equal(full.Revision, inband.Revision(10)) // the pages are no snapshot
}

func TestChangesOfDrainsAreDescribed(t *testing.T) {
	is := is.New(t)
	c := newDrainedCatalog()
	before := c.Generation()
	mark := endOf("a", 12)
	is.Equal(c.Apply(1, 1, newDrains(12, mark)), []catalog.Change{
		{Subject: "domain a", Before: "drained since revision 9", After: "not drained since revision 12", Drain: &mark},
	})
	is.True(c.Generation() > before)
	is.Equal(len(c.Apply(2, 2, newDrains(12, mark))), 0) // it is known
}
