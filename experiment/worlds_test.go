package experiment_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/experiment"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/seedtest"
)

// randomWorlds is the number of random worlds that CI plays.
const randomWorlds = 300

func TestMain(m *testing.M) { seedtest.MainWithChecks(m, randomWorlds) }

// drawWorld draws a deployment and its faults. Most deployments are quiet, as few other answers then
// refute a wrong suspicion. Few of the kinds occur in one world, which makes it likely that they meet, or those of one of
// the combinations.
func drawWorld(t *rapid.T, kinds []experiment.FaultKind, combinations ...[]experiment.FaultKind) (experiment.Size, experiment.Pattern) {
	size := experiment.Size{
		Domains: rapid.IntRange(2, 4).Draw(t, "domains"),
		VMs:     rapid.IntRange(1, 3).Draw(t, "vms"),
		Targets: rapid.IntRange(1, 3).Draw(t, "targets"),
		Feeds:   rapid.IntRange(1, 16).Draw(t, "feeds"), Bookings: rapid.IntRange(0, 8).Draw(t, "bookings"),
		FeedInterval: clock.Millis(rapid.OneOf(rapid.IntRange(350, 450), rapid.IntRange(300, 5000)).Draw(t, "feed interval")), Synchronized: rapid.Bool().Draw(t, "synchronized"),
		HoldsPerSecond: float64(rapid.IntRange(0, 8).Draw(t, "holds")), SharedClients: rapid.Bool().Draw(t, "shared clients"),
		OneAddress: rapid.IntRange(0, 3).Draw(t, "one address") == 0, NoProbes: rapid.IntRange(0, 7).Draw(t, "no probes") == 0,
		ProcessingTime: clock.Millis(rapid.IntRange(5, 30).Draw(t, "processing time")),
		RotationLag:    clock.Millis(rapid.OneOf(rapid.IntRange(300, 1000), rapid.IntRange(550, 600)).Draw(t, "rotation lag")),
		Deadline:       clock.Millis(rapid.IntRange(1000, 2000).Draw(t, "deadline")),
		Duration:       14 * clock.Second,
	}
	pattern := experiment.Pattern{Name: "random"}
	choices := []*rapid.Generator[[]experiment.FaultKind]{rapid.SliceOfNDistinct(rapid.SampledFrom(kinds), 1, 4, rapid.ID[experiment.FaultKind])}
	if len(combinations) > 0 {
		choices = append(choices, rapid.SampledFrom(combinations))
	}
	kinds = rapid.OneOf(choices...).Draw(t, "kinds")
	clientDomain := rapid.IntRange(0, size.Domains-1).Draw(t, "domain of the client")
	for range rapid.IntRange(1, 12).Draw(t, "faults") {
		f := experiment.Fault{
			Kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
			At:     clock.Millis(rapid.IntRange(2000, 11000).Draw(t, "at")),
			For:    clock.Millis(rapid.IntRange(100, 4000).Draw(t, "for")),
			Domain: rapid.IntRange(0, size.Domains-1).Draw(t, "domain"),
			Share:  rapid.Float64Range(0.05, 0.6).Draw(t, "share"),
		}
		// Faults come while requests are under way, and VMs leave the rotation just before targets
		// repeat their answers for the second time, after 600 ms.
		if size.Synchronized {
			f.At = f.At/size.FeedInterval*size.FeedInterval + clock.Millis(rapid.IntRange(0, 150).Draw(t, "after requests"))
		}
		if f.Kind == experiment.DeafClients || f.Kind == experiment.MuteClients {
			f.Domain, f.For = clientDomain, min(f.For, maxClientOutage)
			if rapid.Bool().Draw(t, "one client") {
				f.Share = 0 // one client has a bad link; otherwise an access network loses for several
			}
		}
		pattern.Faults = append(pattern.Faults, f)
	}
	return size, pattern
}

// maxClientOutage is how long the links of clients fail at most.
const maxClientOutage = 3 * clock.Second

