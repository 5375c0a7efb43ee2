package inband

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
)

// requestStats counts recent successful and failed requests, with exponential decay.
type requestStats struct {
	succeeded float64
	failed    float64
	updatedAt clock.Millis
}

func (s *requestStats) add(now clock.Millis, succeeded, failed float64) {
	decay := s.decay(now)
	s.succeeded = s.succeeded*decay + succeeded
	s.failed = s.failed*decay + failed
	s.updatedAt = now
}

// failureRate returns the fraction of recent requests that failed.
func (s *requestStats) failureRate(now clock.Millis) float64 {
	if s.failed == 0 {
		return 0
	}
	decay := s.decay(now)
	return s.failed * decay / ((s.succeeded+s.failed)*decay + priorSuccesses)
}

// maxFailureRate returns an upper bound of failureRate at any later time, as the weight of
// failures decays.
func (s *requestStats) maxFailureRate() float64 {
	return s.failed / (s.succeeded + s.failed + priorSuccesses)
}

// decay returns the remaining weight of requests counted at the last update.
func (s *requestStats) decay(now clock.Millis) float64 {
	return math.Exp2(-float64(now-s.updatedAt) / statsHalfLife)
}
