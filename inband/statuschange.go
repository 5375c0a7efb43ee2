package inband

import "github.com/almondflow/almondflow/clock"

// StatusChange reports that a target began or ceased to fail its requests.
type StatusChange struct {
	ID          string
	IsFailing   bool    // whether new flows now avoid the target
	FailureRate float64 // fraction of its recent requests that failed
}

// TakeStatusChanges returns the changes since the last call, ordered by target id.
func (e *Engine) TakeStatusChanges(now clock.Millis) []StatusChange {
	var all []StatusChange
	for _, b := range e.watchlist.backends {
		isFailing := b.excessFailureRate(now) > 0
		if isFailing == b.isFailing {
			continue
		}
		b.isFailing = isFailing
		all = append(all, StatusChange{ID: b.target.ID, IsFailing: isFailing, FailureRate: b.stats.FailureRate(now)})
	}
	return all
}

// FailingTargets returns the number of failing targets as of the last TakeStatusChanges.
func (e *Engine) FailingTargets() int {
	count := 0
	for _, b := range e.watchlist.backends {
		if b.isFailing && b.target.State != Gone {
			count++
		}
	}
	return count
}

// excessFailureRate returns the target's failure rate above the tolerated one.
func (b *Backend) excessFailureRate(now clock.Millis) float64 {
	return b.stats.ExcessFailureRate(now, &b.pool.stats)
}
