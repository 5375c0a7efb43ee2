package spread_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
	"github.com/almondflow/almondflow/spread"
)

const paceInterval = 250 * clock.Millisecond

// see adds the same work for a time to a pace, of a target with two slots, and returns when that ended.
func see(p *spread.Pace, from, duration clock.Millis, work load.Work, usual float64) clock.Millis {
	now := from
	for ; now < from+duration; now += paceInterval {
		p.Add(now, work, work, 2, usual)
	}
	return now
}

func TestSlowdown(t *testing.T) {
	tests := []struct {
		name     string
		work     load.Work
		usual    float64 // milliseconds
		min, max float64
	}{
		{"nothing is known", load.Work{}, 0, 1, 1},
		{"the usual time is unknown", load.Work{Busy: 2, Finished: 1}, 0, 1, 1},
		{"no request yet", load.Work{}, 50, 1, 1},
		{"refuses its requests at once", load.Work{Busy: 0.1, Finished: 200}, 50, 1, 1},
		{"a queue, at the usual pace", load.Work{Busy: 10, Finished: 40}, 50, 1, 1.01},
		{"five times slower", load.Work{Busy: 2, Finished: 8}, 50, 2.5, 5},
		{"hangs", load.Work{Busy: 2}, 50, 5, 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var p spread.Pace
			now := see(&p, clock.Second, 2*clock.Second, tt.work, tt.usual)
			slowdown := p.Slowdown(now, tt.usual)
			is.True(slowdown >= tt.min)
			is.True(slowdown <= tt.max)
		})
	}
}

// One request that has not finished does not yet make a target look slow.
func TestSlowdownOfOneRequest(t *testing.T) {
	is := is.New(t)
	var p spread.Pace
	p.Add(clock.Second, load.Work{}, load.Work{}, 2, 50)
	p.Add(clock.Second+50, load.Work{Busy: 1}, load.Work{Busy: 1}, 2, 50)
	is.True(p.Slowdown(clock.Second+50, 50) <= 1.5)
}

// A VM that sees one of five requests at a target with two slots knows that most of its time was spent waiting.
func TestSlowdownCountsNoWaits(t *testing.T) {
	is := is.New(t)
	var p spread.Pace
	now := clock.Second
	for ; now < 3*clock.Second; now += paceInterval {
		p.Add(now, load.Work{Busy: 1, Finished: 8}, load.Work{Busy: 5, Finished: 40}, 2, 50)
	}
	is.True(p.Slowdown(now, 50) <= 1.01)
}

// TestSlowdownIsRemembered guards callers against a slow target that is taken for a usual one as soon as it gets no
// requests, and a target against one that is never tried again.
func TestSlowdownIsRemembered(t *testing.T) {
	is := is.New(t)
	var p spread.Pace
	now := see(&p, clock.Second, 2*clock.Second, load.Work{Busy: 2, Finished: 8}, 50)
	is.True(p.Slowdown(now+2*clock.Second, 50) >= 2)
	is.True(p.Slowdown(now+20*clock.Second, 50) <= 1.1)
}

// New requests show at once that a target has recovered.
func TestSlowdownFollowsNewRequests(t *testing.T) {
	is := is.New(t)
	var p spread.Pace
	now := see(&p, clock.Second, 2*clock.Second, load.Work{Busy: 2, Finished: 8}, 50)
	now = see(&p, now, clock.Second, load.Work{Busy: 2, Finished: 40}, 50)
	is.True(p.Slowdown(now, 50) <= 1.5)
}

// Slow targets do not change what is usual.
func TestUsualServiceTime(t *testing.T) {
	is := is.New(t)
	var paces []*spread.Pace
	is.Equal(spread.UsualServiceTime(0, slices.Values(paces)), 0.0)
	now := clock.Millis(0)
	for i := range 8 {
		work := load.Work{Busy: 1, Finished: 20}
		if i%4 == 0 {
			work = load.Work{Busy: 2, Finished: 8}
		}
		p := &spread.Pace{}
		now = see(p, clock.Second, 2*clock.Second, work, 50)
		paces = append(paces, p)
	}
	usual := spread.UsualServiceTime(now, slices.Values(paces))
	is.True(usual > 49)
	is.True(usual < 51)
}

// A target without requests for long says little of what is usual now.
func TestUsualServiceTimeFollowsTheTargetsInUse(t *testing.T) {
	is := is.New(t)
	idle, busy := &spread.Pace{}, &spread.Pace{}
	now := see(idle, clock.Second, 2*clock.Second, load.Work{Busy: 1, Finished: 10}, 100)
	see(busy, now, clock.Minute, load.Work{Busy: 1, Finished: 20}, 50)
	usual := spread.UsualServiceTime(now+clock.Minute, slices.Values([]*spread.Pace{idle, busy}))
	is.True(usual > 49)
	is.True(usual < 51)
}
