package catalog

import "github.com/almondflow/almondflow/clock"

// maxFullReadAge is how long after its start a full read may resume after a failed call.
const maxFullReadAge = 10 * clock.Second

// maxSiblingViewDelay is the longest time that a view from a sibling takes to arrive.
const maxSiblingViewDelay = 3 * clock.Second

// Call is one call of a full read. It requests a page of targets or the tables.
type Call struct {
	IsTables bool
	After    string // key after which the page of targets starts
}

// FullRead collects the responses of a full read, which resumes with the failed call after an
// error. The zero value starts with the first page of targets. The tables come last, because
// open flows do not need them and large tables take long to arrive.
type FullRead struct {
	changes   *Changes
	next      Call
	pages     int
	startedAt clock.Millis
}

// Next returns the next call to make. A read that has become too old starts again.
func (f *FullRead) Next(now clock.Millis) Call {
	if f.changes != nil && now-f.startedAt > maxFullReadAge {
		*f = FullRead{}
	}
	if f.changes == nil {
		f.startedAt = now
	}
	return f.next
}

// AddTargets adds a page of targets. next is the key after which the next page starts, or empty
// after the last page.
func (f *FullRead) AddTargets(page *Changes, next string) {
	f.pages++
	f.next = Call{IsTables: next == "", After: next}
	if f.changes == nil {
		first := *page
		f.changes = &first
		return
	}
	f.changes.Targets = append(f.changes.Targets, page.Targets...)
	f.changes.InvalidEntries = append(f.changes.InvalidEntries, page.InvalidEntries...)
}

// AddTables adds the tables, which completes the read after the last page. It returns everything
// that was read and the time at which the first page was requested, and resets the read.
func (f *FullRead) AddTables(response *Changes) (*Changes, clock.Millis) {
	full, startedAt := f.changes, f.startedAt
	full.Tables = response.Tables
	full.InvalidEntries = append(full.InvalidEntries, response.InvalidEntries...)
	*f = FullRead{}
	return full, startedAt
}

// ExceedsSiblingViewDelay reports whether the read has already taken longer than a sibling's
// view takes to arrive.
func (f *FullRead) ExceedsSiblingViewDelay(now clock.Millis) bool {
	return now-f.startedAt > maxSiblingViewDelay
}

// Pages returns the number of pages of targets read so far.
func (f *FullRead) Pages() int { return f.pages }
