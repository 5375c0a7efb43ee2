package inband

import "github.com/almondflow/almondflow/clock"

const (
	// toleratedFailureRate is the fraction of a target's requests that may fail without
	// consequence.
	toleratedFailureRate = 0.1
	// systemicFailureRate is the failure rate of a pool at which failures are no longer
	// attributed to single targets: after the loss of all VMs, clients overload all targets.
	systemicFailureRate = 0.35
)

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
		all = append(all, StatusChange{ID: b.target.ID, IsFailing: isFailing, FailureRate: b.stats.failureRate(now)})
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

// excessFailureRate returns the target's failure rate above the tolerated one. It is scaled
// down as the failure rate of the whole pool grows, because the target is then not the cause.
func (b *Backend) excessFailureRate(now clock.Millis) float64 {
	if b.stats.maxFailureRate() <= toleratedFailureRate {
		return 0
	}
	confidence := b.pool.confidence(now)
	if confidence == 0 {
		return 0
	}
	return max(0, b.stats.failureRate(now)-toleratedFailureRate) * confidence
}

// confidence returns how far failures can be attributed to single targets: one while no
// requests of the pool fail, down to zero at systemicFailureRate.
func (p *pool) confidence(now clock.Millis) float64 {
	if p.confidenceAt != now || p.confidenceAt == 0 {
		p.lastConfidence = max(0, 1-p.stats.failureRate(now)/systemicFailureRate)
		p.confidenceAt = now
	}
	return p.lastConfidence
}
