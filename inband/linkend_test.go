package inband_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// silentDomain returns an engine that finds three targets of domain b and its VMs silent at 1200, with a flow of
// another client at each target that has seen no silence. It returns the tags of these flows by client.
func silentDomain(is *is.I, vms int) (*inband.Engine, map[int]inband.Tag) {
	e := newEngine(target("i-1", "b"), target("i-2", "b"), target("i-3", "b"))
	idle := map[int]inband.Tag{}
	for client := range 3 {
		idle[client] = openFlow(e, client, feedAddress)
	}
	silenceTargets(e, 1000, 50)
	is.Equal(e.DomainsToProbe(1200), []string{"b"})
	e.MarkProbed(1200, "b", vms)
	is.Equal(probeSuspects(e, 1200, inband.Silent), 3)
	is.True(e.IsPartitioned(1330, "b"))
	return e, idle
}

// silenceTargets lets data of a client of each of the three targets time out.
func silenceTargets(e *inband.Engine, at clock.Millis, firstClient int) {
	for _, sentAt := range []clock.Millis{at, at + 200} {
		for i, id := range []string{"i-1", "i-2", "i-3"} {
			e.Handle(sentAt, data(firstClient+i, feedAddress, inband.TagOf(id), 101, 500))
		}
	}
}

// sweepFrom lets the engine's periodic work run, so that it does not take itself for paused.
func sweepFrom(e *inband.Engine, from, until clock.Millis) {
	for now := from; now <= until; now += 250 {
		e.Sweep(now)
	}
}

// Guards against flows of living targets that are reset by the signs of a cut that has healed (review/6): no packet
// was sent there since, and the only VM of the domain is away for another reason.
func TestSignsOfAHealedCutEnd(t *testing.T) {
	is := is.New(t)
	e, idle := silentDomain(is, 1)
	sweepFrom(e, 1450, 12000)
	is.Equal(e.DomainsToProbe(12000), nil) // a VM that is away is no sign by itself
	e.MarkProbed(12000, "b", 1)
	is.True(!e.IsPartitioned(12200, "b"))
	for client, tag := range idle {
		is.Equal(e.Handle(12200, data(client, feedAddress, tag, 101, 500)).Action, inband.Forward)
	}
	is.Equal(len(e.EndFlowsOfLostTargets(12400)), 0)
}

// Guards against a cut that is believed from its second sign on because of the first one's probes (review/6): the
// VMs of the domain must not answer a message of this time either.
func TestSecondCutNeedsProbesOfItsOwn(t *testing.T) {
	is := is.New(t)
	e, idle := silentDomain(is, 2)
	sweepFrom(e, 1450, 11900)
	silenceTargets(e, 12000, 60)
	is.Equal(probeSuspects(e, 12200, inband.Silent), 3)
	is.Equal(e.DomainsToProbe(12200), []string{"b"})
	e.MarkProbed(12200, "b", 2)
	is.True(!e.IsPartitioned(12250, "b")) // they have had no time to answer
	is.Equal(e.Handle(12250, data(0, feedAddress, idle[0], 101, 500)).Action, inband.Forward)
	is.True(e.IsPartitioned(12330, "b"))
}

// Guards against signs that end while the cut lasts: this VM connects to the targets again as long as it has flows
// there, and what that shows decides.
func TestCutIsBelievedWhileProbesAreSilent(t *testing.T) {
	for _, outcome := range []inband.ProbeOutcome{inband.Silent, inband.Answered, inband.Refused, inband.Inconclusive} {
		t.Run(string(outcome), func(t *testing.T) {
			is := is.New(t)
			e, idle := silentDomain(is, 2)
			for now := clock.Millis(1450); now <= 7000; now += 250 {
				e.Sweep(now)
				probeSuspects(e, now, outcome)
				for _, domain := range e.DomainsToProbe(now) {
					e.MarkProbed(now, domain, 2)
				}
			}
			is.Equal(e.IsPartitioned(7000, "b"), outcome == inband.Silent)
			v := e.Handle(7000, data(0, feedAddress, idle[0], 101, 500))
			is.Equal(v.Action == inband.Reset, outcome == inband.Silent)
		})
	}
}

