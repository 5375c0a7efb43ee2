// Package outcome tells how the requests at targets end, as far as a client's packets show: how many fail, how long
// answers take, and which are too short to be more than an error. Its types hold what one VM saw and decide nothing
// about a flow.
package outcome

import (
	"math"

	"github.com/almondflow/almondflow/clock"
)

const (
	// statsHalfLife is the time in milliseconds after which a request counts half.
	statsHalfLife = 3000.0
	// priorSuccesses is the number of successes assumed in advance, so that one failure weighs
	// little.
	priorSuccesses = 2.0
	// toleratedFailureRate is the fraction of a target's requests that may fail without
	// consequence.
	toleratedFailureRate = 0.1
	// systemicFailureRate is the failure rate of a pool at which failures are no longer
	// attributed to single targets: after the loss of all VMs, clients overload all targets.
	systemicFailureRate = 0.35
)

// Stats counts recent successful and failed requests, with exponential decay.
type Stats struct {
	succeeded float64
	failed    float64
	updatedAt clock.Millis
}

// Add counts requests that succeeded and failed.
func (s *Stats) Add(now clock.Millis, succeeded, failed float64) {
	decay := s.decay(now)
	s.succeeded = s.succeeded*decay + succeeded
	s.failed = s.failed*decay + failed
	s.updatedAt = now
}

// FailureRate returns the fraction of recent requests that failed.
func (s *Stats) FailureRate(now clock.Millis) float64 {
	if s.failed == 0 {
		return 0
	}
	decay := s.decay(now)
	return s.failed * decay / ((s.succeeded+s.failed)*decay + priorSuccesses)
}

// maxFailureRate returns an upper bound of FailureRate at any later time, as the weight of
// failures decays.
func (s *Stats) maxFailureRate() float64 {
	return s.failed / (s.succeeded + s.failed + priorSuccesses)
}

// decay returns the remaining weight of requests counted at the last update.
func (s *Stats) decay(now clock.Millis) float64 {
	return math.Exp2(-float64(now-s.updatedAt) / statsHalfLife)
}

// ExcessFailureRate returns the failure rate of a target above the tolerated one. It is scaled
// down as the failure rate of the whole pool grows, because the target is then not the cause.
func (s *Stats) ExcessFailureRate(now clock.Millis, pool *PoolStats) float64 {
	if s.maxFailureRate() <= toleratedFailureRate {
		return 0
	}
	confidence := pool.confidence(now)
	if confidence == 0 {
		return 0
	}
	return max(0, s.FailureRate(now)-toleratedFailureRate) * confidence
}

// PoolStats counts the requests at all targets of a pool.
type PoolStats struct {
	Stats
	lastConfidence float64 // as of confidenceAt; all targets of the pool use it
	confidenceAt   clock.Millis
}

// confidence returns how far failures can be attributed to single targets: one while no
// requests of the pool fail, down to zero at systemicFailureRate.
func (p *PoolStats) confidence(now clock.Millis) float64 {
	if p.confidenceAt != now || p.confidenceAt == 0 {
		p.lastConfidence = max(0, 1-p.FailureRate(now)/systemicFailureRate)
		p.confidenceAt = now
	}
	return p.lastConfidence
}
