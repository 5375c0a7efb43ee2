package load_test

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

const window = 250 * clock.Millisecond

func TestMeterAverages(t *testing.T) {
	tests := []struct {
		name             string
		interval, length clock.Millis // between the starts of requests, and of each
		expected         load.Work
	}{
		{"no requests", 20 * clock.Second, 0, load.Work{}},
		{"short requests with pauses", 100, 25, load.Work{Busy: 0.25, Finished: 10}},
		{"one after the other", 50, 50, load.Work{Busy: 1, Finished: 20}},
		{"three at once", 20, 60, load.Work{Busy: 3, Finished: 50}},
		{"longer than a window", 1000, 2000, load.Work{Busy: 2, Finished: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var m load.Meter
			for now := clock.Millis(1); now <= 16*clock.Second; now++ {
				if now%tt.interval == 0 {
					m.Begin(now)
				}
				if now > tt.length && (now-tt.length)%tt.interval == 0 {
					m.End(now)
					m.AddFinished()
				}
				if now%window == 0 {
					m.CloseWindow(now, window)
				}
			}
			average := m.Average(0)
			const tolerance = 1.0 // one request more or less in the newest window
			is.True(math.Abs(average.Busy-tt.expected.Busy) < 0.02)
			is.True(math.Abs(average.Finished-tt.expected.Finished) <= tolerance)
		})
	}
}

func TestMeterForgetsATimeOfStandstill(t *testing.T) {
	is := is.New(t)
	var m load.Meter
	m.Begin(0)
	m.CloseWindow(window, window)
	m.Restart(10 * clock.Second)
	is.Equal(m.Average(0), load.Work{})
	m.CloseWindow(10*clock.Second+window, window)
	is.Equal(m.Average(0).Busy, 1.0)
	m.Forget()
	is.Equal(m.Average(0), load.Work{})
	is.Equal(m.Busy(), 1)
}

// Load: a crowd comes back. What a VM measures first after its start is not averaged with the time before.
func TestFirstWindowCountsFully(t *testing.T) {
	is := is.New(t)
	var m load.Meter
	m.Begin(0)
	m.Begin(0)
	m.AddFinished()
	m.CloseWindow(window, window)
	is.Equal(m.Average(0), load.Work{Busy: 2, Finished: 4})
}