// Guards against probes without an end of a domain in which this VM has no flow left.
func TestCutDomainWithoutFlowsIsNotProbed(t *testing.T) {
	is := is.New(t)
	e, _ := silentDomain(is, 2)
	for len(e.EndFlowsOfLostTargets(1500)) > 0 {
	}
	for client := range 100 { // ends the idle ones
		p := data(client, feedAddress, 0, 101, 500)
		p.Flags |= inband.Resetting
		e.Handle(1500, p)
	}
	sweepFrom(e, 1750, 4000)
	is.Equal(e.SuspectsToProbe(4000, always), nil)
	is.Equal(e.DomainsToProbe(4000), nil)
}

// Guards against VMs that count as silent because this VM stood still while their answers came.
func TestPauseOfThisVMIsNoSilenceOfAnotherDomain(t *testing.T) {
	is := is.New(t)
	e, idle := silentDomain(is, 2)
	is.Equal(e.Handle(2000, data(0, feedAddress, idle[0], 101, 500)).Action, inband.Forward) // after 670 ms without any event
	is.True(!e.IsPartitioned(2000, "b"))
	e.MarkProbed(2000, "b", 2)
	is.True(e.IsPartitioned(2120, "b"))
}

// Guards against a domain that seems cut off because no VM of it is known that could answer.
func TestDomainWithoutVMsIsNotCutOff(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "b"), target("i-2", "b"), target("i-3", "b"))
	silenceTargets(e, 1000, 50)
	is.Equal(probeSuspects(e, 1200, inband.Silent), 3)
	is.True(!e.IsPartitioned(1400, "b"))
	is.Equal(len(e.EndFlowsOfLostTargets(1400)), 0)
}

// Guards against one domain's signs that hold for another: two domains are cut off in turn.
func TestDomainsCutInTurn(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "b"), target("i-2", "b"), target("i-3", "c"), target("i-4", "c"))
	cut := func(at clock.Millis, domain string, ids ...string) {
		for _, sentAt := range []clock.Millis{at, at + 200} {
			for _, id := range ids {
				e.Handle(sentAt, data(int(inband.TagOf(id)%100)+int(at/1000), feedAddress, inband.TagOf(id), 101, 500))
			}
		}
		e.MarkProbed(at+200, domain, 2)
		probeSuspects(e, at+200, inband.Silent)
	}
	cut(1000, "b", "i-1", "i-2")
	is.True(e.IsPartitioned(1330, "b"))
	sweepFrom(e, 1450, 4900)
	cut(5000, "c", "i-3", "i-4")
	is.True(e.IsPartitioned(5330, "c"))
	is.True(!e.IsPartitioned(5330, "b"))
	e.MarkReachable("c")
	is.True(!e.IsPartitioned(5400, "c"))
}

// Guards against targets of a cut domain that are never asked, because those that are known to be silent are asked again
// and again within the limit of probes.
func TestTargetsNotAskedYetComeFirst(t *testing.T) {
	is := is.New(t)
	e, _ := silentDomain(is, 2)
	e.UpdateTargets(published(target("i-4", "b")))
	for _, at := range []clock.Millis{2300, 2500} {
		e.Handle(at, data(70, feedAddress, inband.TagOf("i-4"), 101, 500))
	}
	is.Equal(e.SuspectsToProbe(2500, always), []string{"i-4", "i-1", "i-2", "i-3"})
	e.RecordProbe(2510, inband.ProbeResult{Probe: e.StartProbe(2500, "i-1"), SentAt: 2500, Outcome: inband.Silent})
	e.Sweep(2700)
	is.Equal(e.SuspectsToProbe(2700, always), []string{"i-4", "i-2", "i-3"})
}
