package catalog

import "github.com/almondflow/almondflow/clock"

// maxFullReadAge is how long after its start a full read may resume after a failed call.
const maxFullReadAge = 10 * clock.Second

// maxSiblingViewDelay is the longest time that a view from a sibling takes to arrive.
const maxSiblingViewDelay = 3 * clock.Second

// FullRead collects the pages of a full read, which resumes with the failed call after an error. The
// zero value starts with the first page.
type FullRead struct {
	changes   *Changes
	next      string // key after which the next page starts
	pages     int
	startedAt clock.Millis
}

// Next returns the key after which the next page starts, empty for the first one. A read that has
// become too old starts again.
func (f *FullRead) Next(now clock.Millis) string {
	if f.changes != nil && now-f.startedAt > maxFullReadAge {
		*f = FullRead{}
	}
	if f.changes == nil {
		f.startedAt = now
	}
	return f.next
}

// CheckEra returns an error if a page is of another era of the store than the pages before, and starts the read
// again then: what was read is no longer in the store.
func (f *FullRead) CheckEra(page *Changes) error {
	if f.changes == nil || page.Revision.Era() == f.changes.Revision.Era() {
		return nil
	}
	*f = FullRead{}
	return errEraChanged
}

// AddPage adds a page that is not the last one. next is the key after which the next page starts.
func (f *FullRead) AddPage(page *Changes, next string) {
	f.pages++
	f.next = next
	if f.changes == nil {
		first := *page
		f.changes = &first
		return
	}
	if page.Tables != nil {
		f.changes.Tables = page.Tables
	}
	f.changes.Targets = append(f.changes.Targets, page.Targets...)
	f.changes.Drains = append(f.changes.Drains, page.Drains...)
	f.changes.InvalidEntries = append(f.changes.InvalidEntries, page.InvalidEntries...)
}

// AddLastPage adds the page that completes the read. It returns everything that was read and the
// time at which the first page was requested, and resets the read. The pages are no snapshot, so
// the result is complete only up to the revision of the first one.
func (f *FullRead) AddLastPage(page *Changes) (*Changes, clock.Millis) {
	f.AddPage(page, "")
	full, startedAt := f.changes, f.startedAt
	full.HasAllDrains = true
	*f = FullRead{}
	return full, startedAt
}

// ExceedsSiblingViewDelay reports whether the read has already taken longer than a sibling's
// view takes to arrive.
func (f *FullRead) ExceedsSiblingViewDelay(now clock.Millis) bool {
	return now-f.startedAt > maxSiblingViewDelay
}

// Pages returns the number of pages read so far.
func (f *FullRead) Pages() int { return f.pages }
