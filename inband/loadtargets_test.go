package inband

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

// servingTargets returns targets of one pool in the domain east, of 2 slots each.
func servingTargets(count int) []Published {
	var all []Published
	for i := range count {
		all = append(all, Published{Target: &Target{ID: fmt.Sprintf("t%d", i), Service: "orders", Domain: "east", Slots: 2}})
	}
	return all
}

// newSharingEngine returns an engine in the domain east that shares its load with one other VM.
func newSharingEngine(targets []Published) *Engine {
	e := New(Options{Domain: "east", Policy: Local{}, MaxFlows: 1000, FlowLifetime: clock.Minute, SharesLoad: true})
	e.ReplaceView(nil, targets)
	e.SetLocalVMs(2)
	return e
}

// reportOf returns a report of the same work at each of the targets.
func reportOf(targets []Published, work load.Work) load.Report {
	var r load.Report
	for _, p := range targets {
		r.Targets = append(r.Targets, load.TargetWork{Tag: uint32(TagOf(p.Target.ID)), Start: startBits(p.Target), Work: work})
	}
	return r
}

// TestWorkAtTargetsThatLeaveIsNotOfThePool has this VM and another one with 3 open flows and 5 at each of ten
// targets, of which all but two get no new flows any more.
func TestWorkAtTargetsThatLeaveIsNotOfThePool(t *testing.T) {
	tests := []struct {
		name  string
		leave func(e *Engine, targets []Published)
	}{
		{"they are leaving", func(e *Engine, targets []Published) {
			for i := range targets[2:] {
				target := *targets[2+i].Target
				target.State = Leaving
				e.UpdateTargets([]Published{{Target: &target}})
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			targets := servingTargets(10)
			e := newSharingEngine(targets)
			for _, b := range e.byID {
				b.flows = 3
				e.load.track(b)
			}
			e.ReceiveLoad(100, fleetAddress, "east", reportOf(targets, load.Work{Flows: 5}))
			e.Sweep(250)
			is.Equal(e.LoadPools()[0].Work, load.Work{Flows: 80})
			tt.leave(e, targets)
			e.Sweep(500)
			is.Equal(e.LoadPools()[0].Targets, 2)
			is.Equal(e.LoadPools()[0].Work, load.Work{Flows: 16})
			is.Equal(e.byID["t0"].work(), load.Work{Flows: 8})
			is.Equal(e.TakeDomainReport(500).Pools[0].Work, load.Work{Flows: 16})
		})
	}
}

// TestRemovedTargetsAreNotOfThePool removes targets with open flows, of which one begins a request after that.
func TestRemovedTargetsAreNotOfThePool(t *testing.T) {
	is := is.New(t)
	targets := servingTargets(10)
	e := newSharingEngine(targets)
	removed := e.byID["t9"]
	for _, b := range e.byID {
		b.flows = 3
		e.load.track(b)
	}
	e.ReceiveLoad(100, fleetAddress, "east", reportOf(targets, load.Work{Flows: 5}))
	e.Sweep(250)
	e.ReplaceView(nil, targets[:2])
	is.Equal(len(e.load.active), 2)
	e.load.track(removed)
	e.Sweep(500)
	is.Equal(e.LoadPools()[0].Work, load.Work{Flows: 16})
	is.Equal(len(e.TakeDomainReport(500).Pools), 1)
}

func TestDrainedTargetsAreNotOfThePool(t *testing.T) {
	is := is.New(t)
	targets := servingTargets(4)
	e := newSharingEngine(targets)
	e.ReceiveLoad(100, fleetAddress, "east", reportOf(targets, load.Work{Flows: 5}))
	e.Sweep(250)
	is.Equal(e.LoadPools()[0].Targets, 4)
	for i := range 2 * poolsPerCount {
		e.load.add(&domainPool{id: load.DomainPoolID{Service: fmt.Sprint(i), Domain: "west"}}) // counted before its turn
	}
	e.SetDrainedDomains([]string{"east"})
	e.Sweep(500)
	orders := e.poolOf("orders").domains()[0]
	is.Equal(orders.Targets, 0)
	is.Equal(orders.Work, load.Work{})
	e.SetDrainedDomains(nil)
	e.Sweep(750)
	orders = e.poolOf("orders").domains()[0]
	is.Equal(orders.Targets, 4)
	is.Equal(orders.Work, load.Work{Flows: 20})
}

// TestWorkThatDoesNotFitIntoAReportIsToldInSum has another VM with a busy request at each of 300 targets, of which
// a report holds some 75.
func TestWorkThatDoesNotFitIntoAReportIsToldInSum(t *testing.T) {
	is := is.New(t)
	const count = 300
	targets := servingTargets(count)
	sender, receiver := newSharingEngine(targets), newSharingEngine(targets)
	for _, b := range sender.byID {
		b.flows = 2
		b.meter.Restart(0)
		b.meter.Begin(0)
		sender.load.track(b)
	}
	sender.Sweep(sweepInterval)
	report := sender.TakeLoadReport(sweepInterval)
	data := load.Encode(&report, reportBytes)
	is.True(len(data) <= reportBytes)
	decoded, err := load.Decode(data)
	is.NoErr(err)
	is.True(len(decoded.Targets) < count/2)
	receiver.ReceiveLoad(sweepInterval, fleetAddress, "east", decoded)
	receiver.Sweep(sweepInterval)
	work := receiver.LoadPools()[0].Work
	const tolerance = 1.0 // requests and flows, as numbers are rounded
	is.True(math.Abs(work.Busy-count) < tolerance)
	is.True(math.Abs(work.Flows-2*count) < tolerance)
}
