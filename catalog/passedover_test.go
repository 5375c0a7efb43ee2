package catalog_test

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/catalog"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// hostOf returns a target with all fields that decide whether it is believed.
func hostOf(id string, revision inband.Revision, change func(*inband.Target)) *inband.Target {
	t := newTarget(id, revision, inband.Serving)
	t.Identity, t.Domain, t.Slots, t.StartedAtMS = 0x6d67, "a", 2, 1000
	if change != nil {
		change(t)
	}
	return t
}

var otherAddress = netip.MustParseAddrPort("10.0.0.9:90")

// Fields of entries of another writer.
func ofLedger(t *inband.Target)       { t.Service, t.Address = "ledger", otherAddress }
func ofStore(t *inband.Target)        { t.Service = "store" }
func elsewhere(t *inband.Target)      { t.Address = otherAddress }
func inDomainB(t *inband.Target)      { t.Domain = "b" }
func ofEarlierStart(t *inband.Target) { t.StartedAtMS = 500 }
func leaving(t *inband.Target)        { t.State = inband.Leaving }
func restarted(t *inband.Target)      { t.StartedAtMS, t.Address = 2000, otherAddress }

// knowing returns a catalog that believes targets, whose tables name the services core and store.
func knowing(targets ...*inband.Target) *catalog.Catalog {
	c := catalog.New()
	c.Replace(0, 0, &catalog.Changes{Tables: coreTables(1, "store"), Targets: targets, Revision: 10})
	c.TakeChanged()
	return c
}

// counts returns how many entries were passed over, by flaw.
func counts(c *catalog.Catalog) map[catalog.Flaw]uint64 {
	all := map[catalog.Flaw]uint64{}
	log := c.TakePassedOver()
	for flaw, count := range log.Counts {
		if count > 0 {
			all[catalog.Flaw(flaw)] = count
		}
	}
	return all
}

// Guards against flows that go to the address in another writer's entry, of a service that is named nowhere, so that
// all flows of a living target are reset (review/13), and against its kin.
func TestEntryThatIsNotTheTargetsOwn(t *testing.T) {
	tests := []struct {
		name   string
		before func(*inband.Target)
		odd    func(*inband.Target)
		flaw   catalog.Flaw
	}{
		{"service named nowhere", nil, ofLedger, catalog.UnnamedService},
		{"service named nowhere, of a later start", nil, func(t *inband.Target) { ofLedger(t); t.StartedAtMS = 2000 }, catalog.UnnamedService},
		{"another service", nil, ofStore, catalog.MovedWithoutStart},
		{"another address", nil, elsewhere, catalog.MovedWithoutStart},
		{"another domain", nil, inDomainB, catalog.MovedWithoutStart},
		{"earlier start", nil, ofEarlierStart, catalog.EarlierStart},
		{"in place of a leaving target's", leaving, ofLedger, catalog.UnnamedService},
		{"earlier start of a leaving target", leaving, ofEarlierStart, catalog.EarlierStart},
		{"elsewhere, of a leaving target", leaving, elsewhere, catalog.MovedWithoutStart},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			before := hostOf("i-1", 9, tt.before)
			c, without := knowing(before), knowing(before)
			c.Apply(100, 100, newChanges(0, 11, hostOf("i-1", 11, tt.odd)))
			kept := *entryI1(c).Target()
			is.Equal(kept.State, inband.Unusable)
			is.Equal(kept.Address, before.Address) // its open flows go on
			is.Equal(kept.Service, before.Service)
			is.Equal(kept.StartedAtMS, before.StartedAtMS)
			is.Equal(len(c.TakeChanged()), 1)
			is.Equal(len(c.Apply(200, 200, newChanges(0, 12, hostOf("i-1", 12, tt.odd)))), 0) // written again
			is.Equal(counts(c), map[catalog.Flaw]uint64{tt.flaw: 2})

			own := hostOf("i-1", 13, tt.before)
			c.Apply(300, 300, newChanges(0, 13, own))
			is.Equal(entryI1(c).Target(), own)
			without.Apply(300, 300, newChanges(0, 13, own))
			is.Equal(c.Digest(), without.Digest())

			c.Apply(400, 400, newChanges(0, 14, hostOf("i-1", 14, tt.odd)))
			gone := newTarget("i-1", 15, inband.Gone)
			for _, k := range []*catalog.Catalog{c, without} {
				k.Apply(500, 500, newChanges(0, 15, gone))
			}
			is.Equal(entryI1(c).Target().State, inband.Gone)
			is.Equal(entryI1(c).FallbackUntil(), entryI1(without).FallbackUntil())
			is.Equal(entryI1(c).MayReturnUntil(), entryI1(without).MayReturnUntil())
			is.Equal(c.Digest(), without.Digest())
		})
	}
}

