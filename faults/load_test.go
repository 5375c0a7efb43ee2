package faults

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
)

// scheduleLoad schedules flows at a constant rate for a duration. feeds, holds and uploads
// are flows per second; a quarter of the feeds use TCP.
func (s *simulation) scheduleLoad(duration clock.Millis, feeds, holds, uploads int) {
	scheduleKind := func(k kind, perSecond int, lifetime, interval clock.Millis) {
		if perSecond == 0 {
			return
		}
		count := int(duration) * perSecond / int(clock.Second)
		for i := range count {
			at := clock.Millis(i) * duration / clock.Millis(count)
			s.schedule(at, func() {
				randomLifetime := lifetime/2 + clock.Millis(s.random.ExpFloat64()*float64(lifetime)/2)
				s.startFlow(k, randomLifetime, interval)
			})
		}
	}
	scheduleKind(feed, feeds-feeds/4, 20*clock.Second, 4*clock.Second)
	scheduleKind(line, feeds/4, 20*clock.Second, 4*clock.Second)
	scheduleKind(hold, holds, 2*clock.Second, clock.Second)
	scheduleKind(upload, uploads, 5*clock.Second, clock.Second)
}

func TestNothingBreaksWithoutFaults(t *testing.T) {
	is := is.New(t)
	s := newSimulation(marmaraConfig(1))
	s.advance(2 * openingLifetime)
	s.oracle.startCounting()
	s.scheduleLoad(40*clock.Second, 100, 20, 10)
	s.advance(60 * clock.Second)
	is.Equal(s.oracle.violations, nil)
	is.True(s.oracle.countedFlows > 4000)
	is.Equal(s.oracle.brokenFlows, 0)
	is.Equal(s.oracle.unansweredHolds, 0)
	is.Equal(s.oracle.refusedHolds, 0)
	is.Equal(s.oracle.failedOpenings, 0)
}
