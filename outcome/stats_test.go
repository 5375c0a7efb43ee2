package outcome

import (
	"testing"

	"github.com/matryer/is"
)

func TestRequestStatsDecay(t *testing.T) {
	is := is.New(t)
	s := &Stats{}
	is.Equal(s.FailureRate(0), 0.0)
	s.Add(0, 0, 1)
	is.Equal(s.FailureRate(0), 1/(1+priorSuccesses)) // one failure weighs little
	s.Add(0, 0, 7)
	is.Equal(s.FailureRate(0), 0.8)
	is.Equal(s.FailureRate(statsHalfLife), 4/(4+priorSuccesses))
	s.Add(statsHalfLife, 4, 0)
	is.Equal(s.FailureRate(statsHalfLife), 0.4)
}

// The failures of a target count above the tolerated rate, and less the more of the pool's requests fail.
func TestExcessFailureRate(t *testing.T) {
	tests := []struct {
		name           string
		target, pool   Stats
		isMore, isLess bool // than nothing, and than while none of the pool's requests fails
	}{
		{"none fails", Stats{succeeded: 100}, Stats{succeeded: 1000}, false, true},
		{"as many as tolerated", Stats{succeeded: 90, failed: 10}, Stats{succeeded: 1000}, false, true},
		{"half of them", Stats{succeeded: 50, failed: 50}, Stats{succeeded: 1000}, true, false},
		{"half of them, and some of the pool", Stats{succeeded: 50, failed: 50}, Stats{succeeded: 800, failed: 200}, true, true},
		{"half of them, and half of the pool", Stats{succeeded: 50, failed: 50}, Stats{succeeded: 500, failed: 500}, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			const now = 1
			excess := tt.target.ExcessFailureRate(now, &PoolStats{Stats: tt.pool})
			is.Equal(excess > 0, tt.isMore)
			half := Stats{succeeded: 50, failed: 50}
			is.Equal(excess < half.ExcessFailureRate(now, &PoolStats{}), tt.isLess)
		})
	}
}
