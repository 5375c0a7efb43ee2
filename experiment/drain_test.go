package experiment_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/experiment"
	"github.com/almondflow/almondflow/inband"
)

// TestDomainDrainedUnderLoad checks that a drain sends no new flow to its targets once all VMs know of it,
// breaks no open flow, and costs callers nothing while the other domains have room.
func TestDomainDrainedUnderLoad(t *testing.T) {
	const at, lasts = 4 * clock.Second, 6 * clock.Second
	drainOf := func(domain int, from, duration clock.Millis) experiment.Fault {
		return experiment.Fault{Kind: experiment.DrainDomain, At: from, For: duration, Domain: domain}
	}
	tests := []struct {
		name   string
		faults []experiment.Fault
		credit float64 // minimum
	}{
		{"constant load", []experiment.Fault{drainOf(1, at, lasts)}, 0.99},
		{"half as many requests more", []experiment.Fault{drainOf(1, at, lasts), {Kind: experiment.LoadBurst, At: at, For: lasts, Share: 0.5}}, 0.99},
		{"two domains", []experiment.Fault{drainOf(1, at, lasts), drainOf(2, at+clock.Second, lasts)}, 0.99},
		{"taken back and drained again", []experiment.Fault{drainOf(1, at, 2*clock.Second), drainOf(1, at+3*clock.Second, 3*clock.Second)}, 0.99},
		{"clients of another domain come, too", []experiment.Fault{drainOf(1, at, lasts), {Kind: experiment.ShiftClients, At: at, For: lasts, Domain: 0}}, 0.99},
		{"all VMs are killed and restart", []experiment.Fault{drainOf(1, at, lasts), {Kind: experiment.KillVMs, At: at + 2*clock.Second, For: 500, Share: 1}}, 0.9},
		{"VMs freeze", []experiment.Fault{drainOf(1, at, lasts), {Kind: experiment.PauseVMs, At: at - 500, For: 4 * clock.Second, Share: 0.25}}, 0.9},
		{"targets of another domain crash", []experiment.Fault{drainOf(1, at, lasts), {Kind: experiment.CrashTargets, At: at + 2*clock.Second, For: 3600, Share: 0.125}}, 0.95},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			for seed := range uint64(seeds) {
				report := experiment.Run(experiment.DefaultSize(), experiment.Pattern{Name: tt.name, Faults: tt.faults}, "local", inband.Local{}, seed)
				is.Equal(report.DrainedOpenings, 0)
				is.Equal(report.UnexplainedResets, 0)
				is.True(report.Credit >= tt.credit)
			}
		})
	}
}

// TestCallersOfADrainedDomainAreServed plays a load in which each request opens a flow, so that a drain of one
// of four domains brings the others from half of their capacity to two thirds.
func TestCallersOfADrainedDomainAreServed(t *testing.T) {
	is := is.New(t)
	size := experiment.DefaultSize()
	size.Feeds, size.HoldsPerSecond = 0, 250
	pattern := experiment.Pattern{Name: "own flows", Faults: []experiment.Fault{{Kind: experiment.DrainDomain, At: 4 * clock.Second, For: 6 * clock.Second, Domain: 1}}}
	for seed := range uint64(seeds) {
		report := experiment.Run(size, pattern, "local", inband.Local{}, seed)
		t.Logf("seed %d: credit %.4f, p99 %v ms, %d failed, %d shed", seed, report.Credit, report.P99, report.Failed, report.Shed)
		is.Equal(report.DrainedOpenings, 0)
		is.Equal(report.Failed, 0)
		is.True(report.Credit >= 0.98) // in time, as callers need
	}
}

// TestAllDomainsDrained checks that openings are rejected at once if the operator drains every domain, and that
// open flows are served meanwhile.
func TestAllDomainsDrained(t *testing.T) {
	is := is.New(t)
	size := experiment.DefaultSize()
	pattern := experiment.Pattern{Name: "all domains"}
	for domain := range size.Domains {
		pattern.Faults = append(pattern.Faults, experiment.Fault{Kind: experiment.DrainDomain, At: 4 * clock.Second, For: 6 * clock.Second, Domain: domain})
	}
	for seed := range uint64(seeds) {
		report := experiment.Run(size, pattern, "local", inband.Local{}, seed)
		is.Equal(report.DrainedOpenings, 0)
		is.Equal(report.UnexplainedResets, 0)
		is.True(report.Refused > 0)
		is.Equal(report.Late, 0) // nobody waits for a target
		is.True(report.Failed <= report.Refused)
	}
}

// TestDrainsAmongOtherFaults plays drains with whatever else may fail. No flow is opened at a target of a drained
// domain once all VMs know, and no open flow of a living target is reset.
func TestDrainsAmongOtherFaults(t *testing.T) {
	t.Parallel()
	kinds := []experiment.FaultKind{
		experiment.DrainDomain, experiment.DrainDomain, experiment.DeafClients, experiment.MuteClients, experiment.CutVMs, experiment.PauseVMs,
		experiment.KillVMs, experiment.RestartVMs, experiment.DrainTargets, experiment.CrashTargets, experiment.SlowTargets,
		experiment.FlapTargets, experiment.PartitionDomain, experiment.LoadBurst, experiment.ShiftClients, experiment.LosePackets,
	}
	rapid.Check(t, func(t *rapid.T) {
		size, pattern := drawWorld(t, kinds, kindsThatMet...)
		pattern.Faults = append(pattern.Faults, experiment.Fault{
			Kind: experiment.DrainDomain, Domain: rapid.IntRange(0, size.Domains-1).Draw(t, "drained"),
			At: clock.Millis(rapid.IntRange(2000, 8000).Draw(t, "drained at")), For: 5 * clock.Second,
		})
		report := experiment.Run(size, pattern, "local", inband.Local{}, rapid.Uint64().Draw(t, "seed"))
		if report.DrainedOpenings > 0 || report.UnexplainedResets > 0 {
			t.Fatalf("%d flows were opened in a drained domain; %d resets without a cause, the first: %s",
				report.DrainedOpenings, report.UnexplainedResets, report.FirstUnexplained)
		}
	})
}

// TestReturnAfterADrain checks that targets whose drain is taken back share the load evenly: the busiest one has
// no larger part of all requests than without a drain, but for chance.
func TestReturnAfterADrain(t *testing.T) {
	is := is.New(t)
	const many, chance = 8, 0.1
	imbalance := map[string]float64{}
	for _, pattern := range experiment.Patterns() {
		if pattern.Name != "calm" && pattern.Name != "domain_drain" {
			continue
		}
		for seed := range uint64(many) {
			imbalance[pattern.Name] += experiment.Run(experiment.DefaultSize(), pattern, "local", inband.Local{}, seed).Imbalance / many
		}
	}
	t.Logf("requests of the busiest target over the mean: %v", imbalance)
	is.True(imbalance["domain_drain"] <= imbalance["calm"]+chance)
}
