package inband

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
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
