package inband

import (
	"net/netip"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

// routedEngine returns an engine that shares its load and has a route to the targets.
func routedEngine(targets []Published, maxFlows int, timeout clock.Millis) *Engine {
	e := New(Options{Domain: "east", Policy: Local{}, MaxFlows: maxFlows, FlowLifetime: clock.Minute, SharesLoad: true})
	route := Route{Name: "orders", Address: fleetAddress, TimeoutMS: timeout, Shares: []Share{{Service: "orders", Weight: 1}}}
	e.ReplaceView(&Tables{Version: 1, IdleMS: 15000, Routes: []Route{route}}, targets)
	return e
}

// openingOf returns the opening of a client's flow.
func openingOf(client int) Packet {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(client >> 8), byte(client)}), 1000)
	return Packet{Key: Key{Client: address, Destination: fleetAddress}, Flags: Opening, Seq: 100}
}

// requestAfter returns the packet with the request of the flow, 50 bytes.
func requestAfter(opening *Packet, tag Tag) Packet {
	return Packet{Key: opening.Key, Flags: Acknowledging, Tag: tag, Seq: 100, Ack: 500, DataLength: 50}
}

// busyRequests returns how many requests are metered at all targets.
func (e *Engine) busyRequests() int {
	sum := 0
	for _, b := range e.byID {
		sum += b.meter.Busy()
	}
	return sum
}

// sweepUntil sweeps as often as a VM does.
func (e *Engine) sweepUntil(from, until clock.Millis) {
	for now := from; now <= until; now += sweepInterval {
		e.Sweep(now)
	}
}

// TestAbandonedRequestsEndInALargeFlowTable has 20,000 clients that send a request, or the opening only, and
// nothing after it.
func TestAbandonedRequestsEndInALargeFlowTable(t *testing.T) {
	for _, sendsRequest := range []bool{false, true} {
		is := is.New(t)
		const clients = 20000
		e := routedEngine(servingTargets(10), clients, 0)
		for i := range clients {
			p := openingOf(i)
			verdict := e.Handle(1, &p)
			if request := requestAfter(&p, verdict.Tag()); sendsRequest {
				e.Handle(1, &request)
			}
		}
		is.Equal(e.busyRequests(), clients)
		e.sweepUntil(sweepInterval, timeoutLifetime+clock.Second+sweepInterval)
		is.Equal(e.busyRequests(), 0)
	}
}

// TestSlowRequestsCountUntilTheirCallersGiveUp has a request whose client waits in silence at a target that
// answers others after 2 s.
func TestSlowRequestsCountUntilTheirCallersGiveUp(t *testing.T) {
	tests := []struct {
		name            string
		timeout         clock.Millis
		isBusy, isEnded clock.Millis // times
	}{
		{"no timeout is known", 0, timeoutLifetime, timeoutLifetime + 2*clock.Second},
		{"callers wait longer", 3500, 3500, 5 * clock.Second},
		{"callers wait less", 1000, 1000, 2500},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := routedEngine(servingTargets(1), 10, tt.timeout)
			p := openingOf(1)
			e.Handle(1, &p)
			request := requestAfter(&p, e.byID["t0"].tag)
			e.Handle(1, &request)
			for now := sweepInterval; now <= tt.isBusy; now += sweepInterval {
				e.byID["t0"].latency.Add(now, 2*clock.Second)
				e.Sweep(now)
			}
			is.Equal(e.busyRequests(), 1)
			e.sweepUntil(tt.isBusy+sweepInterval, tt.isEnded)
			is.Equal(e.busyRequests(), 0)
		})
	}
}

// TestALaterPacketShowsThatARequestIsUnderWay has a client that waits in silence for longer than its target took
// for other requests, and then retransmits.
func TestALaterPacketShowsThatARequestIsUnderWay(t *testing.T) {
	is := is.New(t)
	e := routedEngine(servingTargets(1), 10, 0)
	p := openingOf(1)
	e.Handle(1, &p)
	e.sweepUntil(sweepInterval, clock.Second)
	is.Equal(e.busyRequests(), 0)
	tag := e.byID["t0"].tag
	e.Handle(1100, &p)
	is.Equal(e.busyRequests(), 1)
	request := requestAfter(&p, tag)
	e.Handle(1200, &request)
	e.sweepUntil(1250, 3*clock.Second)
	is.Equal(e.busyRequests(), 0)
	e.Handle(3100, &request)
	is.Equal(e.busyRequests(), 1)
	request.Ack, request.DataLength = request.Ack+500, 0
	e.Handle(3200, &request)
	is.Equal(e.busyRequests(), 0)
}

// TestFlowsOfOtherVMsAreMeasured has a flow that another VM opened come through this one while idle, and one
// whose client chose another target than this VM.
func TestFlowsOfOtherVMsAreMeasured(t *testing.T) {
	tests := []struct {
		name string
		open func(e *Engine, p *Packet) string // returns the target that the client uses
	}{
		{"taken over while idle", func(*Engine, *Packet) string { return "t0" }},
		{"moved to another target", func(e *Engine, p *Packet) string {
			if e.Handle(1, p).Backend == e.byID["t0"] {
				return "t1"
			}
			return "t0"
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := routedEngine(servingTargets(2), 10, 0)
			p := openingOf(1)
			b := e.byID[tt.open(e, &p)]
			confirming := requestAfter(&p, b.tag)
			confirming.DataLength = 0
			e.Handle(100, &confirming)
			e.Sweep(sweepInterval)
			is.Equal(b.flows, 1)
			reported := e.TakeLoadReport(sweepInterval).Targets
			is.True(slices.Contains(reported, load.TargetWork{Tag: uint32(b.tag), Work: load.Work{Flows: 1}, Pool: b.domainPool.hash}))
			is.Equal(e.LoadPools()[0].Work.Flows, 1.0)
		})
	}
}
