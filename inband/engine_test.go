package inband_test

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

var (
	feedAddress = netip.MustParseAddrPort("198.18.0.1:8443")
	sibling     = netip.MustParseAddrPort("10.1.0.11:7720")
	holdAddress = netip.MustParseAddrPort("198.18.0.1:8080")
)

func tables(version int64) *inband.Tables {
	return &inband.Tables{Version: version, IdleMS: 15000, Routes: []inband.Route{
		{Name: "feed", Address: feedAddress, Repeatable: true, Shares: []inband.Share{{Service: "core", Weight: 1}}},
		{Name: "hold", Address: holdAddress, Shares: []inband.Share{{Service: "core", Weight: 1}}},
	}}
}

// target returns a target with an address of its own.
func target(id, domain string) *inband.Target {
	tag := inband.TagOf(id)
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(tag >> 16), byte(tag >> 8), byte(tag)}), 80)
	return &inband.Target{ID: id, Identity: 1, Service: "core", Address: address, Domain: domain, Slots: 2}
}

func published(targets ...*inband.Target) []inband.Published {
	var all []inband.Published
	for _, t := range targets {
		all = append(all, inband.Published{Target: t})
	}
	return all
}

func newEngine(targets ...*inband.Target) *inband.Engine {
	e := inband.New(inband.Options{Domain: "a", Policy: inband.Local{}, MaxFlows: 1000, FlowLifetime: clock.Minute, Seed: 1})
	e.ReplaceView(tables(1), published(targets...))
	introduce(e, targets...)
	return e
}

func key(client int, service netip.AddrPort) inband.Key {
	return inband.Key{Client: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, byte(client)}), uint16(1000+client)), Destination: service}
}

func opening(client int, service netip.AddrPort, retransmits uint32) *inband.Packet {
	return &inband.Packet{Key: key(client, service), Flags: inband.Opening, Seq: 100, Ack: retransmits}
}

func data(client int, service netip.AddrPort, tag inband.Tag, seq, ack uint32) *inband.Packet {
	return &inband.Packet{Key: key(client, service), Flags: inband.Acknowledging, Seq: seq, Ack: ack, Tag: tag, DataLength: 50}
}

// openFlow opens a flow whose target answers, and returns the flow's tag.
func openFlow(e *inband.Engine, client int, service netip.AddrPort) inband.Tag {
	v := e.Handle(0, opening(client, service, 0))
	tag := v.Tag()
	e.Handle(1, &inband.Packet{Key: key(client, service), Flags: inband.Acknowledging, Seq: 101, Ack: 500, Tag: tag})
	return tag
}

func TestNoRouteResetsTheOpening(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"))
	v := e.Handle(0, opening(1, netip.MustParseAddrPort("198.18.0.9:1"), 0))
	is.Equal(v.Action, inband.Reset)
	is.Equal(v.Reason, inband.NoRoute)
	is.Equal(v.Seq, uint32(100))
}

func TestNoTargetResetsTheOpening(t *testing.T) {
	is := is.New(t)
	leaving := target("i-1", "a")
	leaving.State = inband.Leaving
	v := newEngine(leaving).Handle(0, opening(1, feedAddress, 0))
	is.Equal(v.Reason, inband.NoTarget)
}

func TestAnyVMForwardsByTag(t *testing.T) {
	is := is.New(t)
	tag := openFlow(newEngine(target("i-1", "a"), target("i-2", "b")), 1, feedAddress)
	v := newEngine(target("i-1", "a"), target("i-2", "b")).Handle(0, data(1, feedAddress, tag, 101, 500))
	is.Equal(v.Action, inband.Forward)
	is.Equal(v.Tag(), tag)
}

// The opening went through another VM and its retransmission through this one, and the VMs
// chose different targets. If the client's data names a target that this VM does not know yet,
// the data must not go to the target chosen here (soak, seeds 111 and 112).
func TestUnknownTagOnAFlowPlacedHere(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"))
	e.Handle(0, opening(1, feedAddress, 1))
	v := e.Handle(5, data(1, feedAddress, inband.TagOf("i-2"), 101, 500))
	is.Equal(v.Action, inband.Drop)
	is.Equal(v.Reason, inband.UnknownTag)
	e.ReplaceView(tables(1), published(target("i-1", "a"), target("i-2", "a")))
	v = e.Handle(205, data(1, feedAddress, inband.TagOf("i-2"), 101, 500))
	is.Equal(v.Backend.Target().ID, "i-2")
}

func TestUnknownTagIsDropped(t *testing.T) {
	is := is.New(t)
	v := newEngine(target("i-1", "a")).Handle(0, data(1, feedAddress, 12345, 101, 500))
	is.Equal(v.Action, inband.Drop)
	is.Equal(v.Reason, inband.UnknownTag)
}

