package inband_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// Guards against silence that is this VM's own: its process stood still while the probe was out. The outcome may
// be the first that it handles then.
func TestProbesAcrossAStallShowNothing(t *testing.T) {
	for _, isSwept := range []bool{true, false} {
		is := is.New(t)
		e := newEngine(target("i-1", "a"))
		openFlow(e, 9, holdAddress)
		silenceClients(e, 2)
		probe := e.StartProbe(1610, "i-1")
		if isSwept {
			e.Sweep(2500)
		}
		is.Equal(e.RecordProbe(2500, inband.ProbeResult{Probe: probe, SentAt: 1610, Outcome: inband.Silent}), inband.Inconclusive)
		is.Equal(len(e.EndFlowsOfLostTargets(2510)), 0)
	}
}

// Outcomes of other VMs count as own ones, from VMs that reach the target by the same path or are near
// it, and only while they are recent.
func TestProbesOfOtherVMs(t *testing.T) {
	tests := []struct {
		name    string
		domain  string
		report  inband.ProbeReport
		isReset bool
	}{
		{"of the own domain, refused", "a", inband.ProbeReport{ID: "i-1", Outcome: inband.Refused}, true},
		{"of the target's domain, refused", "b", inband.ProbeReport{ID: "i-1", Outcome: inband.Refused}, true},
		{"of a third domain, refused", "c", inband.ProbeReport{ID: "i-1", Outcome: inband.Refused}, false},
		{"silent, as packets here", "b", inband.ProbeReport{ID: "i-1", Outcome: inband.Silent}, false},
		{"silent to two VMs", "b", inband.ProbeReport{ID: "i-1", Outcome: inband.Silent, Confirmed: true}, true},
		{"old", "b", inband.ProbeReport{ID: "i-1", Outcome: inband.Refused, AgeMS: 5000}, false},
		{"of a time to come", "b", inband.ProbeReport{ID: "i-1", Outcome: inband.Refused, AgeMS: -1}, false},
		{"of another incarnation", "b", inband.ProbeReport{ID: "i-1", StartedAtMS: 7, Outcome: inband.Refused}, false},
		{"of an unknown kind", "b", inband.ProbeReport{ID: "i-1", Outcome: "gone"}, false},
		{"answered", "b", inband.ProbeReport{ID: "i-1", Outcome: inband.Answered}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newEngine(target("i-1", "b"))
			openFlow(e, 9, holdAddress)
			silenceClients(e, 1)
			e.ReceiveProbes(1610, tt.domain, []inband.ProbeReport{tt.report})
			is.Equal(len(e.EndFlowsOfLostTargets(1620)) > 0, tt.isReset)
		})
	}
}

// Guards against flows of a living target that are reset because one other VM doesn't reach it and the links of clients
// here fail, too (a world of TestMeetingsOfFaults): a probe of this VM must be unanswered as well, whether another target
// answers meanwhile or not.
func TestSilenceToldByOneVMIsNoProof(t *testing.T) {
	tests := []struct {
		name    string
		domain  string // of the target
		own     *inband.ProbeResult
		isReset bool
	}{
		{"no own probe", "a", nil, false},
		{"answered", "a", &inband.ProbeResult{Outcome: inband.Answered}, false},
		{"shows nothing", "a", &inband.ProbeResult{Outcome: inband.Inconclusive}, false},
		{"unanswered without a control", "a", &inband.ProbeResult{Outcome: inband.Inconclusive, IsUnanswered: true}, true},
		{"silent", "a", &inband.ProbeResult{Outcome: inband.Silent, IsUnanswered: true}, true},
		{"of another domain, no own probe", "b", nil, false},
		{"of another domain, answered", "b", &inband.ProbeResult{Outcome: inband.Answered}, false},
		{"of another domain, unanswered without a control", "b", &inband.ProbeResult{Outcome: inband.Inconclusive, IsUnanswered: true}, false},
		{"of another domain, silent", "b", &inband.ProbeResult{Outcome: inband.Silent, IsUnanswered: true}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newEngine(target("i-1", tt.domain))
			openFlow(e, 9, feedAddress)
			silenceClients(e, 8)
			if own := tt.own; own != nil {
				own.Probe, own.SentAt = e.StartProbe(1610, "i-1"), 1610
				e.RecordProbe(1760, *own)
			}
			told := []inband.ProbeReport{{ID: "i-1", Outcome: inband.Silent, AgeMS: 160}} // sent at 1610
			e.ReceiveProbes(1770, tt.domain, told)
			is.Equal(len(e.EndFlowsOfLostTargets(1780)) > 0, tt.isReset)
		})
	}
}

// A probe that another VM sent before this process started shows as much as a later one: this VM has seen
// no answer that would refute it.
func TestProbeBeforeTheStartOfTheProcess(t *testing.T) {
	is := is.New(t)
	e := inband.New(inband.Options{Domain: "a", Policy: inband.Local{}, MaxFlows: 1000, Seed: 1})
	e.ReplaceView(tables(1), published(target("i-1", "a")))
	e.ReceiveProbes(100, "a", []inband.ProbeReport{{ID: "i-1", Outcome: inband.Refused, AgeMS: 500}})
	e.Handle(200, data(1, feedAddress, inband.TagOf("i-1"), 101, 500))
	is.Equal(e.Handle(400, data(1, feedAddress, inband.TagOf("i-1"), 101, 500)).Reason, inband.TargetDead)
}