// A target that has started again is used at once, also elsewhere ("A host may start again under the id that it had").
func TestLaterStartIsBelieved(t *testing.T) {
	is := is.New(t)
	c := knowing(hostOf("i-1", 9, nil))
	changes := c.Apply(100, 100, newChanges(0, 11, hostOf("i-1", 11, restarted)))
	is.Equal(entryI1(c).Target().Address, otherAddress)
	is.Equal(changes[0].Before, "serving, core at 10.0.0.1:80, started 1000")
	is.Equal(changes[0].After, "serving, core at 10.0.0.9:90, started 2000")
}

// An entry that came before the tables that name its service is used as these come, without another one: at the start,
// on the pages of a full read, and with a new version.
func TestEntryBeforeTheTablesThatNameItsService(t *testing.T) {
	ledger := func(t *inband.Target) { t.Service, t.SlowStartLeftMS = "ledger", 3000 }
	t.Run("at the start", func(t *testing.T) {
		is := is.New(t)
		c := catalog.New()
		c.Replace(0, 0, newChanges(0, 10, hostOf("i-1", 9, nil), hostOf("i-2", 9, func(t *inband.Target) { ledger(t); t.Identity = 2 })))
		is.Equal(len(c.TakeChanged()), 2) // open flows do not wait for the tables
		c.Apply(500, 500, newChanges(1, 11))
		is.Equal(states(c), map[string]inband.State{"i-1": inband.Serving, "i-2": inband.Unusable})
		c.Apply(600, 600, newChanges(0, 12, hostOf("i-2", 12, func(t *inband.Target) { ledger(t); t.Identity = 2 })))
		is.Equal(states(c)["i-2"], inband.Unusable)
		c.Apply(700, 700, newChanges(0, 13, hostOf("i-2", 13, func(t *inband.Target) { elsewhere(t); t.Identity = 2 })))
		is.Equal(states(c)["i-2"], inband.Serving) // what was taken for its own never was
	})
	t.Run("on the first of several pages", func(t *testing.T) {
		is := is.New(t)
		c := catalog.New()
		c.MergePage(0, newChanges(1, 10, hostOf("i-1", 9, nil), hostOf("i-2", 9, func(t *inband.Target) { ledger(t); t.Identity = 2 })))
		is.Equal(len(c.TakeChanged()), 1)
		is.True(c.Tables() == nil) // not in force before the read is complete
	})
	t.Run("with a new version", func(t *testing.T) {
		is := is.New(t)
		c := knowing()
		c.Apply(100, 100, newChanges(0, 11, hostOf("i-1", 11, ledger)))
		is.Equal(len(c.TakeChanged()), 0)
		merged := c.Apply(1100, 1100, &catalog.Changes{Tables: coreTables(2, "ledger"), Revision: 12})
		is.Equal(len(merged), 2) // tables and target
		is.Equal(entryI1(c).Target().State, inband.Serving)
		is.Equal(entryI1(c).SlowStartUntil(), clock.Millis(3100)) // since it came
		is.Equal(len(c.TakeChanged()), 1)
		is.Equal(merged[1].Target.PassedOver, nil)
	})
	t.Run("in place of a target's own", func(t *testing.T) {
		is := is.New(t)
		c := knowing(hostOf("i-1", 9, nil))
		c.Apply(100, 100, newChanges(0, 11, hostOf("i-1", 11, ofLedger)))
		c.Apply(200, 200, &catalog.Changes{Tables: coreTables(2, "ledger"), Revision: 12})
		is.Equal(entryI1(c).Target().Service, "core") // it still contradicts what the target said of the same start
		is.Equal(entryI1(c).Target().State, inband.Unusable)
	})
}

