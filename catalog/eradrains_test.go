package catalog_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/catalog"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/drain"
	"github.com/almondflow/almondflow/inband"
)

const (
	returnedAt = 1 * clock.Second  // the store came back from an older copy
	rewritten  = 15 * clock.Second // after that, no drain is written again
)

// in returns a mark with its revision in an era.
func in(era uint64, m drain.Mark) drain.Mark {
	m.Revision = inband.NewRevision(era, uint64(m.Revision))
	return m
}

// listOfEra returns a complete read of the store in an era.
func listOfEra(era, number uint64, marks ...drain.Mark) *catalog.Changes {
	return fullRead(inband.NewRevision(era, number), marks...)
}

// newCatalogOfALostDrain returns a catalog that knew of a drain when the store came back without it.
func newCatalogOfALostDrain() *catalog.Catalog {
	c := catalog.New()
	c.Replace(0, 0, listOfEra(1, 100, in(1, drainOf("a", 97))))
	c.Replace(returnedAt, returnedAt, listOfEra(2, 98))
	return c
}

// settle goes by what the store shows if the time to write drains again is over, in a view that was current all the time.
func settle(c *catalog.Catalog, now clock.Millis) []catalog.Change {
	for at := now - c.Age(now); at < now; at += clock.Second {
		c.Confirm(at, c.Revision())
	}
	c.Confirm(now, c.Revision())
	return c.SettleDrains(now)
}

// A copy of the store may lack a drain that the operator writes again, or whose end this VM has missed.
func TestDrainsThatACopyLacks(t *testing.T) {
	lost := in(1, drainOf("a", 97))
	written := in(2, drainOf("a", 99))
	tests := []struct {
		name   string
		change func(c *catalog.Catalog)
		at     clock.Millis
		want   []drain.Mark
	}{
		{"not written again yet", func(*catalog.Catalog) {}, returnedAt + rewritten - 1, []drain.Mark{lost}},
		{"never written again", func(*catalog.Catalog) {}, returnedAt + rewritten, nil},
		{"written again", func(c *catalog.Catalog) {
			c.Apply(returnedAt+1, returnedAt+1, newDrains(written.Revision, written))
		}, returnedAt + clock.Minute, []drain.Mark{written}},
		{"written again and ended", func(c *catalog.Catalog) {
			c.Apply(returnedAt+1, returnedAt+1, newDrains(written.Revision, written))
			c.Apply(returnedAt+2, returnedAt+2, newDrains(inband.NewRevision(2, 100), in(2, endOf("a", 100))))
		}, returnedAt + 2, nil},
		{"sibling knows that it ended before the store's return", func(c *catalog.Catalog) {
			c.Apply(returnedAt+1, returnedAt+1, newDrains(c.Revision(), in(1, endOf("a", 98))))
		}, returnedAt + 1, nil},
		{"sibling has ended it", func(c *catalog.Catalog) {
			c.Apply(returnedAt+1, returnedAt+1, newDrains(c.Revision(), in(2, endOf("a", 98))))
		}, returnedAt + 1, nil},
		{"another list that lacks it", func(c *catalog.Catalog) {
			c.Apply(returnedAt+1, returnedAt+1, listOfEra(2, 120))
		}, returnedAt + 2, []drain.Mark{lost}},
		{"another return of the store", func(c *catalog.Catalog) {
			c.Replace(returnedAt+rewritten-1, returnedAt+rewritten-1, listOfEra(3, 90))
		}, returnedAt + 2*rewritten - 2, []drain.Mark{lost}},
		{"late message that tells of it", func(c *catalog.Catalog) {
			settle(c, returnedAt+rewritten)
			c.Apply(returnedAt+rewritten+1, returnedAt+rewritten+1, newDrains(c.Revision(), lost))
		}, returnedAt + rewritten + 1, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newCatalogOfALostDrain()
			tt.change(c)
			settle(c, tt.at)
			is.Equal(c.Drains(), tt.want)
		})
	}
}

