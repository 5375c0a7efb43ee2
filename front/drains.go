package front

import (
	"github.com/almondflow/almondflow/catalog"
	"github.com/almondflow/almondflow/clock"
)

// lostDrainSource is the source of changes by a drain, or its end, that the store lost and that was not written again, in
// logs and the audit trail.
const lostDrainSource = "not written again"

// settleDrains goes by what the store shows of drains that were not written again in time, and returns the
// changes. The caller holds the lock.
func (d *Daemon) settleDrains(now clock.Millis) []catalog.Change {
	applied := d.catalog.SettleDrains(now)
	if len(applied) > 0 {
		d.keepRecent(now, applied)
	}
	return applied
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
	d.logChanges(now, storeSource, applied)
}