// A target whose service the tables no longer name keeps its flows, and what it says of itself counts. A VM that
// starts then learns it from one that knew it.
func TestServiceThatTheTablesNoLongerName(t *testing.T) {
	is := is.New(t)
	c := knowing(hostOf("i-1", 9, ofStore))
	c.Apply(100, 100, newChanges(2, 11))
	is.Equal(entryI1(c).Target().State, inband.Serving)
	c.Apply(200, 200, newChanges(0, 12, hostOf("i-1", 12, ofStore)))
	is.Equal(entryI1(c).Target().State, inband.Serving)
	c.Apply(300, 300, newChanges(0, 13, hostOf("i-1", 13, func(t *inband.Target) { ofStore(t); leaving(t) })))
	is.Equal(entryI1(c).Target().State, inband.Leaving)
	fresh := catalog.New()
	view := c.ChangesSince(400, 0, 0)
	view.FromSibling = true
	fresh.Replace(400, 400, view)
	is.Equal(entryI1(fresh).Target(), entryI1(c).Target())
	alone := catalog.New()
	alone.Replace(400, 400, newChanges(2, 13, entryI1(c).Target()))
	is.Equal(entryI1(alone).IsBelieved(), false) // by the store alone it can't be told from another writer's
	is.Equal(alone.Digest(), c.Digest())
	is.Equal(fresh.Digest(), c.Digest())
}

// An entry that contradicts what the target said of itself is believed if it stands alone: a VM that started while an
// odd entry stood would never believe the target's own otherwise.
func TestContradictionThatStandsAlone(t *testing.T) {
	for name, own := range map[string]func(*inband.Target){"elsewhere": elsewhere, "earlier start": ofEarlierStart, "other service": ofStore} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := knowing(hostOf("i-1", 9, nil)) // odd, and read first
			revision := inband.Revision(10)
			for now := clock.Millis(0); now < 6*clock.Second; now += 1200 {
				revision++
				c.Apply(now, now, newChanges(0, revision, hostOf("i-1", revision, own)))
				is.Equal(entryI1(c).Target().State, inband.Unusable)
			}
			c.Apply(6500, 6500, newChanges(0, revision))
			is.Equal(entryI1(c).Target().State, inband.Serving)
			want := hostOf("i-1", revision, own)
			is.Equal(entryI1(c).Target().Address, want.Address)
			is.Equal(entryI1(c).Target().StartedAtMS, want.StartedAtMS)
		})
	}
}

// While the target writes its own entries between, the other writer's is never believed, however often it comes. Time
// without a current view doesn't count, as the target's own may have come meanwhile.
func TestContradictionThatDoesNotStandAlone(t *testing.T) {
	is := is.New(t)
	c := knowing(hostOf("i-1", 9, nil))
	revision := inband.Revision(10)
	for now := clock.Millis(0); now < 30*clock.Second; now += 100 {
		revision++
		odd := elsewhere
		if now%1200 == 0 {
			odd = nil
		}
		c.Apply(now, now, newChanges(0, revision, hostOf("i-1", revision, odd)))
		is.Equal(entryI1(c).Target().Address, hostOf("i-1", 0, nil).Address)
	}
	c.Apply(30000, 30000, newChanges(0, revision+1, hostOf("i-1", revision+1, elsewhere)))
	c.Apply(40000, 30100, newChanges(0, revision+1))
	is.Equal(entryI1(c).Target().State, inband.Unusable)
}