// A copy of the store may show a drain that has ended since. It stays ended while the operator may write that again;
// another domain may be drained by now, and both would leave callers without targets.
func TestDrainsThatACopyShowsAgain(t *testing.T) {
	ended := in(1, endOf("a", 99))
	shown := in(2, drainOf("a", 97))
	apply := func(c *catalog.Catalog, m drain.Mark) { c.Apply(returnedAt+1, returnedAt+1, newDrains(m.Revision, m)) }
	tests := []struct {
		name   string
		change func(c *catalog.Catalog)
		at     clock.Millis
		want   []drain.Mark
	}{
		{"end not written again yet", func(*catalog.Catalog) {}, returnedAt + rewritten - 1, nil},
		{"end never written again", func(*catalog.Catalog) {}, returnedAt + rewritten, []drain.Mark{shown}},
		{"end written again", func(c *catalog.Catalog) { apply(c, in(2, endOf("a", 100))) }, returnedAt + rewritten, nil},
		{"drained anew", func(c *catalog.Catalog) { apply(c, in(2, drainOf("a", 100))) }, returnedAt + 1, []drain.Mark{in(2, drainOf("a", 100))}},
		{"shown again by another copy", func(c *catalog.Catalog) {
			c.Replace(returnedAt+2, returnedAt+2, listOfEra(3, 98, in(3, drainOf("a", 97))))
		}, returnedAt + rewritten, nil},
		{"not shown by another copy", func(c *catalog.Catalog) {
			c.Replace(returnedAt+2, returnedAt+2, listOfEra(3, 96))
		}, returnedAt + clock.Minute, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c, starting := catalog.New(), catalog.New()
			c.Replace(0, 0, listOfEra(1, 97, in(1, drainOf("a", 97))))
			c.Apply(1, 1, newDrains(ended.Revision, ended))
			c.Replace(returnedAt, returnedAt, listOfEra(2, 98, shown))
			starting.Replace(returnedAt, returnedAt, listOfEra(2, 98, shown))
			is.Equal(len(c.Drains()), 0)
			is.Equal(starting.Drains(), []drain.Mark{shown}) // it knows of no end
			is.Equal(c.Digest(), starting.Digest())
			tt.change(c)
			settle(c, tt.at)
			is.Equal(c.Drains(), tt.want)
		})
	}
}

// While the store is away, the operator can't write the drain again.
func TestLostDrainOutlivesAnOutage(t *testing.T) {
	is := is.New(t)
	c := newCatalogOfALostDrain()
	is.Equal(len(c.SettleDrains(returnedAt+rewritten)), 0) // the view has not been confirmed since
	back := returnedAt + rewritten
	c.Confirm(back, c.Revision())
	is.Equal(len(settle(c, back+rewritten-1)), 0)
	is.Equal(len(settle(c, back+rewritten)), 1)
}

// What is settled is described like what the operator wrote, and a drain of the era ends as ever.
func TestEndOfALostDrainIsAChange(t *testing.T) {
	is := is.New(t)
	c := newCatalogOfALostDrain()
	generation := c.Generation()
	mark := in(2, endOf("a", 98))
	is.Equal(settle(c, returnedAt+rewritten), []catalog.Change{{
		Subject: "domain a", Before: "drained since revision 1/97", After: "not drained since revision 2/98", Drain: &mark,
	}})
	is.True(c.Generation() > generation)

	again := in(3, drainOf("a", 97))
	c.Replace(2*returnedAt+rewritten, 2*returnedAt+rewritten, listOfEra(3, 97, again))
	generation = c.Generation()
	is.Equal(settle(c, 2*(returnedAt+rewritten)), []catalog.Change{{
		Subject: "domain a", Before: "not drained", After: "drained since revision 3/97", Drain: &again,
	}})
	is.True(c.Generation() > generation)
}

func TestDrainOfTheEraEndsWithAList(t *testing.T) {
	is := is.New(t)
	c := newCatalogOfALostDrain()
	settle(c, returnedAt+rewritten)
	c.Apply(returnedAt+rewritten, returnedAt+rewritten, newDrains(inband.NewRevision(2, 130), in(2, drainOf("b", 130))))
	is.Equal(len(settle(c, returnedAt+clock.Minute)), 0) // b was written in this era
	c.Apply(returnedAt+clock.Minute, returnedAt+clock.Minute, listOfEra(2, 140))
	is.Equal(len(c.Drains()), 0)
}

// A VM that learns of the era by a sibling's message, without reading a list, ends the drain as the others do.
func TestLostDrainWithoutAList(t *testing.T) {
	is := is.New(t)
	c := catalog.New()
	c.Replace(0, 0, listOfEra(1, 100, in(1, drainOf("a", 97))))
	c.Confirm(returnedAt, inband.NewRevision(2, 98))
	is.Equal(len(settle(c, returnedAt+rewritten-1)), 0)
	is.Equal(len(settle(c, returnedAt+rewritten)), 1)
}

// A VM that joins from the store alone lacks the drain that the others keep. Siblings tell it, but not of drains
// whose time is over, as one does that comes back after a long time alone.
func TestVMThatJoinsHearsOfLostDrains(t *testing.T) {
	is := is.New(t)
	lost := in(1, drainOf("a", 97))
	known, joined := newCatalogOfALostDrain(), catalog.New()
	joined.Replace(returnedAt, returnedAt, listOfEra(2, 98))
	is.True(joined.Digest() != known.Digest())
	view := known.ChangesSince(returnedAt+1, 1, joined.Revision())
	joined.Apply(returnedAt+1, returnedAt+1, view)
	is.Equal(joined.Drains(), []drain.Mark{lost})
	is.Equal(joined.Digest(), known.Digest())
	is.Equal(len(settle(joined, returnedAt+rewritten)), 1)

	late := catalog.New()
	late.Replace(returnedAt, returnedAt, listOfEra(2, 98))
	settle(late, returnedAt+rewritten)
	late.Apply(returnedAt+rewritten, returnedAt+rewritten, view)
	is.Equal(len(late.Drains()), 0)
	is.Equal(len(known.Drains()), 1) // late tells it of no end that it does not know
}
