package standin

import "sync"

// Ledger records which ids were run by any target, so that a second run of an id is
// seen wherever it happens. It may be used by several goroutines.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: make(map[string]int)}
}

// Run records a run of an id.
func (l *Ledger) Run(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

// Runs returns how often an id was run.
func (l *Ledger) Runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// Count returns the number of ids that were run, and of those run more than once.
func (l *Ledger) Count() (run, doubled int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, times := range l.runs {
		if times > 1 {
			doubled++
		}
	}
	return len(l.runs), doubled
}
