package inband_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/outcome"
)

// Guards against resets whose log does not tell which sign was counted.
func TestResetsTellWhichSignCounted(t *testing.T) {
	tests := []struct {
		loss outcome.Loss
		name string
		sign func(e *inband.Engine, is *is.I)
	}{
		{outcome.ProbeRefused, "probe_refused", func(e *inband.Engine, is *is.I) {
			is.Equal(probeSuspects(e, 1610, inband.Refused), 1)
		}},
		{outcome.ProbeAndPacket, "probe_and_packet", func(e *inband.Engine, is *is.I) {
			is.Equal(probeSuspects(e, 1610, inband.Silent), 1)
		}},
		{outcome.ProbesSilent, "probes_silent", func(e *inband.Engine, is *is.I) {
			is.Equal(probeSuspects(e, 1610, inband.Silent), 1)
			told := []inband.ProbeReport{{ID: "i-1", Outcome: inband.Silent, AgeMS: 10}}
			e.ReceiveProbes(1620, "a", told)
		}},
		{outcome.EntryEnded, "entry_ended", func(e *inband.Engine, _ *is.I) {
			left := target("i-1", "a")
			left.State = inband.Gone
			e.UpdateTargets([]inband.Published{{Target: left}})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newEngine(target("i-1", "a"))
			silenceClients(e, 1)
			tt.sign(e, is)
			ended := e.EndFlowsOfLostTargets(1700)
			is.Equal(len(ended), 1)
			is.Equal(ended[0].Loss, tt.loss)
			is.Equal(ended[0].Loss.String(), tt.name)
		})
	}
	t.Run("domain_cut", func(t *testing.T) {
		is := is.New(t)
		e, idle := silentDomain(is, 2)
		is.Equal(e.TakeCutChanges(1330), []inband.CutChange{{Domain: "b", IsCut: true, Targets: 3, VMs: 2}})
		v := e.Handle(1330, data(0, feedAddress, idle[0], 101, 500))
		is.Equal(v.Loss.String(), "domain_cut")
		e.MarkReachable("b")
		is.Equal(e.TakeCutChanges(1400), []inband.CutChange{{Domain: "b", Targets: 3, VMs: 2}})
		is.Equal(e.TakeCutChanges(1400), nil)
	})
}

// Guards against requests that are reset because their target's entry is another writer's (review/9): one client's
// link that loses an answer is no proof then. A probe still is.
func TestTargetWithAnUnusableEntryKeepsItsFlows(t *testing.T) {
	for _, outcome := range []inband.ProbeOutcome{inband.Answered, inband.Inconclusive, inband.Refused} {
		t.Run(string(outcome), func(t *testing.T) {
			is := is.New(t)
			e := newEngine(target("i-1", "a"), target("i-2", "a"))
			odd := target("i-1", "a")
			odd.State = inband.Unusable
			e.UpdateTargets(published(odd))
			for client := range 20 {
				is.Equal(e.Handle(900, opening(client, feedAddress, 0)).Backend.Target().ID, "i-2")
			}
			p := data(50, feedAddress, inband.TagOf("i-1"), 101, 500)
			for _, at := range []clock.Millis{1000, 1200} {
				is.Equal(e.Handle(at, p).Action, inband.Forward)
			}
			is.Equal(len(e.EndFlowsOfLostTargets(1300)), 0)
			is.Equal(probeSuspects(e, 1300, outcome), 1)
			is.Equal(len(e.EndFlowsOfLostTargets(1310)) > 0, outcome == inband.Refused)
		})
	}
}
