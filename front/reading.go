package front

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/almondflow/almondflow/catalog"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/siblings"
)

const (
	// callTimeout limits one call to the store. A slow store takes hundreds of milliseconds.
	callTimeout = 1500 * clock.Millisecond
	// changesPollTime is how long the store waits for a change before it answers.
	changesPollTime = 500 * clock.Millisecond
	// recentTargetTime is how long a changed target is included in announcements.
	recentTargetTime = 2500 * clock.Millisecond
	// maxRecentTargets is how many changed targets are kept for announcements.
	maxRecentTargets = 24
	// storeSource is the source of changes read from the store, in logs and the audit trail.
	storeSource = "store"
)

// readStore reads the store whenever a read is due, until the context is done.
func (d *Daemon) readStore(ctx context.Context) {
	for ctx.Err() == nil {
		now := d.clock.Now()
		d.mu.Lock()
		wait := d.nextRead(now) - now
		isFull, revision := d.readScheduler.NeedsFullRead(), d.catalog.Revision()
		d.mu.Unlock()
		if wait > 0 {
			d.waitUntilDue(ctx, wait)
			continue
		}
		d.readOnce(ctx, isFull, revision)
	}
}

// nextRead returns when the next read is due. The caller holds the lock.
func (d *Daemon) nextRead(now clock.Millis) clock.Millis {
	return d.readScheduler.NextRead(now - d.catalog.Age(now))
}

// updateRank updates which VMs read before this one. If the next read is due earlier now, because VMs
// are gone or the time of discovery is over, the reader must not sleep until the time it had computed
// before. The caller holds the lock.
func (d *Daemon) updateRank(now clock.Millis) {
	due := d.nextRead(now)
	d.readScheduler.SetRank(d.discovery.Rank(now, d.members.Rank(now)), 1+d.members.CountAlive(now))
	if d.nextRead(now) < due {
		d.wakeReader()
	}
}

// waitUntilDue waits for the given time, or less if the due time of the next read changes.
func (d *Daemon) waitUntilDue(ctx context.Context, wait clock.Millis) {
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-d.readerWakeUp:
	}
}

// readOnce makes one call to the store and merges the result: the next part of a full read, or
// the changes after a revision.
func (d *Daemon) readOnce(ctx context.Context, isFull bool, revision inband.Revision) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	sentAt := d.clock.Now()
	pauseCount := d.checkForPause(sentAt)
	after := ""
	if isFull {
		after = d.fullRead.Next(sentAt)
	}
	response, next, err := d.callStore(callCtx, isFull, after, revision)
	now := d.clock.Now()
	d.metrics.storeCalls.RecordValue(float64(now - sentAt))
	if d.checkForPause(now) != pauseCount {
		return // the response may be older than the clock shows
	}
	d.mu.Lock()
	if err != nil {
		d.recordStoreFailure(now, now-sentAt, err)
		d.mu.Unlock()
		return
	}
	if next != "" {
		d.mergePage(now, response, next)
		d.mu.Unlock()
		d.handlePending()
		return
	}
	if isFull {
		response, sentAt = d.fullRead.AddLastPage(response)
	}
	applied := d.mergeChanges(now, sentAt, response, isFull, storeSource)
	d.readScheduler.RecordSuccess()
	d.recordStoreSuccess(now, now-sentAt)
	d.mu.Unlock()
	d.logChanges(now, storeSource, applied)
	d.logIgnored(now, response.InvalidEntries)
	d.logPassedOver(now, storeSource)
	d.announce(now, true, maxLocalRecipients)
	d.handlePending()
}

// callStore reads the page of a full read that starts after a key, or the changes after a revision.
// For a page it also returns the key of the next one, which is empty after the last page.
func (d *Daemon) callStore(ctx context.Context, isFull bool, after string, revision inband.Revision) (*catalog.Changes, string, error) {
	if isFull {
		page, next, err := d.options.Store.Page(ctx, after)
		if err == nil {
			err = d.fullRead.CheckEra(page)
		}
		return page, next, err
	}
	changes, err := d.options.Store.Changes(ctx, revision, changesPollTime.Duration())
	return changes, "", err
}

// mergePage adds a page that is not the last one to the full read. Before the first complete view,
// the engine gets its targets at once so that their open flows are served. The rest waits for a
// view that a sibling is sending. The caller holds the lock.
func (d *Daemon) mergePage(now clock.Millis, page *catalog.Changes, next string) {
	d.fullRead.AddPage(page, next)
	d.readScheduler.SchedulePage(now, d.fullRead.Pages(), d.isSeed() || d.fullRead.ExceedsSiblingViewDelay(now))
	if d.catalog.IsComplete() {
		d.mergePageDrains(now, page)
		return
	}
	if d.isFetching {
		d.readScheduler.AwaitSiblingView(now)
	}
	d.catalog.MergePage(now, page)
	d.updateEngine()
	d.log.Info("targets_known", "at_ms", now, "targets", len(page.Targets))
}

// isSeed reports whether this VM is one of the seeds, which other VMs contact first.
func (d *Daemon) isSeed() bool {
	self := localAddress(d.sockets.messages).Addr()
	return slices.ContainsFunc(d.settings.Load().Seeds, func(seed netip.AddrPort) bool { return seed.Addr() == self })
}

