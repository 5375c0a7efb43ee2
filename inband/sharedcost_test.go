package inband_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/load"
)

// countingPolicy counts the targets that Shared considers.
type countingPolicy struct {
	inband.Shared
	considered *int
}

func (p countingPolicy) Cost(now clock.Millis, from inband.Location, b *inband.Backend, draw float64) float64 {
	*p.considered++
	return p.Shared.Cost(now, from, b, draw)
}

// TestSharedConsidersASample guards the packet path: the time for an opening must not grow with the pool. It
// considers one sample of 16 targets, and the best one again.
func TestSharedConsidersASample(t *testing.T) {
	const sample, openings = 16, 100
	for _, count := range []int{40, 250, 3000} {
		t.Run(fmt.Sprintf("targets=%d", count), func(t *testing.T) {
			is := is.New(t)
			considered := 0
			e := newEngineOf(countingPolicy{considered: &considered}, largePool(count, "a"))
			for flow := range openings {
				is.Equal(e.Handle(0, numberedOpening(flow)).Reason, inband.Placed)
			}
			is.True(considered <= openings*(sample+1))
		})
	}
}

// TestSharedConsidersTwoSamplesOfFullTargets guards the packet path while there are most openings: when all
// targets are full.
func TestSharedConsidersTwoSamplesOfFullTargets(t *testing.T) {
	const sample, openings = 16, 100
	for _, count := range []int{40, 250, 3000} {
		t.Run(fmt.Sprintf("targets=%d", count), func(t *testing.T) {
			is := is.New(t)
			considered := 0
			targets := largePool(count, "a")
			e := newEngineOf(countingPolicy{considered: &considered}, targets)
			r := &reporter{targets: targets, work: load.Work{Busy: 1, Finished: 20, Flows: 1000}}
			r.report(e, 0)
			e.Sweep(0)
			for flow := range openings {
				is.Equal(e.Handle(0, numberedOpening(flow)).Reason, inband.Placed)
			}
			is.True(considered <= openings*(2*sample+1))
		})
	}
}

// A second sample finds most of the targets that have room, if they are a quarter of the pool.
func TestSharedFindsTargetsWithRoom(t *testing.T) {
	const openings = 1000
	is := is.New(t)
	targets := largePool(400, "a")
	e := newEngineOf(inband.Shared{}, targets)
	full := load.Work{Busy: 1, Finished: 20, Flows: 1000}
	r := &reporter{targets: targets, work: full, workAt: map[string]load.Work{}}
	for i := 0; i < len(targets); i += 4 {
		r.workAt[targets[i].ID] = load.Work{Busy: 1, Finished: 20}
	}
	r.report(e, 0)
	e.Sweep(0)
	missed := 0
	for flow := range openings {
		if r.workAt[e.Handle(0, numberedOpening(flow)).Backend.Target().ID] == (load.Work{}) {
			missed++
		}
	}
	is.True(missed <= openings/100)
}

// BenchmarkChooseInOneDomain measures openings while all targets are in the VM's own failure domain.
func BenchmarkChooseInOneDomain(b *testing.B) {
	for _, policy := range []inband.Policy{inband.Local{}, inband.Shared{}} {
		for _, count := range []int{40, 250} {
			b.Run(fmt.Sprintf("policy=%T/targets=%d", policy, count), func(b *testing.B) {
				targets := largePool(count, "a")
				e := newEngineOf(policy, targets)
				r := &reporter{targets: targets[:min(count, 100)], work: load.Work{Busy: 1, Finished: 20}}
				r.report(e, 0)
				e.Sweep(0)
				flow := 0
				b.ReportAllocs()
				for b.Loop() {
					flow++
					e.Handle(clock.Millis(flow), numberedOpening(flow))
				}
			})
		}
	}
}

// newEngineOfServices returns an engine that knows many services in four failure domains. None has work.
func newEngineOfServices(services int) *inband.Engine {
	var targets []*inband.Target
	for i := range services {
		for _, domain := range []string{"a", "b", "c", "d"} {
			t := target(fmt.Sprintf("i-%d-%s", i, domain), domain)
			t.Service = fmt.Sprintf("s%d", i)
			targets = append(targets, t)
		}
	}
	return newEngineOf(inband.Shared{}, targets)
}

// TestSweepOfServicesWithoutWork guards the periodic work against one that grows with all services.
func TestSweepOfServicesWithoutWork(t *testing.T) {
	const sweeps = 10
	allocations := func(services int) float64 {
		e := newEngineOfServices(services)
		now := clock.Millis(0)
		return testing.AllocsPerRun(sweeps, func() {
			now += 250
			e.Sweep(now)
		})
	}
	is.New(t).Equal(allocations(500), allocations(1))
}

// BenchmarkSweepShared sweeps a VM that knows many services without work.
func BenchmarkSweepShared(b *testing.B) {
	e := newEngineOfServices(500)
	now := clock.Millis(0)
	b.ReportAllocs()
	for b.Loop() {
		now += 250
		e.Sweep(now)
	}
}
