package catalog

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// ChangesSince returns what a sibling with the given version of the tables and the given
// revision lacks now. Targets that only sent heartbeats since then are left out. Drains are few and all there, so
// that a sibling that missed the end of one learns it.
func (c *Catalog) ChangesSince(now clock.Millis, version int64, revision inband.Revision) *Changes {
	changes := &Changes{Revision: c.revision, Drains: c.drains.All(now), HasAllDrains: c.hasAllDrains}
	if c.tablesVersion() > version {
		changes.Delta = c.TablesDeltaSince(version)
		if changes.Delta == nil {
			changes.Tables = c.tables
		}
	}
	for _, e := range c.Entries() {
		if e.changedRevision > revision {
			changes.Targets = append(changes.Targets, e.targetAt(now))
		}
	}
	return changes
}

// TablesDeltaSince returns the delta from an earlier version of the tables to the current one, or
// nil if that version is no longer kept.
func (c *Catalog) TablesDeltaSince(version int64) *inband.TablesDelta {
	for _, earlier := range c.tablesHistory {
		if earlier.Version == version {
			return inband.Diff(earlier, c.tables)
		}
	}
	return nil
}

// Digest returns a hash of all targets that have not left the store and of the drains in force, so that
// two VMs can check whether they agree on them.
func (c *Catalog) Digest() uint64 { return c.DigestAt(c.revision) }

// DigestAt returns the digest up to a revision that a sibling has. Drains that were known before the changes they
// came with are above it.
func (c *Catalog) DigestAt(revision inband.Revision) uint64 {
	return c.digest ^ c.drains.Digest(revision)
}
