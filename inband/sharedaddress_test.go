package inband_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// Guards against verdicts by an entry whose address matches: who answers at an address that several entries name is not
// known. Such an answer neither ends the flows of a living target (review/7) nor lets a dead one seem to live.
func TestAnswerAtASharedAddressShowsNothing(t *testing.T) {
	tests := []struct {
		name     string
		other    inband.Target
		isShared bool
	}{
		{"service that no route leads to, later start", inband.Target{Service: "metrics", StartedAtMS: 10}, true},
		{"same service, later start", inband.Target{Service: "core", StartedAtMS: 10}, true},
		{"same service, start in the far future", inband.Target{Service: "core", StartedAtMS: 1 << 60}, true},
		{"same service, same start", inband.Target{Service: "core"}, true},
		{"same service, earlier start", inband.Target{Service: "core", StartedAtMS: -10}, true},
		{"leaving", inband.Target{Service: "core", StartedAtMS: 10, State: inband.Leaving}, true},
		{"left", inband.Target{Service: "core", StartedAtMS: 10, State: inband.Gone}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newEngine(target("i-1", "a"))
			openFlow(e, 9, holdAddress)
			other := tt.other
			other.ID, other.Domain, other.Slots, other.Address = "i-2", "a", 2, target("i-1", "a").Address
			e.UpdateTargets(published(&other))
			silenceClients(e, 1)
			probe := e.StartProbe(1610, "i-1")
			shown := e.RecordProbe(1611, inband.ProbeResult{Probe: probe, SentAt: 1610, Outcome: inband.Answered})
			is.Equal(shown == inband.Inconclusive, tt.isShared)
			is.Equal(len(e.EndFlowsOfLostTargets(1620)), 0)
			silent := []inband.ProbeReport{{ID: "i-1", Outcome: inband.Silent, AgeMS: 200, Confirmed: true}} // sent before
			e.ReceiveProbes(1630, "a", silent)
			is.Equal(len(e.EndFlowsOfLostTargets(1640)) > 0, tt.isShared) // the answer refutes nothing
		})
	}
}

// Guards against a target that counts as one that accepts connections because another one at its address did: a
// refusal proves nothing then.
func TestFirstContactAtASharedAddressShowsNothing(t *testing.T) {
	is := is.New(t)
	e := newEngine()
	other := target("i-2", "a")
	other.Address, other.Service, other.StartedAtMS = target("i-1", "a").Address, "metrics", 10
	e.ReplaceView(tables(1), published(target("i-1", "a"), other))
	openFlow(e, 9, holdAddress)
	probe := e.FirstContact(500, always)
	is.Equal(probe.ID, "i-1")
	is.Equal(e.RecordProbe(501, inband.ProbeResult{Probe: probe, SentAt: 500, Outcome: inband.Answered}), inband.Inconclusive)
	is.Equal(len(e.EndFlowsOfLostTargets(510)), 0)
	silenceClients(e, 1)
	is.Equal(probeSuspects(e, 2000, inband.Refused), 1)
	is.Equal(len(e.EndFlowsOfLostTargets(2010)), 0)
}

// Guards against entries that no route leads to: such a target is neither asked nor taken for a sign that this VM's link
// works, whoever answers at its address.
func TestTargetsWithoutARouteAreNoControls(t *testing.T) {
	is := is.New(t)
	targets := []*inband.Target{target("i-1", "a")}
	for _, id := range []string{"i-2", "i-3", "i-4", "i-5", "i-6"} {
		odd := target(id, "a")
		odd.Service = "metrics"
		targets = append(targets, odd)
	}
	e := newEngine(targets...)
	silenceClients(e, 1)
	is.Equal(len(e.StartProbe(1610, "i-1").Controls), 0)
	fresh := inband.New(inband.Options{Domain: "a", Policy: inband.Local{}, MaxFlows: 1000, FlowLifetime: clock.Minute, Seed: 1})
	fresh.ReplaceView(tables(1), published(targets...))
	for range 2 * len(targets) {
		if probe := fresh.FirstContact(500, always); probe != nil {
			is.Equal(probe.ID, "i-1")
		}
	}
}
