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

// FullRead collects the answers of a full read, which resumes with the failed call after an
// error. The zero value starts with the first page of targets. The tables come last, because
// open flows do not need them and large tables take long to arrive.
type FullRead struct {
	changes   *Changes
	next      Call
	pages     int
	startedAt clock.Millis
}

// Next returns the next call to make. A read that has become too old starts again.
func (w *FullRead) Next(now clock.Millis) Call {
	if w.changes != nil && now-w.startedAt > maxFullReadAge {
		*w = FullRead{}
	}
	if w.changes == nil {
		w.startedAt = now
	}
	return w.next
}

// AddTargets adds a page of targets. next is the key after which the next page starts, or empty
// after the last page.
func (w *FullRead) AddTargets(page *Changes, next string) {
	w.pages++
	w.next = Call{IsTables: next == "", After: next}
	if w.changes == nil {
		first := *page
		w.changes = &first
		return
	}
	w.changes.Targets = append(w.changes.Targets, page.Targets...)
	w.changes.InvalidEntries = append(w.changes.InvalidEntries, page.InvalidEntries...)
}

// AddTables adds the tables, which completes the read. It returns everything that was read and
// the time at which the first page was requested, and resets the read.
func (w *FullRead) AddTables(answer *Changes) (*Changes, clock.Millis) {
	full, startedAt := w.changes, w.startedAt
	full.Tables = answer.Tables
	full.InvalidEntries = append(full.InvalidEntries, answer.InvalidEntries...)
	*w = FullRead{}
	return full, startedAt
}

// ExceedsSiblingView reports whether the read has already taken longer than a sibling's view
// takes to arrive.
func (w *FullRead) ExceedsSiblingView(now clock.Millis) bool {
	return now-w.startedAt > maxSiblingViewDelay
}

// Pages returns the number of pages of targets read so far.
func (w *FullRead) Pages() int { return w.pages }
