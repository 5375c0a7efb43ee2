package catalog

import (
	"fmt"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/drain"
)

// rewriteGrace is how long a drain that an older copy of the store lacks stays in force, for the operator to write
// it again.
const rewriteGrace = 15 * clock.Second

// notDrained is the state of a domain without a drain, for logs and the audit trail.
const notDrained = "not drained"

// Drains returns the drains in force, ordered by domain.
func (c *Catalog) Drains() []drain.Mark { return c.drains.InForce() }

// HasAllDrains reports whether a list of all drains has been merged, so that other domains are not drained. It
// is false after a view of a sibling whose version knows no drains.
func (c *Catalog) HasAllDrains() bool { return c.hasAllDrains }

// KnownDrains returns the drains in force as changes of an empty view.
func (c *Catalog) KnownDrains() []Change {
	var all []Change
	for _, m := range c.Drains() {
		all = append(all, Change{Subject: "domain " + m.Domain, Before: "unknown", After: c.describeDrain(m.Domain), Drain: &m})
	}
	return all
}

// MergeMarks merges drains that may be known before the changes that they came with are complete, and
// returns those that were new. The catalog's revision and age stay.
func (c *Catalog) MergeMarks(now clock.Millis, marks []drain.Mark) []Change {
	merged := c.mergeDrains(now, &Changes{Drains: marks})
	if len(merged) > 0 {
		c.generation++
	}
	return merged
}

// SettleDrains goes by what the store shows once the operator has had time to write again what it lost, and returns
// what that changes: drains of earlier eras that were not written again end, and those are in force whose end was
// not. Without a current view it changes nothing, because they may have been written again meanwhile.
func (c *Catalog) SettleDrains(now clock.Millis) []Change {
	if now < c.rewriteUntil || c.Age(now) > staleViewAge {
		return nil
	}
	merged := c.mergeDrains(now, &Changes{Drains: c.drains.EndsOfEarlierEras(c.revision)})
	for _, m := range c.drains.Release(c.revision) {
		merged = append(merged, Change{Subject: "domain " + m.Domain, Before: notDrained, After: c.describeDrain(m.Domain), Drain: &m})
	}
	if len(merged) > 0 {
		c.generation++
	}
	return merged
}

// isOutdated reports whether a drain of an earlier era should have been written again by now. A sibling that was
// alone for long may still tell of one that ended since.
func (c *Catalog) isOutdated(now clock.Millis, m drain.Mark) bool {
	return !m.HasEnded && c.isOfEarlierEra(m.Revision) && now >= c.rewriteUntil
}

// mergeDrains merges the drains of changes. A complete list also ends the drains that it lacks.
func (c *Catalog) mergeDrains(now clock.Millis, changes *Changes) []Change {
	marks := changes.Drains
	if changes.HasAllDrains {
		marks = append(c.drains.Missing(marks, changes.Revision), marks...)
		c.hasAllDrains = true
	}
	var merged []Change
	for _, m := range marks {
		before := c.describeDrain(m.Domain)
		if c.isOutdated(now, m) || !c.drains.Merge(now, m) {
			continue
		}
		merged = append(merged, Change{Subject: "domain " + m.Domain, Before: before, After: c.describeDrain(m.Domain), Drain: &m})
		if m.HasEnded {
			c.assumeSlowStarts(now, m)
		}
	}
	return merged
}

// assumeSlowStarts takes the targets of a domain whose drain has ended for ones in slow start, until their next
// entries tell. Most VMs see no entries that only tell of a slow start.
func (c *Catalog) assumeSlowStarts(now clock.Millis, end drain.Mark) {
	slowStarts := c.slowStarts()
	if len(slowStarts) == 0 {
		return
	}
	for id, e := range c.entries {
		left := slowStarts[e.target.Service]
		if left > 0 && e.target.Domain == end.Domain && e.assumeSlowStart(now+left, end.Revision) {
			c.recordSlowStart(id)
		}
	}
}

// slowStarts returns how long the targets of each service are in slow start, for those that say so.
func (c *Catalog) slowStarts() map[string]clock.Millis {
	lengths := map[string]clock.Millis{}
	if c.tables == nil {
		return lengths
	}
	for _, s := range c.tables.Services {
		if s.SlowStartMS > 0 {
			lengths[s.Name] = s.SlowStartMS
		}
	}
	return lengths
}

// recordSlowStart has the slow start of a target passed on to placement, but not to siblings.
func (c *Catalog) recordSlowStart(id string) {
	c.changedIDs[id] = struct{}{}
	c.generation++
}

// describeDrain returns the state of a domain's drain for logs and the audit trail.
func (c *Catalog) describeDrain(domain string) string {
	m, isInForce, isKnown := c.drains.Newest(domain)
	switch {
	case isInForce:
		return fmt.Sprintf("drained since revision %s", m.Revision)
	case isKnown && m.HasEnded:
		return fmt.Sprintf("not drained since revision %s", m.Revision)
	default:
		return notDrained
	}
}