// recordStoreFailure logs a failed call and schedules the next one. The caller holds the lock.
func (d *Daemon) recordStoreFailure(now, duration clock.Millis, err error) {
	switch {
	case errors.Is(err, catalog.ErrHistoryLost):
		d.readScheduler.RequireFullRead()
	case errors.Is(err, catalog.ErrTooLong): // the changes would be as long next time, pages are not
		d.readScheduler.RequireFullRead()
		d.readScheduler.RecordFailure(now)
	default:
		d.readScheduler.RecordFailure(now)
	}
	d.isStoreFailing = true
	d.log.Warn("store_failed", "at_ms", now, "took_ms", duration, "view_age_ms", d.catalog.Age(now), "error", err)
}

// recordStoreSuccess logs the first successful call after a failure. The caller holds the lock.
func (d *Daemon) recordStoreSuccess(now, duration clock.Millis) {
	if d.isStoreFailing {
		d.isStoreFailing = false
		d.log.Info("store_regained", "at_ms", now, "took_ms", duration, "revision", d.catalog.Revision())
	}
}

// mergeChanges merges changes from a source into the catalog, updates the engine, and returns the
// changes that were new. The first complete view is returned as a single change, with the drains in force. The
// caller holds the lock.
func (d *Daemon) mergeChanges(now, confirmedAt clock.Millis, changes *catalog.Changes, isFull bool, source string) []catalog.Change {
	wasComplete := d.catalog.IsComplete()
	previousGeneration := d.catalog.Generation()
	var applied []catalog.Change
	if isFull {
		applied = d.catalog.Replace(now, confirmedAt, changes)
	} else {
		applied = d.catalog.Apply(now, confirmedAt, changes)
	}
	if !wasComplete {
		d.era = d.catalog.Revision().Era()
	}
	d.noteEra(now, source)
	if d.catalog.Generation() == previousGeneration && wasComplete {
		return applied
	}
	d.updateEngine()
	if !wasComplete && d.catalog.IsComplete() {
		d.readyAt = now
		d.log.Info("ready", "at_ms", now, "tables", d.catalog.Tables().Version, "revision", d.catalog.Revision(),
			"targets", len(d.catalog.Entries()), "source", source)
		view := catalog.Change{Subject: "view", Before: "none", After: "tables " + strconv.FormatInt(d.catalog.Tables().Version, 10)}
		return append([]catalog.Change{view}, d.catalog.KnownDrains()...)
	}
	d.keepRecent(now, applied)
	return applied
}

// noteEra logs that the store came back from an older copy. The caller holds the lock.
func (d *Daemon) noteEra(now clock.Millis, source string) {
	era := d.catalog.Revision().Era()
	if era != d.era {
		d.log.Warn("store_era", "at_ms", now, "before", d.era, "after", era, "source", source, "drains_kept", d.countLostDrains())
		d.era = era
	}
}

// keepRecent keeps changed targets and drains for the next announcements. The caller holds the lock.
func (d *Daemon) keepRecent(now clock.Millis, applied []catalog.Change) {
	if now > d.recentUntil {
		d.recentTargets = d.recentTargets[:0]
	}
	for _, c := range applied {
		if c.Target != nil && len(d.recentTargets) < maxRecentTargets {
			d.recentTargets = append(d.recentTargets, c.Target)
		}
		if c.Drain != nil {
			d.recentDrains.add(now, *c.Drain)
		}
	}
	d.recentUntil = now + recentTargetTime
}

// updateEngine passes the tables, the drained domains and the changed targets to the engine. The caller
// holds the lock.
func (d *Daemon) updateEngine() {
	if tables := d.catalog.Tables(); tables != nil {
		d.engine.SetTables(tables)
	}
	d.engine.SetDrainedDomains(d.drainedDomains())
	d.engine.UpdateTargets(publishedTargets(d.catalog.TakeChanged()))
}

// pruneTargets removes targets that left long ago. The caller holds the lock.
func (d *Daemon) pruneTargets(now clock.Millis) {
	if d.catalog.Prune(now) {
		d.engine.ReplaceView(d.catalog.Tables(), publishedTargets(d.catalog.Entries()))
	}
}

// publishedTargets converts entries of the catalog for the engine.
func publishedTargets(entries []*catalog.Entry) []inband.Published {
	all := make([]inband.Published, 0, len(entries))
	for _, e := range entries {
		if !e.IsBelieved() {
			continue
		}
		all = append(all, inband.Published{Target: e.Target(), FallbackUntil: e.FallbackUntil(), MayReturnUntil: e.MayReturnUntil(), SlowStartUntil: e.SlowStartUntil()})
	}
	return all
}

// logChanges logs changes and adds them to the audit trail.
func (d *Daemon) logChanges(now clock.Millis, source string, applied []catalog.Change) {
	for _, c := range applied {
		if c.Flaw != catalog.NoFlaw && c.Before == c.After {
			continue // nothing else is believed; logPassedOver tells of the entry
		}
		d.auditTrail.add(AuditRecord{AtMS: now, Subject: c.Subject, Before: c.Before, After: c.After, Source: source})
		d.log.Info("believes", "at_ms", now, "subject", c.Subject, "before", c.Before, "after", c.After, "source", source)
	}
}

// viewSummary returns the summary of this VM's view, or nil if it is not complete. The caller
// holds the lock.
func (d *Daemon) viewSummary(now clock.Millis) *siblings.ViewSummary {
	if !d.catalog.IsComplete() {
		return nil
	}
	return &siblings.ViewSummary{
		Revision: d.catalog.Revision(), AgeMS: d.catalog.Age(now),
		Version: d.catalog.Tables().Version, Digest: d.catalog.Digest(),
	}
}
