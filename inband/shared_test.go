package inband_test

import (
	"fmt"
	"hash/fnv"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/load"
)

// TestLocalDecisionsAreUnchanged guards deployments that do not share load against other decisions: the targets of
// many flows, under load and with targets in slow start and expired, are those of the version before.
func TestLocalDecisionsAreUnchanged(t *testing.T) {
	is := is.New(t)
	const choicesBefore = 2571594654580870798 // of the program before package spread
	targets := published(largePool(40, "abc")...)
	targets[3].SlowStartUntil = clock.Minute
	targets[6].FallbackUntil = clock.Minute
	e := inband.New(inband.Options{Domain: "a", Policy: inband.Local{}, MaxFlows: 10000, FlowLifetime: clock.Minute, Seed: 1})
	e.SetLocalVMs(5)
	e.ReplaceView(tables(1), targets)
	choices := fnv.New64a()
	for flow := range 2000 {
		verdict := e.Handle(clock.Millis(flow), numberedOpening(flow))
		_, _ = fmt.Fprintln(choices, verdict.Backend.Target().ID)
		if flow%3 == 0 {
			p := numberedOpening(flow)
			p.Flags, p.Seq, p.Ack, p.Tag = inband.Acknowledging|inband.Ending, 101, 500, verdict.Tag()
			e.Handle(clock.Millis(flow), p)
		}
	}
	is.Equal(choices.Sum64(), uint64(choicesBefore))
}

// reporter stands for another VM of the domain, with the same work at each target unless told otherwise.
type reporter struct {
	targets []*inband.Target
	work    load.Work            // at targets of its domain
	workAt  map[string]load.Work // at single targets
	others  load.Work            // at the pool in domain b, of the VMs there
	noNews  bool                 // of domain b
	third   load.Work            // at the pool in domain c, of the VMs there
}

func (r *reporter) report(e *inband.Engine, now clock.Millis) {
	var report load.Report
	for _, t := range r.targets {
		if t.Domain != "a" {
			continue
		}
		work, isSingle := r.workAt[t.ID]
		if !isSingle {
			work = r.work
		}
		report.Targets = append(report.Targets, load.TargetWork{Tag: uint32(inband.TagOf(t.ID)), Work: work})
	}
	e.ReceiveLoad(now, sibling, "a", report)
	if r.noNews {
		return
	}
	reportPool(e, now, "b", r.others)
	reportPool(e, now, "c", r.third)
}

// reportPool reports the work at the pool in another failure domain, as a VM of that domain does.
func reportPool(e *inband.Engine, now clock.Millis, domain string, work load.Work) {
	pool := load.DomainPoolID{Service: "core", Domain: domain}
	news := load.PoolNews{Pool: pool.Hash(), Source: load.HashDomain(domain), Work: work}
	e.ReceiveLoad(now, siblingOfB, domain, load.Report{Pools: []load.PoolNews{news}})
}

var siblingOfB = netip.MustParseAddrPort("10.2.0.11:7720")

// newSharedEngine returns an engine of one of two VMs in domain a.
func newSharedEngine(targets []*inband.Target) *inband.Engine {
	return newEngineOf(inband.Shared{}, targets)
}

func newEngineOf(policy inband.Policy, targets []*inband.Target) *inband.Engine {
	e := inband.New(inband.Options{
		Domain: "a", Policy: policy, MaxFlows: 10000, FlowLifetime: clock.Minute, Seed: 1, SharesLoad: true,
	})
	e.SetLocalVMs(2)
	t := tables(1)
	t.Routes[0].TargetLatencyMS = 250
	t.Services = []inband.Service{{Name: "core", MaxConnections: 1000}}
	e.ReplaceView(t, published(targets...))
	introduce(e, targets...)
	return e
}

// place opens a flow each 10 ms, while the reporter reports, and returns the numbers of flows by target.
func place(e *inband.Engine, r *reporter, from, until clock.Millis) map[string]int {
	flows := map[string]int{}
	for now := from; now < until; now += 10 {
		if now%250 == 0 {
			r.report(e, now)
			e.Sweep(now)
		}
		p := numberedOpening(int(now))
		verdict := e.Handle(now, p)
		flows[verdict.Backend.Target().ID]++
		p.Flags, p.Seq, p.Ack, p.Tag = inband.Acknowledging|inband.Ending, 101, 500, verdict.Tag()
		e.Handle(now, p)
	}
	return flows
}

func TestSharedAvoidsSlowTargets(t *testing.T) {
	is := is.New(t)
	targets := largePool(10, "a")
	e := newSharedEngine(targets)
	r := &reporter{targets: targets, work: load.Work{Busy: 1, Finished: 20}}
	r.workAt = map[string]load.Work{targets[0].ID: {Busy: 4, Finished: 8}}
	place(e, r, 0, clock.Second)
	flows := place(e, r, clock.Second, 11*clock.Second)
	is.True(flows[targets[0].ID] > 0) // it finishes some
	is.True(2*flows[targets[0].ID] < flows[targets[1].ID])
}

func TestSharedAvoidsFullTargets(t *testing.T) {
	is := is.New(t)
	targets := largePool(10, "a")
	e := newSharedEngine(targets)
	r := &reporter{targets: targets, work: load.Work{Busy: 1, Finished: 20}}
	r.workAt = map[string]load.Work{targets[0].ID: {Busy: 1, Finished: 20, Flows: 1000}}
	place(e, r, 0, clock.Second)
	flows := place(e, r, clock.Second, 3*clock.Second)
	is.Equal(flows[targets[0].ID], 0)
	for _, target := range targets {
		r.workAt[target.ID] = load.Work{Busy: 1, Finished: 20, Flows: 1000}
	}
	place(e, r, 3*clock.Second, 4*clock.Second) // with all of them full, flows go on
}

// Without news, flows stay at home and are spread as evenly as Local spreads them.
func TestSharedSpreadsLikeLocalWithoutNews(t *testing.T) {
	is := is.New(t)
	targets := largePool(40, "ab")
	e := newSharedEngine(targets)
	for flow := range 1000 {
		p := numberedOpening(flow)
		verdict := e.Handle(clock.Millis(flow), p)
		is.Equal(verdict.Reason, inband.Placed)
		p.Flags, p.Seq, p.Ack, p.Tag = inband.Acknowledging, 101, 500, verdict.Tag()
		e.Handle(clock.Millis(flow), p)
	}
	is.Equal(e.RemoteOpenings(), 0)
	const mean, imbalanceLimit = 50, 1.05
	most := 0
	for _, h := range e.Targets() {
		most = max(most, h.Flows)
	}
	is.True(float64(most) <= imbalanceLimit*mean)
}

// BenchmarkChooseShared measures what BenchmarkChoose measures, by shared load.
func BenchmarkChooseShared(b *testing.B) {
	for _, count := range []int{18, 150, 3000, 30000} {
		b.Run(fmt.Sprintf("targets=%d", count), func(b *testing.B) {
			targets := largePool(count, "abcd")
			e := newSharedEngine(targets)
			r := &reporter{targets: targets[:min(count, 100)], work: load.Work{Busy: 1, Finished: 20}}
			r.report(e, 0)
			flow := 0
			b.ReportAllocs()
			for b.Loop() {
				flow++
				e.Handle(clock.Millis(flow), numberedOpening(flow))
				if flow%250 == 0 {
					e.Sweep(clock.Millis(flow))
				}
			}
		})
	}
}
