package standin

import "sync"

// Ledger counts how often each hold ran on any target, by id, so that a repeated run is detected
// even on another target. It is safe for concurrent use.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: make(map[string]int)}
}

// Run records that a target ran the hold with an id.
func (l *Ledger) Run(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

// Runs returns how often the hold with an id ran.
func (l *Ledger) Runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// Count returns the number of holds that ran, and the number of those that ran more than once.
func (l *Ledger) Count() (run, repeated int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, times := range l.runs {
		if times > 1 {
			repeated++
		}
	}
	return len(l.runs), repeated
}
