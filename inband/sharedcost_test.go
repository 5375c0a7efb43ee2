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

func (p countingPolicy) Cost(now clock.Millis, from inband.Location, b *inband.Backend) float64 {
	*p.considered++
	return p.Shared.Cost(now, from, b)
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
