package inband_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/inband"
)

// Guards against resets whose log does not tell which sign was counted.
func TestResetsTellWhichSignCounted(t *testing.T) {
	tests := []struct {
		loss inband.Loss
		name string
		sign func(e *inband.Engine, is *is.I)
	}{
		{inband.ProbeRefused, "probe_refused", func(e *inband.Engine, is *is.I) {
			is.Equal(probeSuspects(e, 1610, inband.Refused), 1)
		}},
		{inband.ProbeAndPacket, "probe_and_packet", func(e *inband.Engine, is *is.I) {
			is.Equal(probeSuspects(e, 1610, inband.Silent), 1)
		}},
		{inband.ProbesSilent, "probes_silent", func(e *inband.Engine, is *is.I) {
			is.Equal(probeSuspects(e, 1610, inband.Silent), 1)
			told := []inband.ProbeReport{{ID: "i-1", Outcome: inband.Silent, AgeMS: 10}}
			e.ReceiveProbes(1620, "a", told)
		}},
		{inband.EntryEnded, "entry_ended", func(e *inband.Engine, _ *is.I) {
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
