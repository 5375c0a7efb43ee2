package front

import (
	"github.com/almondflow/almondflow/catalog"
	"github.com/almondflow/almondflow/clock"
)

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