// kindsThatMet are kinds of faults that made VMs reset flows of living targets when they met.
var kindsThatMet = [][]experiment.FaultKind{
	{experiment.PauseVMs}, // review/2
	{experiment.PauseVMs, experiment.KillVMs, experiment.RestartVMs},              // review/2
	{experiment.DeafClients, experiment.MuteClients},                              // review/3
	{experiment.DeafClients, experiment.RestartVMs},                               // review/1
	{experiment.DeafClients, experiment.PauseVMs, experiment.DrainTargets},        // review/4
	{experiment.PauseVMs, experiment.CrashTargets, experiment.PartitionDomain},    // kinarez-ist hunt-876d-3
	{experiment.PartitionDomain, experiment.PauseVMs, experiment.KillVMs},         // kinarez-ist-grown restart-under-cut
	{experiment.DeafClients, experiment.PauseVMs, experiment.UnresponsiveTargets}, // silence of several targets
	{experiment.DeafClients, experiment.MuteClients, experiment.LateProbes},       // probes of targets whose clients are silent
	{experiment.DeafClients, experiment.FullTargets, experiment.LateProbes},
	{experiment.DeafClients, experiment.PauseVMs},                       // a domain seems cut off
	{experiment.DeafClients, experiment.RestartVMs, experiment.KillVMs}, // a domain seems cut off
	{experiment.CutVMs}, // a VM whose own link fails
	{experiment.CutVMs, experiment.KillVMs, experiment.CrashTargets},
	{experiment.DeafClients, experiment.LoseProbes, experiment.PauseVMs},
	{experiment.DeafClients, experiment.CrashTargets, experiment.KillVMs}, // targets that answered no probe of a VM yet
}

// TestLiveTargetsKeepTheirFlows guards against resets of open flows whose target lives undisturbed,
// whatever else fails at the same time: links of clients in either direction, other targets, entry
// VMs that freeze, crash or restart, flows that move between them, releases, domains that are cut off.
func TestLiveTargetsKeepTheirFlows(t *testing.T) {
	t.Parallel()
	kinds := []experiment.FaultKind{
		experiment.DeafClients, experiment.MuteClients, experiment.CutVMs, experiment.PauseVMs, experiment.KillVMs, experiment.RestartVMs, experiment.DrainTargets, experiment.CrashTargets, experiment.ReuseAddresses,
		experiment.SlowTargets, experiment.FailTargets, experiment.UnresponsiveTargets, experiment.FlapTargets,
		experiment.HangTargets, experiment.FullTargets, experiment.LateProbes, experiment.LoseProbes,
		experiment.PartitionDomain, experiment.PartitionOneWay, experiment.LoadBurst, experiment.ShiftClients,
		experiment.RestartTargets, experiment.RestartWithoutPort, experiment.RepeatMessages, experiment.StoreDown,
	}
	rapid.Check(t, func(t *rapid.T) {
		checkWorld(t, kinds, kindsThatMet...)
	})
}

// TestLinksOfOneVMFail guards against resets by all VMs because one of them does not reach a target. No fault of clients
// or targets is among these, as the probe of that VM and silence from another cause are the two signs of a death.
func TestLinksOfOneVMFail(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		checkWorld(t, []experiment.FaultKind{
			experiment.CutLinks, experiment.RepeatMessages, experiment.RestartVMs, experiment.DrainTargets, experiment.LoadBurst,
			experiment.LateProbes, experiment.PartitionOneWay, experiment.ShiftClients, experiment.StoreDown,
		})
	})
}

// checkWorld draws a world and checks the resets in it.
func checkWorld(t *rapid.T, kinds []experiment.FaultKind, combinations ...[]experiment.FaultKind) {
	size, pattern := drawWorld(t, kinds, combinations...)
	seed := rapid.Uint64().Draw(t, "seed")
	report := experiment.Run(size, pattern, "local", inband.Local{}, seed)
	if *printWorld && report.UnexplainedResets+report.RefutedResets > 0 {
		size.Trace = func(line string) { t.Log(line) }
		experiment.Run(size, pattern, "local", inband.Local{}, seed)
	}
	if report.UnexplainedResets > 0 {
		t.Fatalf("%d of %d resets hit open flows of undisturbed targets, the first: %s", report.UnexplainedResets, report.Resets, report.FirstUnexplained)
	}
	if report.RefutedResets > 0 {
		t.Fatalf("%d of %d resets went against what the VM saw, the first: %s", report.RefutedResets, report.Resets, report.FirstRefuted)
	}
}

