package front

import (
	"github.com/almondflow/almondflow/catalog"
	"github.com/almondflow/almondflow/clock"
)

// lostDrainSource is the source of the end of a drain that the store lost and that was not written again, in logs and
// the audit trail.
const lostDrainSource = "not written again"

// endLostDrains ends the drains that the store lost and that were not written again in time, and returns
// those. The caller holds the lock.
func (d *Daemon) endLostDrains(now clock.Millis) []catalog.Change {
	ended := d.catalog.EndLostDrains(now)
	if len(ended) > 0 {
		d.keepRecent(now, ended)
	}
	return ended
}

// countLostDrains returns how many drains in force are of an earlier era of the store. The caller holds the lock.
func (d *Daemon) countLostDrains() int {
	count := 0
	for _, m := range d.catalog.Drains() {
		if m.Revision.Era() < d.catalog.Revision().Era() {
			count++
		}
	}
	return count
}

// drainedDomains returns the names of the failure domains that are drained. The caller holds the lock.
func (d *Daemon) drainedDomains() []string {
	var domains []string
	for _, m := range d.catalog.Drains() {
		domains = append(domains, m.Domain)
	}
	return domains
}

// mergePageDrains puts the drains of a page into force before the last page is read, which may take longer than
// the operator waits. Siblings are told after the last page. The caller holds the lock.
func (d *Daemon) mergePageDrains(now clock.Millis, page *catalog.Changes) {
	applied := d.catalog.MergeMarks(now, page.Drains)
	if len(applied) == 0 {
		return
	}
	d.updateEngine()
	d.keepRecent(now, applied)
	d.logChanges(now, storeSource, applied, nil)
}
