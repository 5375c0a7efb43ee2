package front

import (
	"github.com/almondflow/almondflow/catalog"
	"github.com/almondflow/almondflow/clock"
)

// logIgnored logs entries of the store that cannot be read. The caller does not hold the lock.
func (d *Daemon) logIgnored(now clock.Millis, entries []catalog.InvalidEntry) {
	for _, e := range entries {
		d.logRoutine("entry_ignored", "at_ms", now, "key", e.Key, "revision", e.Revision, "reason", e.Reason)
	}
}

// logPassedOver logs and counts the entries of targets that the catalog did not believe. The caller does not hold the
// lock.
func (d *Daemon) logPassedOver(now clock.Millis, source string) {
	d.mu.Lock()
	passedOver := d.catalog.TakePassedOver()
	d.mu.Unlock()
	d.metrics.recordPassedOver(&passedOver)
	for _, p := range passedOver.Entries {
		t := p.Target
		d.logRoutine("entry_passed_over", "at_ms", now, "target", t.ID, "revision", t.Revision, "reason", p.Flaw, "service", t.Service,
			"address", t.Address, "domain", t.Domain, "started_at", t.StartedAtMS, "target_now", p.Believed, "source", source)
	}
}
