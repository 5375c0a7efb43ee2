package catalog

import (
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// maxPassedOver limits the entries that are kept for TakePassedOver.
const maxPassedOver = 64

// PassedOver is an entry that was passed over, for logs.
type PassedOver struct {
	Target   *inband.Target // as the entry has it; only its id and revision if the entry is Unreadable
	Flaw     Flaw
	Believed inband.State // of the target now
}

// passing tells of the entry that stands in a target's place.
type passing struct {
	flaw  Flaw
	since clock.Millis // when it was first passed over for that flaw, and nothing was believed since
	at    clock.Millis // when it was last passed over
}

// PassedOverLog holds the entries that were passed over since it was last taken.
type PassedOverLog struct {
	Entries []PassedOver      // those that differ from the one before under their key
	Counts  [FlawCount]uint64 // of all, by flaw
}

// TakePassedOver returns what was passed over since the last call.
func (c *Catalog) TakePassedOver() PassedOverLog {
	log := c.passedOverLog
	c.passedOverLog = PassedOverLog{}
	return log
}

// passOver keeps an entry that has a flaw beside the target, without believing anything of it. The target is not
// usable meanwhile, and keeps what it was.
func (c *Catalog) passOver(now clock.Millis, e *Entry, t *inband.Target, flaw Flaw) Change {
	before := e.target
	p := c.flawed[t.ID]
	isNews := flaw != p.flaw || !isSameForPlacement(before.PassedOver, t)
	if flaw != p.flaw {
		p.since = now
	}
	p.flaw, p.at = flaw, now
	c.flawed[t.ID] = p
	changed := *before
	changed.Revision, changed.PassedOver = t.Revision, t
	if !e.hasEnded {
		e.noteLeaving()
		changed.State, changed.WasLeaving = inband.Unusable, e.wasLeaving
	}
	e.target = &changed
	c.logPassedOver(PassedOver{Target: t, Flaw: flaw, Believed: changed.State}, isNews)
	return Change{Subject: "target " + t.ID, Before: before.State.String(), After: changed.State.String(), Flaw: flaw}
}

func (c *Catalog) logPassedOver(p PassedOver, isNews bool) {
	c.passedOverLog.Counts[p.Flaw]++
	if isNews && len(c.passedOverLog.Entries) < maxPassedOver {
		c.passedOverLog.Entries = append(c.passedOverLog.Entries, p)
	}
}

// forgetPassedOver forgets the entry that stands in place of the target's own, as another one does now.
func (c *Catalog) forgetPassedOver(e *Entry) {
	delete(c.flawed, e.target.ID)
	if e.target.PassedOver == nil {
		return
	}
	changed := *e.target
	changed.PassedOver = nil
	e.target = &changed
}

// reconsider believes entries that were passed over and have no flaw any more: the tables name their service now, the
// other target of their number is gone, or nothing has contradicted them for so long that no other writer is left.
func (c *Catalog) reconsider(now clock.Millis) []Change {
	if len(c.flawed) == 0 {
		return nil
	}
	c.endContests()
	ids := make([]string, 0, len(c.flawed))
	for id := range c.flawed {
		if c.flawed[id].flaw != UnnamedService || c.hasNewNames {
			ids = append(ids, id)
		}
	}
	c.hasNewNames = false
	slices.Sort(ids)
	var merged []Change
	for _, id := range ids {
		merged = append(merged, c.reconsiderEntry(now, c.entries[id])...)
	}
	return merged
}

func (c *Catalog) reconsiderEntry(now clock.Millis, e *Entry) []Change {
	t := e.target.PassedOver
	p, flaw := c.flawed[t.ID], c.flawOf(e, t)
	switch flaw {
	case p.flaw:
		isAlone := now-p.since >= contradictionTime && c.Age(now) <= staleViewAge
		if !isAlone || flaw != EarlierStart && flaw != MovedWithoutStart {
			return nil
		}
	case NoFlaw:
	default:
		return c.track(t.ID, t.Revision, func() (Change, bool) { return c.passOver(now, e, t, flaw), true })
	}
	believed := *t
	believed.SlowStartLeftMS = max(0, t.SlowStartLeftMS-(now-p.at))
	return c.track(t.ID, t.Revision, func() (Change, bool) { return c.believe(now, e, &believed) })
}

// contest passes over two targets of one number, if this VM learned of both at once: it can't tell which one the number
// is of. The flows of both go on.
func (c *Catalog) contest(now clock.Millis, e *Entry, t *inband.Target) {
	other := c.holders[t.Identity]
	if c.hasFirstView || c.isTold || other == nil || other.hasEnded || other.target.State == inband.Unusable {
		return
	}
	c.contested[t.Identity] = true
	e.target, e.isNamed = t, c.named[t.Service]
	first := other.target
	c.contests = append(c.contests, c.track(first.ID, first.Revision, func() (Change, bool) { return c.passOver(now, other, first, SharedNumber), true })...)
}

// endContests ends those that a single target is left of.
func (c *Catalog) endContests() {
	if len(c.contested) == 0 {
		return
	}
	rivals := map[uint64]int{}
	for id := range c.flawed {
		rivals[c.entries[id].target.PassedOver.Identity]++
	}
	for number := range c.contested {
		if rivals[number] < 2 {
			delete(c.contested, number)
			delete(c.holders, number)
		}
	}
}

// nameServices takes the services that tables name, in a list or as where a route leads. Targets that were believed
// before any tables came are judged by the first ones.
func (c *Catalog) nameServices(now clock.Millis, t *inband.Tables) []Change {
	if t == nil || c.named != nil && t.Version <= c.namedVersion {
		return nil
	}
	isFirst := c.named == nil
	c.named, c.namedVersion, c.hasNewNames = namedServices(t), t.Version, true
	if !isFirst {
		return nil
	}
	var merged []Change
	for _, e := range c.Entries() {
		believed := e.target
		e.isNamed = c.named[believed.Service]
		if e.isNamed || !e.IsBelieved() || believed.State == inband.Unusable || e.hasEnded {
			continue
		}
		merged = append(merged, c.track(believed.ID, believed.Revision, func() (Change, bool) {
			return c.passOver(now, e, believed, UnnamedService), true
		})...)
	}
	return merged
}

func namedServices(t *inband.Tables) map[string]bool {
	named := map[string]bool{}
	for _, s := range t.Services {
		named[s.Name] = true
	}
	for _, r := range t.Routes {
		for _, s := range r.Shares {
			named[s.Service] = true
		}
	}
	return named
}
