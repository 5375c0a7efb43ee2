package inband

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/admission"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

// newTwoDomainEngine returns an engine in the domain east with a target there and one in the domain west, and the pool.
func newTwoDomainEngine(options Options) (*Engine, *pool) {
	options.Domain, options.Policy, options.MaxFlows = "east", Shared{}, 100
	e, p := newOneLevelEngine(options)
	e.ReplaceView(nil, []Published{
		{Target: &Target{ID: "t1", Service: "orders", Domain: "east", Slots: 2}},
		{Target: &Target{ID: "t2", Service: "orders", Domain: "west", Slots: 2}},
	})
	p = e.poolOf(p.service)
	p.admission.SetLevels([]admission.Level{{Priority: 1, TargetLatency: 400}, {Priority: 2}})
	e.SetLocalVMs(10)
	e.Sweep(clock.Minute)
	return e, p
}

// begin has a number of requests begin at a target.
func (e *Engine) begin(id string, requests int) {
	b := e.byID[id]
	for range requests {
		b.meter.Begin(e.activeAt)
		e.load.track(b)
	}
}

// Load: one kind presses. What this VM has under way counts at once, for the other VMs of the domain as well.
func TestPresentFollowsOwnRequestsAtOnce(t *testing.T) {
	is := is.New(t)
	e, p := newTwoDomainEngine(Options{SharesLoad: true, RefusesByUrgency: true})
	e.begin("t1", 8)
	e.begin("t2", 4)
	now := clock.Minute + 10
	sample := load.Sample{Others: 9}
	is.Equal(e.present(now, p).Busy, sample.Present(load.Work{}, 8, 0))
	p.admission.ObserveShedElsewhere(now)
	is.Equal(e.present(now, p).Busy, sample.Present(load.Work{}, 12, 0)) // VMs there have as many here
	is.Equal(e.present(now, p).Slots, 2)
}

// Load: a domain drained under load. VMs of the drained domain see at once what is under way where their flows go.
func TestPresentOfADrainedDomainIsThatOfTheOthers(t *testing.T) {
	is := is.New(t)
	e, p := newTwoDomainEngine(Options{SharesLoad: true, RefusesByUrgency: true})
	e.SetDrainedDomains([]string{"east"})
	e.begin("t1", 8)
	e.begin("t2", 4)
	present := e.present(clock.Minute+10, p)
	sample := load.Sample{Others: 19} // as many VMs in the other domain
	is.Equal(present.Busy, sample.Present(load.Work{}, 4, 0))
	is.Equal(present.Slots, 2)
	is.Equal(present.Elsewhere, 4)
}

// Copies to pools whose routes have one priority are let through as before, also when their answers would come too late.
func TestCopiesToPoolsWithOnePriorityAreNotDeferred(t *testing.T) {
	tests := []struct {
		name     string
		levels   []admission.Level
		reason   Reason
		expected bool
	}{
		{"one priority, copy", []admission.Level{{Priority: 1, TargetLatency: 400}}, PlacedLate, false},
		{"one priority, first copy", []admission.Level{{Priority: 1, TargetLatency: 400}}, Placed, true},
		{"two priorities, copy", []admission.Level{{Priority: 1, TargetLatency: 400}, {Priority: 2}}, PlacedLate, true},
		{"two priorities, copy that moves", []admission.Level{{Priority: 1, TargetLatency: 400}, {Priority: 2}}, MovedUnresponsive, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e, p := newTwoDomainEngine(Options{RefusesByUrgency: true})
			p.admission.SetLevels(tt.levels)
			is.Equal(e.mayRefuse(clock.Minute+openingCopiesTime, p, tt.reason), tt.expected)
		})
	}
}

// Without shared load, decisions go by answers as before.
func TestNothingIsPresentWithoutSharedLoad(t *testing.T) {
	is := is.New(t)
	e, p := newTwoDomainEngine(Options{RefusesByUrgency: true})
	e.begin("t1", 8)
	is.Equal(e.present(clock.Minute, p).Slots, 0)
	e.observeAnswer(clock.Minute, &flow{backend: e.byID["t2"], responseTime: 4000})
	is.True(!p.admission.IsFullElsewhere(clock.Minute))
}

// Load: one kind presses. Openings stay in this VM's own domain while others are full, if a target there takes them.
func TestOpeningsAreKept(t *testing.T) {
	tests := []struct {
		name     string
		state    State // of the target in the own domain
		chosen   string
		expected string
	}{
		{"a target of another domain", Serving, "t2", "t1"},
		{"a target of the own domain", Serving, "t1", "t1"},
		{"no target in the own domain", Leaving, "t2", "t2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e, p := newTwoDomainEngine(Options{SharesLoad: true, RefusesByUrgency: true})
			changed := *e.byID["t1"].target
			changed.State = tt.state
			e.UpdateTargets([]Published{{Target: &changed}})
			is.Equal(e.keep(clock.Minute+10, p, e.byID[tt.chosen]), e.byID[tt.expected])
		})
	}
}
