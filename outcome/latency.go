package outcome

import "github.com/almondflow/almondflow/clock"

const (
	// latencySmoothing is the weight of the newest answer in the moving average.
	latencySmoothing = 0.2
	// latencyLifetime is how long an average stays valid without a new answer.
	latencyLifetime = 2 * clock.Second
)

// Latency is a moving average of a target's time to answer, in milliseconds. It is estimated
// from the client's packets and is up to 40 ms too high, because clients
// acknowledge only every second packet at once.
type Latency struct {
	average    float64
	hasAverage bool
	updatedAt  clock.Millis
}

// Add adds the time that an answer took.
func (l *Latency) Add(now, elapsed clock.Millis) {
	if !l.hasAverage || now-l.updatedAt > latencyLifetime {
		l.average = float64(elapsed)
	} else {
		l.average += latencySmoothing * (float64(elapsed) - l.average)
	}
	l.hasAverage, l.updatedAt = true, now
}

// Value returns the average, or zero if it is stale.
func (l *Latency) Value(now clock.Millis) float64 {
	if now-l.updatedAt > latencyLifetime {
		return 0
	}
	return l.average
}