// VMs agree on the digest, whether they saw the target's own entry before the odd one, the odd one only, or were told.
func TestDigestAcrossAnOddEntry(t *testing.T) {
	for name, odd := range map[string]func(*inband.Target){"unnamed": ofLedger, "moved": elsewhere, "earlier": ofEarlierStart, "same number": func(t *inband.Target) { t.ID = "I-1" }} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			own, other := hostOf("i-1", 9, nil), hostOf("i-1", 11, odd)
			seen := knowing(own)
			seen.Apply(100, 100, newChanges(0, 11, other))
			targets := []*inband.Target{other}
			if other.ID != own.ID {
				targets = append(targets, own)
			}
			late := knowing(targets...)
			is.Equal(late.Digest(), seen.Digest())
			told := catalog.New()
			view := seen.ChangesSince(200, 0, 0)
			view.FromSibling = true
			told.Replace(200, 200, view)
			is.Equal(told.Digest(), seen.Digest())
			is.Equal(entryI1(told).Target().State, entryI1(seen).Target().State)
			is.Equal(entryI1(told).Target().Address, own.Address)
			delta := knowing(own)
			delta.Apply(200, 200, seen.ChangesSince(200, 1, 10))
			is.Equal(delta.Digest(), seen.Digest())
			is.Equal(entryI1(delta).Target().State, entryI1(seen).Target().State)

			all := []*catalog.Catalog{seen, late, told, delta}
			for _, k := range all { // the target's own entry
				if other.ID != own.ID {
					k.Apply(300, 300, newChanges(0, 20, newTarget(other.ID, 19, inband.Gone)))
				}
				k.Apply(300, 300, newChanges(0, 20, hostOf("i-1", 20, nil)))
				is.Equal(k.Digest(), seen.Digest())
				k.Apply(6400, 6400, newChanges(0, 21, hostOf("i-1", 21, nil)))
				is.Equal(k.Digest(), seen.Digest())
				is.Equal(entryI1(k).Target().State, inband.Serving)
				is.Equal(entryI1(k).Target().Address, own.Address)
			}
		})
	}
}

// A removal ends what was passed over under a key of its own, also at siblings that only hear of it.
func TestPassedOverEntryThatIsRemoved(t *testing.T) {
	is := is.New(t)
	c, sibling := knowing(), knowing()
	empty := c.Digest()
	c.Apply(100, 100, newChanges(0, 11, hostOf("i-1", 11, ofLedger)))
	sibling.Apply(100, 100, c.ChangesSince(100, 1, 10))
	is.Equal(sibling.Digest(), c.Digest())
	is.True(c.Digest() != empty)
	c.Replace(200, 200, newChanges(1, 12))
	sibling.Apply(200, 200, c.ChangesSince(200, 1, 11))
	is.Equal(c.Digest(), empty)
	is.Equal(sibling.Digest(), empty)
	c.Prune(10 * clock.Minute)
	is.Equal(len(c.Entries()), 0)
	is.Equal(c.Digest(), empty)
}

