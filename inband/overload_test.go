package inband_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// prioritizedTables returns tables in which the hold route is more urgent than the feed route.
func prioritizedTables() *inband.Tables {
	t := tables(1)
	t.Routes[0].Priority, t.Routes[1].Priority = 2, 1
	return t
}

// loadTarget makes flows wait for the only target. The first answered of them get an answer
// after the given latency.
func loadTarget(e *inband.Engine, flows, answered int, latency clock.Millis) {
	for client := range flows {
		tag := openFlow(e, client, holdAddress)
		e.Handle(1000, data(client, holdAddress, tag, 101, 500))
	}
	for client := range answered {
		p := data(client, holdAddress, inband.TagOf("i-1"), 151, 900)
		p.DataLength = 0
		e.Handle(1000+latency, p)
	}
}

// Less urgent flows are refused while a pool is overloaded. That takes two signs: many waiting
// requests and a high latency.
func TestLessUrgentFlowsAreRefusedUnderOverload(t *testing.T) {
	tests := []struct {
		name            string
		flows, answered int
		latency         clock.Millis
		want            inband.Reason
	}{
		{"many waiting requests and high latency", 12, 2, 120, inband.Overloaded},
		{"low latency", 12, 2, 20, inband.Placed},
		{"few waiting requests", 4, 2, 120, inband.Placed},
		{"no answers", 12, 0, 0, inband.Placed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newEngine(target("i-1", "a"))
			e.SetTables(prioritizedTables())
			loadTarget(e, tt.flows, tt.answered, tt.latency)
			is.Equal(e.Handle(1130, opening(100, feedAddress, 0)).Reason, inband.Placed) // may be a short burst
			v := e.Handle(1630, opening(101, feedAddress, 0))
			is.Equal(v.Reason, tt.want)
			is.Equal(e.Handle(1630, opening(102, holdAddress, 0)).Reason, inband.Placed)
		})
	}
}

// The state of a pool must not flip with each flow.
func TestOverloadEndsAtHalfTheLimit(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"))
	e.SetTables(prioritizedTables())
	loadTarget(e, 12, 2, 120)
	e.Handle(1130, opening(100, holdAddress, 0))
	is.Equal(e.Handle(1630, opening(101, feedAddress, 0)).Reason, inband.Overloaded)
	is.Equal(e.OverloadedPools(), 1)
	waiting := 11 // including the opening above
	for client := 2; waiting > 3; client++ {
		is.Equal(e.Handle(1640, opening(101, feedAddress, 0)).Reason, inband.Overloaded)
		p := data(client, holdAddress, inband.TagOf("i-1"), 151, 900)
		p.DataLength = 0
		e.Handle(1640, p)
		waiting--
	}
	is.Equal(e.Handle(1640, opening(101, feedAddress, 0)).Reason, inband.Placed)
	is.Equal(e.OverloadedPools(), 0)
}

// If all routes to a pool have the same priority, no flow is refused.
func TestEquallyUrgentFlowsAreNotRefused(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"))
	loadTarget(e, 12, 2, 120)
	e.Handle(1130, opening(100, feedAddress, 0))
	is.Equal(e.Handle(1630, opening(101, feedAddress, 0)).Reason, inband.Placed)
	is.Equal(e.OverloadedPools(), 1)
}
