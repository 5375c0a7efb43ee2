package inband_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

func TestNewFlowsAvoidDrainedDomains(t *testing.T) {
	tests := []struct {
		name    string
		drained []string
		want    string // domain of the target; empty if the opening is rejected
	}{
		{"none", nil, "a"},
		{"another domain", []string{"b"}, "a"},
		{"own domain", []string{"a"}, "b"},
		{"domain without targets", []string{"c"}, "a"},
		{"all domains", []string{"a", "b"}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newEngine(target("i-1", "a"), target("i-2", "b"))
			e.SetDrainedDomains(tt.drained)
			v := e.Handle(0, opening(1, feedAddress, 0))
			if tt.want == "" {
				is.Equal(v.Action, inband.Reset) // at once, as no target will take it
				is.Equal(v.Reason, inband.NoTarget)
				return
			}
			is.Equal(v.Backend.Target().Domain, tt.want)
		})
	}
}

func TestOpenFlowsStayInADrainedDomain(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"), target("i-2", "b"))
	tag := openFlow(e, 1, feedAddress)
	e.SetDrainedDomains([]string{"a"})
	v := e.Handle(10, data(1, feedAddress, tag, 101, 500))
	is.Equal(v.Action, inband.Forward)
	is.Equal(v.Backend.Target().ID, "i-1")
	v = e.Handle(10, data(2, feedAddress, tag, 101, 500)) // opened through another VM
	is.Equal(v.Action, inband.Forward)
	is.Equal(v.Backend.Target().ID, "i-1")
}

// Targets that are published after the drain began, or published again, are drained, too.
func TestDrainHoldsForLaterTargets(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-2", "b"))
	e.SetDrainedDomains([]string{"a"})
	e.UpdateTargets(published(target("i-1", "a")))
	is.Equal(e.Handle(0, opening(1, feedAddress, 0)).Backend.Target().ID, "i-2")
	e.ReplaceView(nil, published(target("i-1", "a"), target("i-2", "b"), target("i-3", "a")))
	is.Equal(e.Handle(0, opening(2, feedAddress, 0)).Backend.Target().ID, "i-2")
}

func TestNewFlowsReturnAfterADrain(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"), target("i-2", "b"))
	e.SetDrainedDomains([]string{"a"})
	e.SetDrainedDomains([]string{"b"})
	is.Equal(e.Handle(0, opening(1, feedAddress, 0)).Backend.Target().ID, "i-1")
	e.SetDrainedDomains(nil)
	is.Equal(e.Handle(0, opening(2, feedAddress, 0)).Backend.Target().Domain, "a")
}

// Callers of a drained domain spread over all targets of the others, within the users' imbalance limit of
// 1.05, also if the pool is too large to be scanned.
func TestCallersOfADrainedDomainSpread(t *testing.T) {
	tests := []struct {
		name    string
		targets int
	}{
		{"scanned pool", 40},
		{"sampled pool", 3000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			const flowsPerTarget = 40
			open := tt.targets * 3 / 4
			e := newLargeEngine(largePool(tt.targets, "abcd"), open*flowsPerTarget)
			e.SetDrainedDomains([]string{"a"})
			for flow := range open * flowsPerTarget {
				is.Equal(e.Handle(0, numberedOpening(flow)).Reason, inband.Placed)
			}
			maxFlows := 0
			for _, h := range e.Targets() {
				is.True(h.Domain != "a" || h.Flows == 0)
				maxFlows = max(maxFlows, h.Flows)
			}
			is.True(float64(maxFlows) <= 1.05*flowsPerTarget)
		})
	}
}

// Without a drain, or once it has been taken back, an engine decides as one that never heard of drains.
func TestDecisionsWithoutDrainsAreUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		targets := largePool(rapid.IntRange(1, 400).Draw(t, "targets"), "abc")
		plain, drained := newLargeEngine(targets, 1000), newLargeEngine(targets, 1000)
		for flow := range rapid.IntRange(1, 50).Draw(t, "flows") {
			if rapid.Bool().Draw(t, "begins and ends") {
				drained.SetDrainedDomains([]string{"a"})
			}
			drained.SetDrainedDomains(nil)
			is.Equal(drained.Handle(0, numberedOpening(flow)).Backend.Target(), plain.Handle(0, numberedOpening(flow)).Backend.Target())
		}
	})
}

// costCounter counts the targets whose cost is computed.
type costCounter struct {
	inband.Local
	count *int
}

func (c costCounter) Cost(now clock.Millis, from inband.Location, b *inband.Backend, draw float64) float64 {
	*c.count++
	return c.Local.Cost(now, from, b, draw)
}

// A drain makes no opening to a large pool look at more targets than without it.
func TestDrainCostsNoFullScan(t *testing.T) {
	is := is.New(t)
	const maxCandidates = 32 + 8 // samples in the own domain and in the others
	count := 0
	e := inband.New(inband.Options{Domain: "a", Policy: costCounter{count: &count}, MaxFlows: 1000, FlowLifetime: clock.Minute, Seed: 1})
	e.ReplaceView(tables(1), published(largePool(4000, "abcd")...))
	e.SetDrainedDomains([]string{"a", "b", "c"})
	for flow := range 1000 {
		count = 0
		is.Equal(e.Handle(0, numberedOpening(flow)).Backend.Target().Domain, "d")
		is.True(count <= maxCandidates)
	}
}

// BenchmarkSetDrainedDomains drains one of four domains and takes the drain back.
func BenchmarkSetDrainedDomains(b *testing.B) {
	for _, count := range []int{150, 3000, 99000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			e := newLargeEngine(largePool(count, "abcd"), 1000)
			for b.Loop() {
				e.SetDrainedDomains([]string{"b"})
				e.SetDrainedDomains(nil)
			}
		})
	}
}

// BenchmarkChooseWithoutTargets rejects openings while every domain of a large pool is drained.
func BenchmarkChooseWithoutTargets(b *testing.B) {
	e := newLargeEngine(largePool(4000, "abcd"), 1000)
	e.SetDrainedDomains([]string{"a", "b", "c", "d"})
	p := numberedOpening(1)
	b.ReportAllocs()
	for b.Loop() {
		e.Handle(0, p)
	}
}

func TestExplainNamesDrainedDomains(t *testing.T) {
	is := is.New(t)
	other := target("i-3", "c")
	other.Service = "store"
	e := newEngine(target("i-1", "a"), target("i-2", "b"), target("i-4", "b"), other)
	e.SetDrainedDomains([]string{"c", "b"})
	x := e.Explain(0, key(1, feedAddress))
	is.Equal(x.DrainedDomains, []string{"b"}) // the route has no targets in domain c
	is.Equal(len(x.Candidates), 1)
	is.Equal(x.Candidates[0].ID, "i-1")
}
