package catalog_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/catalog"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// unusable returns an entry of another writer as the store's client decodes it, without any other field.
func unusable(revision inband.Revision) *inband.Target {
	return &inband.Target{ID: "i-1", State: inband.Unusable, Revision: revision}
}

// Guards against a target whose flows end because another writer's entry stands in place of its own (review/9): it
// gets no new flows, may be running, and its next entry tells its state again.
func TestUnusableEntryEndsNoTarget(t *testing.T) {
	for _, before := range []inband.State{inband.Serving, inband.Leaving} {
		t.Run(before.String(), func(t *testing.T) {
			is := is.New(t)
			c := catalog.New()
			c.Replace(0, 0, newChanges(1, 10, newTarget("i-1", 9, before)))
			address := entryI1(c).Target().Address
			c.TakeChanged()
			is.Equal(len(c.Apply(100, 100, newChanges(0, 11, unusable(11)))), 1)
			is.Equal(entryI1(c).Target().State, inband.Unusable)
			is.Equal(entryI1(c).Target().Address, address) // for its open flows
			is.Equal(entryI1(c).FallbackUntil(), clock.Millis(0))
			is.Equal(len(c.TakeChanged()), 1)
			is.Equal(len(c.Apply(150, 150, newChanges(0, 12, unusable(12)))), 0) // written again
			c.Replace(clock.Minute, clock.Minute, newChanges(1, 13, unusable(12)))
			is.Equal(entryI1(c).Target().State, inband.Unusable) // however long it stands there
			c.Prune(4 * clock.Minute)
			c.Apply(4*clock.Minute, 4*clock.Minute, newChanges(0, 14, newTarget("i-1", 14, before)))
			is.Equal(entryI1(c).Target().State, before)
		})
	}
}

// What a target was before another writer's entry is what its end is judged by (review/12): an entry "is removed when
// the host has left, or after three heartbeat intervals of silence".
func TestUnusableEntryThatEnds(t *testing.T) {
	for _, before := range []inband.State{inband.Serving, inband.Leaving} {
		for _, isStale := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stale view %t", before, isStale), func(t *testing.T) {
				is := is.New(t)
				c, without := catalog.New(), catalog.New()
				for _, k := range []*catalog.Catalog{c, without} {
					k.Replace(0, 0, newChanges(1, 10, newTarget("i-1", 9, before)))
				}
				c.Apply(100, 100, newChanges(0, 11, unusable(11)))
				c.Apply(200, 200, newChanges(0, 12, unusable(12)))
				endedAt := clock.Millis(300)
				if isStale {
					endedAt = 4 * clock.Second
				}
				for _, k := range []*catalog.Catalog{c, without} {
					k.Apply(endedAt, endedAt, newChanges(0, 13, newTarget("i-1", 13, inband.Gone)))
				}
				is.Equal(entryI1(c).Target().State, inband.Gone)
				is.Equal(entryI1(c).FallbackUntil(), entryI1(without).FallbackUntil())
				is.Equal(entryI1(c).MayReturnUntil(), entryI1(without).MayReturnUntil())
				c.Apply(5000, 5000, newChanges(0, 14, unusable(14)))
				is.Equal(entryI1(c).Target().State, inband.Gone) // names nothing that could come back
				c.Apply(5100, 5100, newChanges(0, 15, newTarget("i-1", 15, before)))
				is.Equal(entryI1(c).Target().State, before)
			})
		}
	}
}

// A slow start that was under way before another writer's entry goes on after it.
func TestSlowStartAcrossAnUnusableEntry(t *testing.T) {
	is := is.New(t)
	c := catalog.New()
	cold := newTarget("i-1", 9, inband.Serving)
	cold.SlowStartLeftMS = 3000
	c.Replace(0, 0, newChanges(1, 10, cold))
	c.Apply(100, 100, newChanges(0, 11, unusable(11)))
	is.Equal(entryI1(c).SlowStartUntil(), clock.Millis(3000))
	c.Apply(1200, 1200, newChanges(0, 12, newTarget("i-1", 12, inband.Serving)))
	is.Equal(entryI1(c).SlowStartUntil(), clock.Millis(3000))
}

// Guards against VMs that fetch each other's view again and again, as the one that started while an entry was
// unusable doesn't know the target.
func TestUnusableEntriesAreInNoDigest(t *testing.T) {
	is := is.New(t)
	known, fresh := catalog.New(), catalog.New()
	known.Replace(0, 0, newChanges(1, 10, newTarget("i-1", 9, inband.Serving), newTarget("i-2", 9, inband.Serving)))
	known.Apply(100, 100, newChanges(0, 11, unusable(11)))
	fresh.Replace(200, 200, newChanges(1, 11, unusable(11), newTarget("i-2", 9, inband.Serving)))
	is.Equal(len(fresh.Entries()), 1)
	is.Equal(fresh.Digest(), known.Digest())
	fresh.Apply(300, 300, known.ChangesSince(300, 1, 0)) // has the target's address
	is.True(entryI1(fresh).Target().Address.IsValid())
	is.Equal(fresh.Digest(), known.Digest())
}

// A leaving target whose entry is unusable is not taken back by an older copy of the store that shows it as serving.
func TestCopyDoesNotBringUnusableLeavingTargetsBack(t *testing.T) {
	for _, before := range []inband.State{inband.Serving, inband.Leaving} {
		t.Run(before.String(), func(t *testing.T) {
			is := is.New(t)
			c := newCatalogOfEra(1, newTarget("i-1", 90, before))
			c.Apply(100, 100, inEra(1, newChanges(0, 101, unusable(101))))
			c.Replace(500, 500, inEra(2, newChanges(5, 130, newTarget("i-1", 70, inband.Serving))))
			is.Equal(states(c)["i-1"] == inband.Serving, before == inband.Serving)
		})
	}
}

// The same after the copy came: an odd entry there doesn't make the target one that the copy may show as serving.
func TestOddEntryInACopyDoesNotBringLeavingTargetsBack(t *testing.T) {
	is := is.New(t)
	c := newCatalogOfEra(1, newTarget("i-1", 90, inband.Leaving))
	c.Replace(500, 500, inEra(2, newChanges(5, 130, unusable(70))))
	c.Apply(600, 600, inEra(2, newChanges(0, 131, newTarget("i-1", 131, inband.Serving))))
	is.Equal(states(c)["i-1"], inband.Unusable)
}

// A drain that ends while another writer's entry stands has the target in slow start all the same, if the target's own
// entry is from before.
func TestDrainThatEndsBesideAnUnusableEntry(t *testing.T) {
	is := is.New(t)
	c := catalog.New()
	first := newChanges(1, 10, newTarget("i-1", 9, inband.Serving))
	first.Tables.Services[0].SlowStartMS = 8 * clock.Second
	first.Targets[0].Domain = "a"
	c.Replace(0, 0, first)
	c.Apply(10, 10, newDrains(11, drainOf("a", 11)))
	c.Apply(20, 20, newChanges(0, 13, unusable(13)))
	c.Apply(30, 30, newDrains(14, endOf("a", 12))) // it is told late
	is.Equal(entryI1(c).SlowStartUntil(), 30+8*clock.Second)
}
