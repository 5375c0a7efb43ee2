package catalog

import (
	"fmt"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

func (c *Catalog) mergeTargets(now clock.Millis, targets []*inband.Target) []Change {
	var merged []Change
	for _, t := range targets {
		if t.PassedOver == nil {
			merged = append(merged, c.track(t.ID, t.Revision, func() (Change, bool) { return c.mergeTarget(now, t) })...)
		}
	}
	for _, t := range targets { // the sender knew the others first
		if t.PassedOver != nil {
			merged = append(merged, c.track(t.ID, t.Revision, func() (Change, bool) { return c.mergeTold(now, t) })...)
		}
	}
	merged = append(merged, c.contests...)
	c.contests = nil
	return merged
}

// track runs a change of one target, and has it passed on to placement and siblings if it was new.
func (c *Catalog) track(id string, revision inband.Revision, change func() (Change, bool)) []Change {
	before := c.entries[id].hash()
	merged, isNew := change()
	after := c.entries[id].hash()
	c.digest ^= before ^ after
	if !isNew && before == after {
		return nil
	}
	e := c.entries[id]
	c.changedIDs[id] = struct{}{}
	e.changedRevision = revision
	merged.Target = e.target
	return []Change{merged}
}

// mergeTarget merges one target and reports whether placement depends on the change.
func (c *Catalog) mergeTarget(now clock.Millis, t *inband.Target) (Change, bool) {
	e, ok := c.entries[t.ID]
	if !ok {
		return c.addTarget(now, t)
	}
	if t.Revision <= e.target.Revision || e.hasLeftBefore(t) {
		return Change{}, false
	}
	before := e.target.State
	switch t.State {
	case inband.Gone:
		c.forgetPassedOver(e)
		return e.end(now, t.Revision, c.mayHaveExpired(now)), before != inband.Gone
	case inband.Unusable:
		return c.mergeUnreadable(e, t)
	default:
		return c.mergeReadable(now, e, t)
	}
}

// mergeUnreadable passes over an entry that can't be read. An entry that has ended stays so.
func (c *Catalog) mergeUnreadable(e *Entry, t *inband.Target) (Change, bool) {
	c.forgetPassedOver(e)
	before := e.target.State
	change := Change{}
	if !e.hasEnded {
		change = e.makeUnusable(t.Revision)
	}
	isNews := e.target.State != before
	c.logPassedOver(PassedOver{Target: t, Flaw: Unreadable, Believed: e.target.State}, isNews)
	return change, isNews
}

// mergeReadable merges an entry that can be read, or passes it over.
func (c *Catalog) mergeReadable(now clock.Millis, e *Entry, t *inband.Target) (Change, bool) {
	flaw := c.flawOf(e, t)
	if flaw == NoFlaw {
		return c.believe(now, e, t)
	}
	if flaw == SharedNumber {
		c.contest(now, e, t)
	}
	before := e.target.State
	change := c.passOver(now, e, t, flaw)
	return change, before != e.target.State
}

// mergeTold merges a target in whose place a sibling passed an entry over. What the sibling believes is taken for a
// target that is not known here; the entry is judged again.
func (c *Catalog) mergeTold(now clock.Millis, t *inband.Target) (Change, bool) {
	entry := *t.PassedOver
	entry.ID, entry.Revision, entry.PassedOver = t.ID, t.Revision, nil
	if entry.State > inband.Leaving { // a sibling keeps no other ones
		entry.State = inband.Unusable
		return c.mergeTarget(now, &entry)
	}
	if c.entries[t.ID] != nil {
		return c.mergeTarget(now, &entry)
	}
	if !t.Address.IsValid() {
		return c.mergeReadable(now, c.addUnknown(t.ID), &entry)
	}
	believed := *t
	believed.PassedOver = nil
	_, _ = c.addTarget(now, &believed)
	return c.mergeReadable(now, c.entries[t.ID], &entry)
}

// neverBelieved is a target of which nothing is known.
var neverBelieved = Entry{target: &inband.Target{State: inband.Unusable}}

// addTarget adds a target that is not known yet.
func (c *Catalog) addTarget(now clock.Millis, t *inband.Target) (Change, bool) {
	change := Change{Subject: "target " + t.ID, Before: "unknown", After: t.State.String()}
	switch t.State {
	case inband.Gone, inband.Unusable: // a sibling keeps it for its open flows
		if !t.Address.IsValid() {
			if t.State == inband.Unusable && !c.isTold {
				c.logPassedOver(PassedOver{Target: t, Flaw: Unreadable, Believed: t.State}, false)
			}
			return Change{}, false
		}
		e := &Entry{target: t, believedRevision: t.Revision, wasLeaving: t.WasLeaving, isNamed: true}
		if t.State == inband.Gone {
			e.endedAt, e.hasEnded, e.wasLeaving, e.mayHaveExpired = now, true, true, true
		}
		c.add(e)
		return change, true
	default:
		flaw := c.flawOf(&neverBelieved, t)
		if flaw == UnnamedService && c.isTold { // the sibling knew it before the tables left its service out
			flaw = NoFlaw
		}
		if flaw != NoFlaw {
			return c.mergeReadable(now, c.addUnknown(t.ID), t)
		}
		c.add(&Entry{target: t, slowStartUntil: now + t.SlowStartLeftMS, believedRevision: t.Revision, isNamed: c.isTold || c.named[t.Service]})
		return change, true
	}
}

// addUnknown adds a target of which nothing is believed yet.
func (c *Catalog) addUnknown(id string) *Entry {
	e := &Entry{target: &inband.Target{ID: id, State: inband.Unusable}}
	c.entries[id] = e
	return e
}

// add adds a target of which something is believed.
func (c *Catalog) add(e *Entry) {
	c.entries[e.target.ID] = e
	c.hold(e)
}

// hold notes that a number is of a target.
func (c *Catalog) hold(e *Entry) {
	if number := e.target.Identity; number != 0 && c.holders[number] == nil {
		c.holders[number] = e
	}
}

// believe replaces the target by a newer entry of its own.
func (c *Catalog) believe(now clock.Millis, e *Entry, t *inband.Target) (Change, bool) {
	before, wasKnown := e.target, e.IsBelieved()
	c.forgetPassedOver(e)
	e.isNamed = c.named[t.Service] || e.isNamed && e.continues(t)
	e.target, e.believedRevision, e.hasEnded = t, t.Revision, false
	c.hold(e)
	if !wasKnown {
		e.slowStartUntil = now + t.SlowStartLeftMS
		return Change{Subject: "target " + t.ID, Before: "unknown", After: t.State.String()}, true
	}
	if e.endAssumedSlowStart(now) { // siblings keep theirs, which is no longer
		c.recordSlowStart(t.ID)
	}
	beginsSlowStart := e.updateSlowStart(now)
	change := describeChange(before, t)
	if beginsSlowStart {
		change.After += ", in slow start"
	}
	return change, beginsSlowStart || !isSameForPlacement(before, t)
}

// describeChange describes a change of a target whose entry is believed. It gives the service, address and start if
// another entry takes the target's place.
func describeChange(before, after *inband.Target) Change {
	change := Change{Subject: "target " + after.ID, Before: before.State.String(), After: after.State.String()}
	if before.Service != after.Service || before.Address != after.Address || before.StartedAtMS != after.StartedAtMS {
		change.Before += ", " + describePlace(before)
		change.After += ", " + describePlace(after)
	}
	return change
}

func describePlace(t *inband.Target) string {
	return fmt.Sprintf("%s at %s, started %d", t.Service, t.Address, t.StartedAtMS)
}
