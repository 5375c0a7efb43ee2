package inband_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/load"
)

// Flows leave the domain while requests wait there and not elsewhere, and no longer.
func TestSharedSpills(t *testing.T) {
	calm, pressing := load.Work{Busy: 0.5, Finished: 10}, load.Work{Busy: 9, Finished: 40}
	tests := []struct {
		name       string
		own        load.Work // at each target
		others     load.Work // at all targets of the other domain
		isSpilling bool
	}{
		{"calm", calm, calm.Scale(10), false},
		{"one domain presses", pressing, calm.Scale(10), true},
		{"both domains press", pressing, pressing.Scale(10), false},
		{"the other domain presses", calm, pressing.Scale(10), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			targets := largePool(20, "ab")
			e := newSharedEngine(targets)
			r := &reporter{targets: targets, work: calm, others: calm.Scale(10)}
			place(e, r, 0, 3*clock.Second)
			is.Equal(e.RemoteOpenings(), 0)
			r.work, r.others = tt.own, tt.others
			place(e, r, 3*clock.Second, 6*clock.Second)
			is.Equal(e.RemoteOpenings() > 0, tt.isSpilling)
			is.Equal(len(e.TakeSpillChanges()) > 0, tt.isSpilling)
			r.work, r.others = calm, calm.Scale(10)
			place(e, r, 6*clock.Second, 16*clock.Second)
			is.Equal(len(e.TakeSpillChanges()) > 0, tt.isSpilling) // it ceased
			before := e.RemoteOpenings()
			place(e, r, 16*clock.Second, 18*clock.Second)
			is.Equal(e.RemoteOpenings(), before)
		})
	}
}

// Domains of which nothing is heard are not taken for idle ones: both press, or the other one is idle, and then
// the news of it stops.
func TestSharedSpillsNoMoreWithoutNews(t *testing.T) {
	const newsEnds, end = 5 * clock.Second, 20 * clock.Second
	calm, pressing := load.Work{Busy: 0.5, Finished: 10}, load.Work{Busy: 9, Finished: 40}
	tests := []struct {
		name   string
		others load.Work // at all targets of the other domain
	}{
		{"both domains press", pressing.Scale(10)},
		{"one domain presses", calm.Scale(10)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			targets := largePool(20, "ab")
			e := newSharedEngine(targets)
			r := &reporter{targets: targets, work: pressing, others: tt.others}
			place(e, r, 0, newsEnds)
			r.noNews = true
			place(e, r, newsEnds, end)
			is.Equal(e.Spillings()[0].Share, 0.0)
		})
	}
}

// Of two other domains, the one whose slots are all occupied gets few of the spilled flows: at most half as many as
// the one that has room.
func TestSharedSpillsToTheDomainWithRoom(t *testing.T) {
	is := is.New(t)
	calm, pressing := load.Work{Busy: 0.5, Finished: 10}, load.Work{Busy: 9, Finished: 40}
	targets := largePool(30, "abc")
	e := newSharedEngine(targets)
	r := &reporter{targets: targets, work: pressing, others: pressing.Scale(10), third: calm.Scale(10)}
	flows := place(e, r, 0, 10*clock.Second)
	byDomain := map[string]int{}
	for _, t := range targets {
		byDomain[t.Domain] += flows[t.ID]
	}
	t.Logf("flows by domain: %v", byDomain)
	is.True(byDomain["c"] > 0)
	is.True(2*byDomain["b"] <= byDomain["c"])
}

// What is known of a domain stays while its targets hang, so that flows do not come back to it.
func TestSharedSpillsWhileTargetsHang(t *testing.T) {
	is := is.New(t)
	targets := largePool(20, "ab")
	e := newSharedEngine(targets)
	r := &reporter{targets: targets, work: load.Work{Busy: 9, Finished: 40}, others: load.Work{Busy: 5, Finished: 100}}
	place(e, r, 0, 5*clock.Second)
	before := e.Spillings()[0]
	is.True(before.Share > 0)
	r.work = load.Work{Busy: 9}
	for now := 5 * clock.Second; now < 9*clock.Second; now += 250 {
		r.report(e, now)
		e.Sweep(now)
	}
	after := e.Spillings()[0]
	is.True(after.Share >= before.Share)
	is.True(after.ServiceTime >= before.ServiceTime)
}

// Flows stay in an idle domain though its requests take long by nature, and leave one whose requests wait long,
// without news of others. 40 requests per second occupy a third of the slots if each takes 150 ms.
func TestSharedLeavesOnlyForWaits(t *testing.T) {
	const requests, interval = 400, 25
	tests := []struct {
		name    string
		elapsed clock.Millis // until a request is answered
		work    load.Work    // of the domain's other VM, at each target
		leaves  bool
	}{
		{"long requests", 150, load.Work{Busy: 0.3, Finished: 2}, false},
		{"short requests that wait", 300, load.Work{Busy: 3, Finished: 40}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			targets := largePool(20, "ab")
			e := newSharedEngine(targets)
			patient := tables(2)
			patient.Routes[0].TargetLatencyMS = 2000
			e.ReplaceView(patient, published(targets...))
			r := &reporter{targets: targets, work: tt.work, noNews: true}
			serve(e, r, requests, interval, tt.elapsed)
			is.Equal(e.RemoteOpenings() > 0, tt.leaves)
		})
	}
}

// serve opens flows at an interval, each with one request that takes a time.
func serve(e *inband.Engine, r *reporter, requests int, interval, elapsed clock.Millis) {
	var underWay []*inband.Packet
	for i := range requests {
		now := clock.Millis(i) * interval
		if now%250 == 0 {
			r.report(e, now)
			e.Sweep(now)
		}
		p := numberedOpening(i)
		verdict := e.Handle(now, p)
		p.Flags, p.Seq, p.Ack, p.Tag, p.DataLength = inband.Acknowledging, 101, 500, verdict.Tag(), 50
		e.Handle(now, p)
		underWay = append(underWay, p)
		if len(underWay) > int(elapsed/interval) {
			p, underWay = underWay[0], underWay[1:]
			p.Flags, p.Seq, p.Ack, p.DataLength = inband.Acknowledging|inband.Ending, 151, 1000, 0
			e.Handle(now, p)
		}
	}
}