func TestFlowsOfARemovedTargetContinue(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"))
	tag := openFlow(e, 1, feedAddress)
	gone := target("i-1", "a")
	gone.State = inband.Gone
	e.ReplaceView(tables(1), published(gone, target("i-2", "a")))
	v := e.Handle(10, data(1, feedAddress, tag, 101, 500))
	is.Equal(v.Action, inband.Forward)
	is.Equal(v.Backend.Target().ID, "i-1")
	v = e.Handle(10, opening(2, feedAddress, 0))
	is.Equal(v.Backend.Target().ID, "i-2")
}

// A client that reuses its port through another VM must not reach the old flow's target.
func TestPortReusedThroughAnotherVM(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"))
	openFlow(e, 1, feedAddress)
	e.ReplaceView(tables(1), published(target("i-1", "a"), target("i-2", "a")))
	v := e.Handle(9*clock.Second, data(1, feedAddress, inband.TagOf("i-2"), 90000, 7000))
	is.Equal(v.Backend.Target().ID, "i-2")
}

func TestRetransmittedOpening(t *testing.T) {
	tests := []struct {
		name  string
		after clock.Millis
		want  inband.Reason
	}{
		{"both read at once by a slow VM", 5, inband.Repeated},
		{"read late by a slow VM", 140, inband.Repeated},
		{"retransmitted after a timeout", 200, inband.MovedUnresponsive},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newEngine(target("i-1", "a"), target("i-2", "a"))
			first := e.Handle(1000, opening(1, feedAddress, 0))
			second := e.Handle(1000+tt.after, opening(1, feedAddress, 1))
			is.Equal(second.Reason, tt.want)
			is.Equal(second.Tag() == first.Tag(), tt.want == inband.Repeated)
		})
	}
}

// Two targets may answer two copies of an opening. The flow must stay with the target that the
// client chose, even if a later packet carries the other tag.
func TestTwoTargetsAnswerRetransmittedOpenings(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"), target("i-2", "a"))
	first := e.Handle(0, opening(1, feedAddress, 0))
	second := e.Handle(200, opening(1, feedAddress, 1))
	is.True(first.Tag() != second.Tag())
	v := e.Handle(202, data(1, feedAddress, first.Tag(), 101, 500))
	is.Equal(v.Tag(), first.Tag())
	v = e.Handle(205, data(1, feedAddress, second.Tag(), 151, 500))
	is.Equal(v.Tag(), first.Tag())
}

func TestOlderTablesAreIgnored(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"))
	e.ReplaceView(tables(9), published(target("i-1", "a")))
	older := tables(3)
	older.Routes = nil
	e.ReplaceView(older, published(target("i-1", "a")))
	v := e.Handle(0, opening(1, feedAddress, 0))
	is.Equal(v.Action, inband.Forward)
}

func TestOwnDomainIsPreferredUntilBusier(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"), target("i-2", "b"))
	counts := map[string]int{}
	for client := range 12 {
		v := e.Handle(clock.Millis(client), opening(client, holdAddress, 0))
		counts[v.Backend.Target().Domain]++
	}
	is.True(counts["a"] > counts["b"])
	is.True(counts["b"] > 0) // flows spill over before the own domain is overloaded
}

func TestRouteSharesFollowWeights(t *testing.T) {
	is := is.New(t)
	e := newEngine()
	split := tables(2)
	split.Routes[0].Shares = []inband.Share{{Service: "core", Weight: 9}, {Service: "new", Weight: 1}}
	other := target("i-2", "a")
	other.Service = "new"
	e.ReplaceView(split, published(target("i-1", "a"), other))
	newFlows := 0
	for client := range 250 {
		v := e.Handle(0, opening(client, feedAddress, 0))
		if v.Backend.Target().Service == "new" {
			newFlows++
		}
	}
	is.True(newFlows > 5 && newFlows < 60)
}

func TestHandleOngoingDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"), target("i-2", "a"))
	tag := openFlow(e, 1, feedAddress)
	p := data(1, feedAddress, tag, 101, 500)
	is.Equal(testing.AllocsPerRun(100, func() {
		p.Seq += 50
		p.Ack += 50
		e.Handle(10, p)
	}), 0.0)
}

func BenchmarkHandleOngoing(b *testing.B) {
	e := newEngine(target("i-1", "a"), target("i-2", "a"))
	tag := openFlow(e, 1, feedAddress)
	p := data(1, feedAddress, tag, 101, 500)
	b.ReportAllocs()
	for b.Loop() {
		p.Seq += 50
		p.Ack += 50
		e.Handle(10, p)
	}
}

// Expired flows are removed, and the counts of their targets return to zero.
func TestSweepRemovesExpiredFlows(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"))
	for client := range 200 {
		e.Handle(0, opening(client, feedAddress, 0))
	}
	is.Equal(e.Flows(), 200)
	e.Sweep(10 * clock.Second)
	is.Equal(e.Flows(), 0)
	is.Equal(e.Targets()[0].Flows, 0)
	is.Equal(e.Targets()[0].Busy, 0)
}
