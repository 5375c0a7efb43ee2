package inband_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// openUnansweredFlows opens flows and lets their data go unanswered.
func openUnansweredFlows(e *inband.Engine, clients int) []inband.Tag {
	var tags []inband.Tag
	for client := range clients {
		tags = append(tags, openFlow(e, client, feedAddress))
	}
	for client, tag := range tags {
		e.Handle(1000, data(client, feedAddress, tag, 101, 500))
	}
	for client, tag := range tags {
		e.Handle(1200, data(client, feedAddress, tag, 101, 500))
	}
	return tags
}

// In a partition the domain's targets and VMs are unresponsive. Its flows must be reset with
// their next request, and new flows must stay in this domain (zone_cut on the standard days).
func TestPartitionedDomain(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "b"), target("i-2", "b"))
	tags := openUnansweredFlows(e, 4)
	is.Equal(e.DomainsToProbe(1200), []string{"b"})
	e.MarkProbed(1200, "b", 2)
	is.True(!e.IsPartitioned(1330, "b")) // no target was probed
	is.Equal(probeSuspects(e, 1200, inband.Silent), 2)
	is.True(!e.IsPartitioned(1250, "b")) // the probe has not timed out
	v := e.Handle(1250, data(0, feedAddress, tags[0], 101, 500))
	is.Equal(v.Action, inband.Forward)
	is.True(e.IsPartitioned(1330, "b"))
	v = e.Handle(1330, data(0, feedAddress, tags[0], 101, 500))
	is.Equal(v.Action, inband.Reset)
	e.ReplaceView(tables(1), published(target("i-1", "b"), target("i-2", "b"), target("i-3", "a")))
	for client := 10; client < 60; client++ {
		v = e.Handle(1330, opening(client, feedAddress, 0))
		is.Equal(v.Backend.Target().ID, "i-3")
	}
}

func TestDomainsThatAreNotPartitioned(t *testing.T) {
	tests := []struct {
		name    string
		targets []string // domains of the targets
		after   func(e *inband.Engine, tags []inband.Tag)
	}{
		{"a VM of the domain answers", []string{"b", "b"}, func(e *inband.Engine, _ []inband.Tag) { e.MarkReachable("b") }},
		{"a target of the domain answers", []string{"b", "b"}, func(e *inband.Engine, tags []inband.Tag) {
			e.Handle(1210, data(0, feedAddress, tags[0], 151, 600))
		}},
		{"only one target is unresponsive", []string{"b"}, func(*inband.Engine, []inband.Tag) {}},
		{"the own domain is unresponsive", []string{"a", "a"}, func(*inband.Engine, []inband.Tag) {}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var targets []*inband.Target
			for i, domain := range tt.targets {
				targets = append(targets, target([]string{"i-1", "i-2"}[i], domain))
			}
			e := newEngine(targets...)
			tags := openUnansweredFlows(e, 4)
			for _, domain := range e.DomainsToProbe(1200) {
				e.MarkProbed(1200, domain, 2)
			}
			probeSuspects(e, 1200, inband.Silent)
			tt.after(e, tags)
			is.True(!e.IsPartitioned(2000, tt.targets[0]))
		})
	}
}

// After a partition the VMs of the domain answer again, and its targets are used as before.
func TestPartitionEnds(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "b"), target("i-2", "b"))
	openUnansweredFlows(e, 4)
	e.MarkProbed(1200, "b", 2)
	probeSuspects(e, 1200, inband.Silent)
	is.True(e.IsPartitioned(1400, "b"))
	is.Equal(e.DomainsToProbe(1500), nil) // too early for the next probe
	is.Equal(e.DomainsToProbe(1600), []string{"b"})
	e.MarkProbed(1600, "b", 2)
	e.MarkReachable("b")
	is.True(!e.IsPartitioned(1700, "b"))
}

