package spread_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
	"github.com/almondflow/almondflow/spread"
)

func ExampleTarget_ResponseTime() {
	idle := spread.Target{Work: load.Work{Busy: 0.2}, Slots: 2, Slowdown: 1}
	busy := spread.Target{Work: load.Work{Busy: 5}, Slots: 2, Slowdown: 1}
	slow := spread.Target{Work: load.Work{Busy: 2}, Slots: 2, Slowdown: 3.6}
	for _, t := range []spread.Target{idle, busy, slow} {
		fmt.Printf("%.1f\n", t.ResponseTime())
	}
	// Output:
	// 1.0
	// 3.0
	// 5.4
}

// A slow target gets less than what it finishes, but for pools where requests wait about as long.
func TestCostOfSlowTargets(t *testing.T) {
	is := is.New(t)
	usual, slow := spread.Target{Slots: 2, Slowdown: 1}, spread.Target{Slots: 2, Slowdown: 4}
	is.Equal(slow.Cost(1, 0, 1)/usual.Cost(1, 0, 1), 64.0)
	is.Equal(slow.Cost(4, 0, 1)/usual.Cost(4, 0, 1), 4.0)
}

func TestIsFull(t *testing.T) {
	is := is.New(t)
	work := load.Work{Flows: 100}
	is.True(!spread.Target{Work: work}.IsFull()) // no limit
	is.True(!spread.Target{Work: work, MaxConnections: 101}.IsFull())
	is.True(spread.Target{Work: work, MaxConnections: 100}.IsFull())
}

func TestMarginIsAtMostOneServiceTime(t *testing.T) {
	tests := []struct {
		name          string
		targetLatency clock.Millis
		expected      float64
	}{
		{"no target latency", 0, 50},
		{"callers in a hurry", 100, 10},
		{"patient callers", 1000, 50},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(spread.Margin(tt.targetLatency, 50), tt.expected)
		})
	}
}

func TestShareGrowsWhileRequestsWaitLonger(t *testing.T) {
	idle := load.DomainPool{Targets: 10, Slots: 20, Work: load.Work{Busy: 4, Finished: 80}}
	full := load.DomainPool{Targets: 10, Slots: 20, Work: load.Work{Busy: 100, Finished: 400}}
	silent := load.DomainPool{Targets: 10, Slots: 20}
	stalled := load.DomainPool{Targets: 10, Slots: 20, Work: load.Work{Busy: 100}}
	tests := []struct {
		name        string
		own, others load.DomainPool
		isSpilling  bool
	}{
		{"nothing presses", idle, idle, false},
		{"the own domain is full", full, idle, true},
		{"all domains are full", full, full, false},
		{"another domain is full", idle, full, false},
		{"full, and the others have no work", full, silent, true},
		{"full, and the others hang", full, stalled, false},
		{"full, and no other domain", full, load.DomainPool{}, false},
		{"nothing is known", silent, silent, false},
		{"no target in the own domain", load.DomainPool{}, idle, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var s spread.Spill
			for now := clock.Millis(0); now < 4*clock.Second; now += 250 {
				s.Update(now, tt.own, tt.others, spread.Margin(0, tt.own.Work.ServiceTime(tt.own.Slots)))
			}
			is.Equal(s.Share() > 0, tt.isSpilling)
		})
	}
}

// TestSpillHoldsWhileNothingFinishes guards against flows that come back to a domain because its targets hang.
func TestSpillHoldsWhileNothingFinishes(t *testing.T) {
	full := load.DomainPool{Targets: 10, Slots: 20, Work: load.Work{Busy: 100, Finished: 400}}
	idle := load.DomainPool{Targets: 10, Slots: 20, Work: load.Work{Busy: 4, Finished: 80}}
	stalled := load.DomainPool{Targets: 10, Slots: 20, Work: load.Work{Busy: 100}}
	is := is.New(t)
	var s spread.Spill
	for now := clock.Millis(0); now < 2*clock.Second; now += 250 {
		s.Update(now, full, idle, 50)
	}
	share := s.Share()
	is.True(share > 0)
	s.Update(2*clock.Second, stalled, idle, 0)
	is.Equal(s.Share(), share)
	s.Update(3*clock.Second, load.DomainPool{Targets: 10, Slots: 20}, idle, 0)
	is.Equal(s.Share(), 0.0) // nothing is under way
}

// A VM that stood still must not act on the time that passed meanwhile.
func TestSpillAfterAPause(t *testing.T) {
	full := load.DomainPool{Targets: 10, Slots: 20, Work: load.Work{Busy: 100, Finished: 400}}
	idle := load.DomainPool{Targets: 10, Slots: 20, Work: load.Work{Busy: 4, Finished: 80}}
	var s spread.Spill
	s.Update(clock.Minute, full, idle, 50)
	is.New(t).True(s.Share() <= 0.25)
}
