package faults

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
)

// load opens flows at a steady rate for a span.
func (w *world) load(span clock.Millis, feeds, holds, uploads int) {
	each := func(k kind, perSecond int, lifetime, interval clock.Millis) {
		if perSecond == 0 {
			return
		}
		count := int(span) * perSecond / int(clock.Second)
		for i := range count {
			at := clock.Millis(i) * span / clock.Millis(count)
			w.after(at, func() {
				life := lifetime/2 + clock.Millis(w.random.ExpFloat64()*float64(lifetime)/2)
				w.start(k, life, interval)
			})
		}
	}
	each(feed, feeds-feeds/4, 20*clock.Second, 4*clock.Second)
	each(line, feeds/4, 20*clock.Second, 4*clock.Second)
	each(hold, holds, 2*clock.Second, clock.Second)
	each(upload, uploads, 5*clock.Second, clock.Second)
}

func TestNothingBreaksWithoutFaults(t *testing.T) {
	is := is.New(t)
	w := newWorld(marmara(1))
	w.run(2 * openingLifetime)
	w.oracle.watch()
	w.load(40*clock.Second, 100, 20, 10)
	w.run(60 * clock.Second)
	is.Equal(w.oracle.violations, nil)
	is.True(w.oracle.watchedFlows > 4000)
	is.Equal(w.oracle.brokenFlows, 0)
	is.Equal(w.oracle.unansweredHolds, 0)
	is.Equal(w.oracle.refusedHolds, 0)
	is.Equal(w.oracle.failedOpenings, 0)
}