// A target with a high latency must lose new flows to another domain before it refuses them.
func TestOverloadedTargetsSpillToAnotherDomain(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"), target("i-2", "b"))
	tag := openFlow(e, 1, feedAddress)
	is.Equal(tag, inband.TagOf("i-1"))
	p := data(1, feedAddress, tag, 101, 500)
	e.Handle(1000, p)
	p.Seq, p.Ack, p.DataLength = p.Seq+50, p.Ack+900, 0
	e.Handle(1180, p)
	v := e.Handle(1181, opening(2, feedAddress, 0))
	is.Equal(v.Backend.Target().ID, "i-2")
	v = e.Handle(5000, opening(3, feedAddress, 0)) // the average is stale
	is.Equal(v.Backend.Target().ID, "i-1")
}

// A single VM may have failed together with two targets. A third unresponsive target shows that
// the domain is partitioned.
func TestOneUnresponsiveVMNeedsAThirdTarget(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "b"), target("i-2", "b"), target("i-3", "b"))
	var late *inband.Packet
	for client := range 3 {
		tag := openFlow(e, client, feedAddress)
		p := data(client, feedAddress, tag, 101, 500)
		e.Handle(1000, p)
		if client == 2 {
			late = p
			continue
		}
		e.Handle(1200, p)
	}
	e.MarkProbed(1200, "b", 1)
	probeSuspects(e, 1200, inband.Silent)
	is.True(!e.IsPartitioned(1400, "b"))
	e.Handle(1600, late)
	probeSuspects(e, 1600, inband.Silent)
	is.True(e.IsPartitioned(1600, "b"))
}

// Guards against feeds of a living target that are reset because targets which left make its domain
// seem partitioned while the domain's only VM is frozen (review/4). Nothing tells the clients of a
// target that left, so their next requests meet silence.
func TestTargetsThatLeftAreNoSignOfAPartition(t *testing.T) {
	tests := []struct {
		name          string
		state         inband.State
		fallback      clock.Millis // how long the targets may turn out to be alive, after an end without notice
		isPartitioned bool
	}{
		{"serving", inband.Serving, 0, true},
		{"leaving", inband.Leaving, 0, false},
		{"left", inband.Gone, 0, false},
		{"entry expired a moment ago", inband.Gone, 2000, true},
		{"entry expired long ago", inband.Gone, 500, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newEngine(target("i-1", "b"), target("i-2", "b"), target("i-3", "b"))
			var changed []inband.Published
			for _, id := range []string{"i-1", "i-2"} {
				left := target(id, "b")
				left.State = tt.state
				p := inband.Published{Target: left}
				if tt.fallback > 0 {
					p.FallbackUntil, p.MayReturnUntil = 900+tt.fallback/2, 900+tt.fallback
				}
				changed = append(changed, p)
			}
			e.UpdateTargets(changed)
			for i, id := range []string{"i-1", "i-2", "i-3"} {
				e.Handle(1000, data(i, feedAddress, inband.TagOf(id), 101, 500))
			}
			for i, id := range []string{"i-1", "i-2", "i-3"} {
				e.Handle(1200, data(i, feedAddress, inband.TagOf(id), 101, 500))
			}
			e.MarkProbed(1200, "b", 1)
			probeSuspects(e, 1200, inband.Silent)
			is.Equal(e.IsPartitioned(1400, "b"), tt.isPartitioned)
		})
	}
}