// TestRequestsLostInAFrozenVM guards against the fault of review/2 in the worlds in which it is likely:
// a VM freezes while answers are on their way to its clients, and leaves the rotation just before
// the targets repeat these answers for the second time.
func TestRequestsLostInAFrozenVM(t *testing.T) {
	is := is.New(t)
	size := experiment.Size{
		Domains: 2, VMs: 2, Targets: 2, Feeds: 16, FeedInterval: 380, Synchronized: true, ProcessingTime: 25,
		RotationLag: 590, Deadline: 2 * clock.Second, Duration: 5 * clock.Second,
	}
	for seed := range uint64(150) {
		pattern := experiment.Pattern{Faults: []experiment.Fault{{Kind: experiment.PauseVMs, At: 2660 + clock.Millis(seed), For: 4 * clock.Second, Share: 0.25}}}
		report := experiment.Run(size, pattern, "local", inband.Local{}, seed)
		is.Equal(report.FirstUnexplained, "")
	}
}

// TestDomainsWithoutVMsAreNotCutOff guards against a domain that seems cut off because its VMs froze and an
// access network lost the answers of its targets to several clients, which enter through another domain
// meanwhile.
func TestDomainsWithoutVMsAreNotCutOff(t *testing.T) {
	is := is.New(t)
	size := experiment.Size{
		Domains: 2, VMs: 1, Targets: 3, Feeds: 8, FeedInterval: 400, ProcessingTime: 10,
		RotationLag: 300, Deadline: 2 * clock.Second, Duration: 6 * clock.Second,
	}
	for seed := range uint64(60) {
		size.NoProbes = seed%2 == 0
		pattern := experiment.Pattern{Faults: []experiment.Fault{
			{Kind: experiment.PauseVMs, At: 2 * clock.Second, For: 4 * clock.Second, Share: 0.5},
			{Kind: experiment.DeafClients, At: 3 * clock.Second, For: 700, Share: 0.6},
		}}
		report := experiment.Run(size, pattern, "local", inband.Local{}, seed)
		is.Equal(report.FirstUnexplained, "")
	}
}

// busyWorld is a deployment in which each target has flows of several clients at each VM.
func busyWorld(t *rapid.T) experiment.Size {
	return experiment.Size{
		Domains: rapid.IntRange(2, 4).Draw(t, "domains"), VMs: rapid.IntRange(1, 2).Draw(t, "vms"), Targets: 4,
		Feeds: rapid.IntRange(40, 80).Draw(t, "feeds"), FeedInterval: clock.Second, HoldsPerSecond: 20,
		ProcessingTime: 16, Duration: 12 * clock.Second,
	}
}

// TestLostTargetsAreLeftInTime guards against suspicion that has become too careful: a request that is
// sent to a crashed target, or into a domain that is cut off, later than a second after the fault
// began must not wait there until its deadline, as its flow has been reset by then.
func TestLostTargetsAreLeftInTime(t *testing.T) {
	for _, kind := range []experiment.FaultKind{experiment.CrashTargets, experiment.PartitionDomain} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				pattern := experiment.Pattern{Faults: []experiment.Fault{{
					Kind: kind, At: 5 * clock.Second, For: 4 * clock.Second, Domain: 1, Share: rapid.Float64Range(0.05, 0.2).Draw(t, "share"),
				}}}
				report := experiment.Run(busyWorld(t), pattern, "local", inband.Local{}, rapid.Uint64().Draw(t, "seed"))
				if report.LateFailures > 0 {
					t.Fatalf("%d requests to lost targets waited until their deadline", report.LateFailures)
				}
			})
		})
	}
}
