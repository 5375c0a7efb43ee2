package spread_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
	"github.com/almondflow/almondflow/spread"
)

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

// TestSpillFollowsOwnAnswers guards callers of a domain that begins to press, or ceased to, while news does not
// tell of it yet.
func TestSpillFollowsOwnAnswers(t *testing.T) {
	idle := load.DomainPool{Targets: 10, Slots: 20, Work: load.Work{Busy: 4, Finished: 80}}
	full := load.DomainPool{Targets: 10, Slots: 20, Work: load.Work{Busy: 100, Finished: 400}}
	tests := []struct {
		name       string
		own        load.DomainPool
		answers    int // in each interval
		answerTime clock.Millis
		isSpilling bool
	}{
		{"requests wait, and news tells of no load", idle, 10, 300, true},
		{"one request took long", idle, 1, 300, false},
		{"no request waits, and news tells of waits", full, 50, 50, false},
		{"few answers, and news tells of waits", full, 1, 50, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var s spread.Spill
			for now := clock.Millis(0); now < 2*clock.Second; now += 250 {
				for range tt.answers {
					s.Observe(tt.answerTime, 50)
				}
				s.Update(now, tt.own, idle, 50)
			}
			is.Equal(s.Share() > 0, tt.isSpilling)
		})
	}
}

// Targets that refuse most requests at once do not hide that the others wait.
func TestSpillIsNotMisledByRefusals(t *testing.T) {
	is := is.New(t)
	idle := load.DomainPool{Targets: 10, Slots: 20, Work: load.Work{Busy: 4, Finished: 80}}
	var s spread.Spill
	for now := clock.Millis(0); now < 2*clock.Second; now += 250 {
		for range 4 {
			s.Observe(300, 50)
			s.Observe(1, 50)
			s.Observe(1, 50)
			s.Observe(1, 50)
		}
		s.Update(now, idle, idle, 50)
	}
	is.True(s.Share() > 0)
}

// TestSpillStaysWhileItIsNeeded guards against a share that declines because it has the effect wanted. A quarter of the
// flows has to leave, and news is late.
func TestSpillStaysWhileItIsNeeded(t *testing.T) {
	const interval, delay, needed = 250, 6, 0.25
	is := is.New(t)
	idle := load.DomainPool{Targets: 10, Slots: 20, Work: load.Work{Busy: 4, Finished: 80}}
	var s spread.Spill
	var shares [delay]float64 // as of the news
	for i := range 200 {
		busy := 40 * (1 - shares[i%delay])
		own := load.DomainPool{Targets: 10, Slots: 20, Work: load.Work{Busy: busy, Finished: 20 * min(20, busy)}}
		s.Update(clock.Millis(i)*interval, own, idle, 50)
		shares[i%delay] = s.Share()
		if i >= 100 {
			is.True(s.Share() > needed/2)
			is.True(s.Share() < needed*2)
		}
	}
}

// A domain whose flows have all left must get some again when it has room.
func TestSpillEndsAfterTheHardestLoad(t *testing.T) {
	is := is.New(t)
	full := load.DomainPool{Targets: 10, Slots: 20, Work: load.Work{Busy: 1000, Finished: 400}}
	idle := load.DomainPool{Targets: 10, Slots: 20, Work: load.Work{Busy: 4, Finished: 80}}
	var s spread.Spill
	now := clock.Millis(0)
	for ; now < 20*clock.Second; now += 250 {
		s.Update(now, full, idle, 50)
	}
	is.True(s.Share() < 1)
	for ; now < 24*clock.Second; now += 250 {
		s.Update(now, idle, idle, 50)
	}
	is.Equal(s.Share(), 0.0)
}

// A VM that stood still must not act on the time that passed meanwhile.
func TestSpillAfterAPause(t *testing.T) {
	full := load.DomainPool{Targets: 10, Slots: 20, Work: load.Work{Busy: 100, Finished: 400}}
	idle := load.DomainPool{Targets: 10, Slots: 20, Work: load.Work{Busy: 4, Finished: 80}}
	var s spread.Spill
	s.Update(clock.Minute, full, idle, 50)
	is.New(t).True(s.Share() <= 0.25)
}