// A VM that reports a target which another one found dead is told so at once, without another probe.
func TestKnownOutcomesAreTold(t *testing.T) {
	for _, outcome := range []inband.ProbeOutcome{inband.Answered, inband.Silent, inband.Refused, inband.Inconclusive} {
		t.Run(string(outcome), func(t *testing.T) {
			is := is.New(t)
			e := newEngine(target("i-1", "a"))
			silenceClients(e, 1)
			probeSuspects(e, 1610, outcome)
			suspicions := []inband.Suspicion{{ID: "i-1", OpeningTimeouts: 1}, {ID: "i-9"}, {ID: "i-1", StartedAtMS: 3}}
			e.ReceiveSuspicions(1700, sibling, "a", suspicions)
			known := e.KnownOutcomes(1700, suspicions)
			is.Equal(len(known) == 1, outcome == inband.Silent || outcome == inband.Refused)
			for _, r := range known {
				is.Equal(r, inband.ProbeReport{ID: "i-1", Outcome: outcome, AgeMS: 90})
			}
			is.Equal(len(e.SuspectsToProbe(1710, always)), 0)
		})
	}
}

// Guards against reports of a dead target that a VM ignores because the target answered it just before it
// died: no other VM may be there to probe it (pattern dark_targets, four feeds waited for their deadline).
func TestReportSoonAfterAnAnswerCausesAProbe(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"))
	tag := openFlow(e, 1, feedAddress)
	e.Handle(5000, data(1, feedAddress, tag, 101, 500))
	e.Handle(5020, acknowledge(1, tag, 600))
	e.ReceiveSuspicions(5230, sibling, "a", []inband.Suspicion{{ID: "i-1", OpeningTimeouts: 1}})
	is.Equal(e.SuspectsToProbe(5230, always), []string{"i-1"})
}

// Guards against new flows that are kept from a target because another VM could not reach it, though this VM
// has just seen it answer.
func TestReportSoonAfterAnAnswerKeepsNoFlowsAway(t *testing.T) {
	for _, age := range []clock.Millis{500, 2000} {
		t.Run(fmt.Sprintf("answered %v ms before the report", age), func(t *testing.T) {
			is := is.New(t)
			e := newEngine(target("i-1", "a"), target("i-2", "a"))
			for client := range 4 {
				tag := openFlow(e, client, feedAddress)
				e.Handle(5000, data(client, feedAddress, tag, 101, 500))
				e.Handle(5020, acknowledge(client, tag, 600))
			}
			e.ReceiveSuspicions(5020+age, sibling, "a", []inband.Suspicion{{ID: "i-1", OpeningTimeouts: 1}})
			used := map[string]int{}
			for client := 10; client < 16; client++ {
				used[e.Handle(5030+age, opening(client, feedAddress, 0)).Backend.Target().ID]++
			}
			is.Equal(used["i-1"] > 0, age == 500)
		})
	}
}

// Guards against a failed link of one VM that makes all VMs reset the flows of a living target: the others tell
// that VM of its own silent probe, which it must not take for that of a second VM.
func TestOwnSilenceThatComesBackConfirmsNothing(t *testing.T) {
	is := is.New(t)
	prober, other := newEngine(target("i-1", "a")), newEngine(target("i-1", "a"))
	makeSilent(prober, feedAddress)
	probeSuspects(prober, 1300, inband.Silent)
	report, _ := prober.ReportOf(1300, "i-1")
	is.Equal(len(other.ReceiveProbes(1300, "a", []inband.ProbeReport{*report})), 0)

	known := other.KnownOutcomes(1400, []inband.Suspicion{{ID: "i-1", DataTimeouts: 1}})
	is.Equal(len(known), 1)
	is.Equal(len(prober.ReceiveProbes(1400, "a", known)), 0)
	report, _ = prober.ReportOf(1400, "i-1")
	is.True(!report.Confirmed)
}

// Guards against a reset that goes against what this VM has seen: an acknowledgment that crosses the reset of its flow
// shows that the target answered a packet which is newer than the proof of its death (a trial of the world "targets start
// again, slow at first, and flows move", seed 28).
func TestAnswerThatCrossesAResetRefutesTheProof(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"))
	makeSilent(e, feedAddress)
	is.Equal(probeSuspects(e, 1210, inband.Refused), 1)
	e.EndFlowsOfLostTargets(1220)
	tag := inband.TagOf("i-1")
	moved := data(30, feedAddress, tag, 101, 500)
	e.Handle(1700, moved) // the target has started again
	is.Equal(e.Handle(1900, moved).Action, inband.Reset)
	answer := data(30, feedAddress, tag, 151, 900)
	answer.DataLength = 0
	e.Handle(1902, answer)
	e.Handle(2100, data(31, feedAddress, tag, 101, 500))
	is.Equal(e.Handle(2300, data(31, feedAddress, tag, 101, 500)).Action, inband.Forward)
}