// Guards against another key of a target's number, which has a draining target take new flows: "the others hold". A VM
// that learns of both at once can't tell which is the target's, and places no flow until one is gone.
func TestTwoKeysOfOneNumber(t *testing.T) {
	alias := func(revision inband.Revision) *inband.Target {
		return hostOf("I-1", revision, func(t *inband.Target) { t.Address = otherAddress })
	}
	t.Run("known", func(t *testing.T) {
		is := is.New(t)
		c := knowing(hostOf("i-1", 9, leaving))
		c.Apply(100, 100, newChanges(0, 11, alias(11)))
		is.Equal(states(c), map[string]inband.State{"i-1": inband.Leaving, "I-1": inband.Unusable})
		is.Equal(counts(c), map[catalog.Flaw]uint64{catalog.SharedNumber: 1})
		c.Apply(1200, 1200, newChanges(0, 12, hostOf("i-1", 12, leaving), newTarget("i-1", 13, inband.Gone)))
		c.Apply(1300, 1300, newChanges(0, 14, alias(14)))
		is.Equal(states(c)["I-1"], inband.Unusable) // the target may come back
		c.Prune(10 * clock.Minute)
		c.Apply(10*clock.Minute, 10*clock.Minute, newChanges(0, 15))
		is.Equal(states(c), map[string]inband.State{"I-1": inband.Serving})
	})
	t.Run("learned at once", func(t *testing.T) {
		is := is.New(t)
		c := knowing(alias(8), hostOf("i-1", 9, leaving))
		is.Equal(states(c), map[string]inband.State{"i-1": inband.Unusable, "I-1": inband.Unusable})
		c.Apply(100, 100, newChanges(0, 11, hostOf("i-1", 11, leaving)))
		is.Equal(states(c)["i-1"], inband.Unusable)
		is.Equal(entryI1(c).Target().Address, hostOf("i-1", 0, nil).Address) // its open flows go on
		c.Apply(200, 200, newChanges(0, 12, newTarget("I-1", 12, inband.Gone)))
		is.Equal(states(c)["i-1"], inband.Leaving)
	})
	t.Run("told", func(t *testing.T) {
		is := is.New(t)
		c, told := knowing(hostOf("i-1", 9, nil)), catalog.New()
		c.Apply(100, 100, newChanges(0, 11, alias(11)))
		view := c.ChangesSince(200, 0, 0)
		view.FromSibling = true
		told.Replace(200, 200, view)
		is.Equal(states(told), states(c))
		is.Equal(states(told)["i-1"], inband.Serving)
	})
}

// An odd entry after the end of a target's own, and its removal, change nothing of the target.
func TestOddEntryOfAnEndedTarget(t *testing.T) {
	is := is.New(t)
	c := knowing(hostOf("i-1", 9, nil))
	empty := knowing().Digest()
	c.Apply(100, 100, newChanges(0, 12, newTarget("i-1", 11, inband.Gone), hostOf("i-1", 12, ofLedger)))
	is.Equal(entryI1(c).Target().State, inband.Gone)
	is.Equal(entryI1(c).MayReturnUntil(), clock.Millis(4100))
	is.True(c.Digest() != empty)
	c.Prune(10 * clock.Minute) // it stands in the store
	is.Equal(len(c.Entries()), 1)
	c.Replace(10*clock.Minute, 10*clock.Minute, newChanges(1, 13))
	is.Equal(c.Digest(), empty)
	c.Prune(10 * clock.Minute)
	is.Equal(len(c.Entries()), 0)
}

// Entries that are passed over are counted each time and listed once, however often they come.
func TestPassedOverLogIsBounded(t *testing.T) {
	is := is.New(t)
	c := knowing(hostOf("i-1", 9, nil))
	for revision := inband.Revision(11); revision < 111; revision++ {
		c.Apply(100, 100, newChanges(0, revision, hostOf("i-1", revision, ofLedger)))
	}
	log := c.TakePassedOver()
	is.Equal(log.Counts[catalog.UnnamedService], uint64(100))
	is.Equal(len(log.Entries), 1)
	is.Equal(log.Entries[0].Believed, inband.Unusable)
	for revision := inband.Revision(111); revision < 1111; revision++ {
		odd := hostOf("i-1", revision, ofLedger)
		odd.Slots = int(revision)
		c.Apply(200, 200, newChanges(0, revision, odd))
	}
	is.Equal(len(c.TakePassedOver().Entries), 64)
	is.Equal(len(c.TakePassedOver().Entries), 0)
}
