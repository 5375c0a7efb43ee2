package inband_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// A target is probed once for each suspicion, however many clients are silent, and at intervals while the
// silence goes on. A target that left is not asked.
func TestProbesAreFew(t *testing.T) {
	tests := []struct {
		name    string
		outcome inband.ProbeOutcome
		state   inband.State
		want    int
	}{
		{"answered", inband.Answered, inband.Serving, 5}, // one each 0.4 s
		{"silent", inband.Silent, inband.Serving, 1},     // a verdict
		{"refused", inband.Refused, inband.Serving, 1},
		{"left", inband.Refused, inband.Gone, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newEngine(target("i-1", "a"))
			changed := target("i-1", "a")
			changed.State = tt.state
			e.UpdateTargets(published(changed))
			probes := 0
			for now := clock.Millis(1000); now < 3000; now += 10 {
				e.Sweep(now)
				for client := range 3 { // each sends a request each 0.2 s, which is repeated once and never answered
					number := uint32(now-1000) / 400
					e.Handle(now, data(client, feedAddress, inband.TagOf("i-1"), 101+50*number, 500))
				}
				probes += probeSuspects(e, now, tt.outcome)
			}
			is.Equal(probes, tt.want)
		})
	}
}

// Targets of the own domain that this VM is responsible for are contacted once, so that a refusal of them
// means something later. Those that do not answer are tried again at growing intervals.
func TestFirstContacts(t *testing.T) {
	is := is.New(t)
	e := newEngine()
	leaving := target("i-3", "a")
	leaving.State = inband.Leaving
	e.ReplaceView(tables(1), published(target("i-1", "a"), target("i-2", "a"), leaving, target("i-4", "b"), target("i-5", "a")))
	outcomes := map[string]inband.ProbeOutcome{"i-1": inband.Answered, "i-2": inband.Refused, "i-5": inband.Answered}
	contacts := map[string]int{}
	for now := clock.Millis(0); now < 20*clock.Second; now += 250 {
		probe := e.FirstContact(now, func(id string) bool { return id != "i-5" })
		if probe == nil {
			continue
		}
		contacts[probe.ID]++
		is.Equal(probe.Cause, inband.CauseFirstContact)
		e.RecordProbe(now, inband.ProbeResult{Probe: probe, SentAt: now, Outcome: outcomes[probe.ID]})
	}
	is.Equal(contacts, map[string]int{"i-1": 1, "i-2": 5}) // after about 1, 3, 7 and 15 s
}

// Guards against a probe that nothing causes: a target is watched because its requests fail, no packet to it
// timed out and no VM reported it, and it answered a probe that was sent before this process started.
func TestNoProbeWithoutASign(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"))
	e.ReceiveOutcomes(100, "a", []inband.OutcomeReport{{ID: "i-1", Failed: 8}})
	is.Equal(e.WatchedTargets(), 1)
	is.Equal(len(e.SuspectsToProbe(200, always)), 0)
}

// A sign of the first moment of a process counts like any other.
func TestProbeForASignAtTimeZero(t *testing.T) {
	is := is.New(t)
	e := inband.New(inband.Options{Domain: "a", Policy: inband.Local{}, MaxFlows: 1000, Seed: 1})
	e.ReplaceView(tables(1), published(target("i-1", "a")))
	e.ReceiveSuspicions(0, sibling, "a", []inband.Suspicion{{ID: "i-1", OpeningTimeouts: 1}})
	is.Equal(e.SuspectsToProbe(200, always), []string{"i-1"})
}

// One call finds a target that was not contacted yet among 60 that were, so that a VM learns of a new target
// soon; and a silent probe has two controls where enough targets answer.
func TestFirstContactAndControlsAmongManyTargets(t *testing.T) {
	is := is.New(t)
	var targets []*inband.Target
	for i := range 61 {
		targets = append(targets, target(fmt.Sprintf("i-%02d", i), "a"))
		targets[i].Address = netip4(byte(i))
	}
	e := newEngine()
	e.ReplaceView(tables(1), published(targets...))
	introduce(e, targets[:60]...)
	probe := e.FirstContact(1000, always)
	is.True(probe != nil)
	is.Equal(probe.ID, "i-60")
	is.Equal(len(probe.Controls), 2)
	is.Equal(e.FirstContact(1250, always), nil)
}

// The targets that are asked along with a silent one have answered before and are not suspected.
func TestControlsOfAProbe(t *testing.T) {
	is := is.New(t)
	var targets []*inband.Target
	for i := range 6 {
		targets = append(targets, target(fmt.Sprintf("i-%d", i), "a"))
		targets[i].Address = netip4(byte(i))
	}
	e := newEngine()
	e.ReplaceView(tables(1), published(targets...))
	introduce(e, targets[:3]...)
	e.Handle(1000, data(1, feedAddress, inband.TagOf("i-0"), 101, 500))
	e.Handle(1000, data(2, feedAddress, inband.TagOf("i-1"), 101, 500))
	e.Handle(1200, data(1, feedAddress, inband.TagOf("i-0"), 101, 500))
	e.Handle(1200, data(2, feedAddress, inband.TagOf("i-1"), 101, 500))
	is.Equal(e.SuspectsToProbe(1200, always), []string{"i-0", "i-1"})
	for _, address := range e.StartProbe(1200, "i-0").Controls {
		is.Equal(address, netip4(2))
	}
	is.Equal(e.StartProbe(1200, "i-0"), nil) // it is out
}

func netip4(host byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 80)
}

// Guards against a dead target that nobody probes, as only VMs of other domains carry its flows. Their report causes a
// probe, but keeps no new flows away, as the way from there may be cut.
func TestReportOfAnotherDomainCausesAProbe(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"), target("i-2", "b"))
	suspicions := []inband.Suspicion{{ID: "i-1", OpeningTimeouts: 1}, {ID: "i-2", OpeningTimeouts: 1}}
	e.ReceiveSuspicions(1000, sibling, "c", suspicions)
	is.Equal(e.SuspectsToProbe(1000, always), []string{"i-1"}) // VMs of its own domain probe the other
	is.Equal(e.Handle(1001, opening(1, feedAddress, 0)).Backend.Target().ID, "i-1")
}

// Guards against requests that wait at a dead target until their deadline, as one of the two VMs that probe it is away and
// so none confirms the silence that the other one tells.
func TestOthersProbeIfNoVMConfirms(t *testing.T) {
	never := func(string) bool { return false }
	tests := []struct {
		name    string
		clients int // whose packets time out here
		told    inband.ProbeReport
		at      clock.Millis
		isDue   bool
	}{
		{"not confirmed in time", 1, inband.ProbeReport{ID: "i-1", Outcome: inband.Silent}, 2020, true},
		{"may be confirmed yet", 1, inband.ProbeReport{ID: "i-1", Outcome: inband.Silent}, 2010, false},
		{"confirmed", 1, inband.ProbeReport{ID: "i-1", Outcome: inband.Silent, Confirmed: true}, 2020, false},
		{"no silence here", 0, inband.ProbeReport{ID: "i-1", Outcome: inband.Silent}, 2020, false},
		{"answered", 1, inband.ProbeReport{ID: "i-1", Outcome: inband.Answered}, 2020, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newEngine(target("i-1", "a"))
			silenceClients(e, tt.clients)
			e.ReceiveProbes(1620, "a", []inband.ProbeReport{tt.told})
			is.Equal(len(e.SuspectsToProbe(tt.at, never)) > 0, tt.isDue)
		})
	}
}