// Guards against a domain that seems partitioned because the links of clients lost the answers of its
// targets while its VMs were frozen or restarted (random worlds 913702 and 561873 of package experiment, with
// two clients): what this VM's own probes of the targets show decides. A target that answers or refuses one is
// no sign, as its way works.
func TestSilenceOfClientsIsNoSignOfAPartition(t *testing.T) {
	tests := []struct {
		name          string
		outcomes      map[string]inband.ProbeOutcome
		isPartitioned bool
	}{
		{"not probed", nil, false},
		{"both silent", map[string]inband.ProbeOutcome{"i-1": inband.Silent, "i-2": inband.Silent}, true},
		{"one answers", map[string]inband.ProbeOutcome{"i-1": inband.Silent, "i-2": inband.Answered}, false},
		{"one refuses", map[string]inband.ProbeOutcome{"i-1": inband.Silent, "i-2": inband.Refused}, false},
		{"inconclusive", map[string]inband.ProbeOutcome{"i-1": inband.Silent, "i-2": inband.Inconclusive}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newEngine()
			e.ReplaceView(tables(1), published(target("i-1", "b"), target("i-2", "b")))
			for _, at := range []clock.Millis{1000, 1200} {
				for i, id := range []string{"i-1", "i-2"} {
					for client := range 4 {
						e.Handle(at, data(20+10*i+client, feedAddress, inband.TagOf(id), 101, 500))
					}
				}
			}
			e.MarkProbed(1200, "b", 2)
			for id, outcome := range tt.outcomes {
				e.RecordProbe(1200, inband.ProbeResult{Probe: e.StartProbe(1200, id), SentAt: 1200, Outcome: outcome})
			}
			is.Equal(e.IsPartitioned(1400, "b"), tt.isPartitioned)
		})
	}
}

// Guards against the flows of a target whose clients fell silent being reset with their first request,
// before it could be answered, in a domain that only seems partitioned (review/4).
func TestFirstRequestsInAPartitionNeedAProbe(t *testing.T) {
	for _, outcome := range []inband.ProbeOutcome{inband.Silent, inband.Inconclusive} {
		t.Run(string(outcome), func(t *testing.T) {
			is := is.New(t)
			e := newEngine(target("i-1", "b"), target("i-2", "b"), target("i-3", "b"))
			tag := openFlow(e, 9, feedAddress)
			for _, at := range []clock.Millis{1000, 1200} {
				for i, id := range []string{"i-1", "i-2", "i-3"} {
					for client := range 2 {
						e.Handle(at, data(20+10*i+client, feedAddress, inband.TagOf(id), 101, 500))
					}
				}
			}
			for _, id := range []string{"i-1", "i-2", "i-3"} {
				shown := inband.Silent
				if inband.TagOf(id) == tag {
					shown = outcome
				}
				e.RecordProbe(1200, inband.ProbeResult{Probe: e.StartProbe(1200, id), SentAt: 1200, Outcome: shown})
			}
			e.MarkProbed(1200, "b", 2)
			is.True(e.IsPartitioned(1330, "b"))
			is.Equal(e.Handle(1330, data(9, feedAddress, tag, 101, 500)).Action == inband.Reset, outcome == inband.Silent)
		})
	}
}

// Guards against a cut that is taken for a death: of a target of another domain silence shows nothing but
// that the way to it may be cut, however many signs there are, and it is not told to other VMs.
func TestSilenceOfATargetOfAnotherDomainIsNoDeath(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "b"))
	openFlow(e, 9, holdAddress)
	silenceClients(e, 8)
	probe := e.StartProbe(1610, "i-1")
	is.Equal(e.RecordProbe(1760, inband.ProbeResult{Probe: probe, SentAt: 1610, Outcome: inband.Silent}), inband.Unreachable)
	is.True(!inband.Unreachable.IsConclusive())
	is.Equal(len(e.EndFlowsOfLostTargets(1770)), 0)
}

// Old silence of two targets, whose flows went elsewhere, does not add up with new silence of a third.
func TestOldTimeoutsAreNoSignOfAPartition(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "b"), target("i-2", "b"), target("i-3", "b"))
	silence := func(at clock.Millis, client int, id string) {
		e.Handle(at, data(client, feedAddress, inband.TagOf(id), 101, 500))
		e.Handle(at+200, data(client, feedAddress, inband.TagOf(id), 101, 500))
	}
	silence(1000, 1, "i-1")
	silence(1000, 2, "i-2")
	silence(30000, 3, "i-3")
	is.Equal(e.DomainsToProbe(30200), nil)
	e.MarkProbed(30200, "b", 2)
	is.True(!e.IsPartitioned(30400, "b"))
}
