package standin

import "sync"

// ExecutionLog counts how often each hold ran on any target, by id, so that a repeated run is
// detected even on another target. It is safe for concurrent use.
type ExecutionLog struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewExecutionLog returns an empty ExecutionLog.
func NewExecutionLog() *ExecutionLog {
	return &ExecutionLog{runs: make(map[string]int)}
}

// Run records that a target ran the hold with an id.
func (l *ExecutionLog) Run(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

// Runs returns how often the hold with an id ran.
func (l *ExecutionLog) Runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// Count returns the number of holds that ran, and the number of those that ran more than once.
func (l *ExecutionLog) Count() (run, repeated int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, times := range l.runs {
		if times > 1 {
			repeated++
		}
	}
	return len(l.runs), repeated
}
