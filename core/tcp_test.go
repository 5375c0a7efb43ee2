package core_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/result"
)

// step is one segment of a TCP flow, from its client or from the target that it is on.
type step struct {
	fromTarget bool
	flags      packet.Flags
	payload    string
	wait       clock.Millis // before the segment
	same       bool         // arrives at the flow's first target, or back at the client
}

const (
	syn    = packet.SYN
	ack    = packet.ACK
	synAck = packet.SYN | packet.ACK
	finAck = packet.FIN | packet.ACK
	rst    = packet.RST | packet.ACK
)

// reply hands a segment of the target of client 1 to a VM and returns where it came out.
func (b *bus) reply(via int, target flow.Endpoint, flags packet.Flags, payload string) flow.Endpoint {
	client := clientKey(1, flow.TCP, "203.0.113.10:443")
	back := flow.NewKey(flow.TCP, target, client.Source())
	return b.client(via, packet.AppendTCP(nil, back, packet.Segment{Flags: flags, Payload: []byte(payload)}))
}

func TestSegmentsOfAFlow(t *testing.T) {
	tests := []struct {
		name  string
		steps []step
	}{
		{"handshake and data", []step{{flags: syn, same: true}, {fromTarget: true, flags: synAck, same: true}, {flags: ack, same: true}, {flags: ack, payload: "a", same: true}}},
		{"retransmitted SYN", []step{{flags: syn, same: true}, {flags: syn, wait: 1000, same: true}, {flags: syn, wait: 2000, same: true}, {flags: ack, same: true}}},
		{"data before the last ACK of the handshake", []step{{flags: syn, same: true}, {flags: ack, payload: "b", same: true}, {flags: ack, same: true}}},
		{"data again after FIN", []step{{flags: syn, same: true}, {flags: ack, same: true}, {flags: finAck, same: true}, {flags: ack, payload: "c", same: true}, {flags: finAck, same: true}}},
		{"half-close with a long answer", []step{
			{flags: syn, same: true},
			{flags: ack, same: true},
			{flags: finAck, same: true},
			{fromTarget: true, flags: ack, payload: "d", wait: 20_000, same: true},
			{flags: ack, same: true},
			{fromTarget: true, flags: ack, payload: "e", wait: 20_000, same: true},
			{flags: ack, same: true},
			{fromTarget: true, flags: finAck, same: true},
			{flags: ack, same: true},
		}},
		{"target closes first", []step{{flags: syn, same: true}, {flags: ack, same: true}, {fromTarget: true, flags: finAck, same: true}, {flags: ack, same: true}, {flags: finAck, same: true}}},
		{"reset by the client", []step{{flags: syn, same: true}, {flags: ack, same: true}, {flags: rst, same: true}}},
		{"reset by the target in mid-flow reaches the client", []step{{flags: syn, same: true}, {flags: ack, payload: "f", same: true}, {fromTarget: true, flags: rst, same: true}}},
		{"established flow idle for most of its timeout", []step{{flags: syn, same: true}, {flags: ack, same: true}, {flags: ack, wait: 250_000, same: true}}},
		{"established flow idle for longer is forgotten", []step{{flags: syn, same: true}, {flags: ack, same: true}, {flags: ack, wait: 310_000}}},
		{"flow that was never established is forgotten", []step{{flags: syn, same: true}, {flags: ack, wait: 60_000}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b := newBus(t, eight...)
			var target flow.Endpoint
			for i, s := range test.steps {
				b.wait(s.wait)
				if s.fromTarget {
					is.Equal(b.reply(i, target, s.flags, s.payload) == endpointOf(1), s.same) // back at the client
					continue
				}
				at := b.client(i, segment(1, s.flags, s.payload))
				if i == 0 {
					target = at
				}
				is.Equal(at == target && at != flow.Endpoint{}, s.same) // at the first target
			}
		})
	}
}

// wait lets time pass in ticks.
func (b *bus) wait(span clock.Millis) {
	for until := b.now + span; b.now < until; {
		b.now += clock.Second - 100
		b.tick()
	}
}

func TestReplyComesFromTheRoutedDestination(t *testing.T) {
	is := is.New(t)
	b := newBus(t, eight...)
	target := b.client(0, segment(1, syn, ""))
	for via := range eight {
		is.Equal(b.reply(via, target, ack, "x"), endpointOf(1)) // any VM translates back
		key := b.delivered[0].Key()
		is.Equal(key.Source(), endpoint("203.0.113.10:443"))
	}
}

func TestRefusedSYNIsPlacedElsewhere(t *testing.T) {
	is := is.New(t)
	b := newBus(t, eight...)
	target := b.client(0, segment(1, syn, ""))
	is.Equal(b.reply(1, target, rst, ""), flow.Endpoint{}) // the client does not see the reset
	again := b.client(2, segment(1, syn, ""))
	is.True(again != target && again != flow.Endpoint{}) // its retransmission goes elsewhere
	is.Equal(b.total(result.Replaced), uint64(2))        // the reset kept back and the new target
}

func TestFlowWithPayloadIsNeverPlacedAgain(t *testing.T) {
	is := is.New(t)
	b := newBus(t, eight...)
	target := b.client(0, segment(1, syn, "early data"))
	is.Equal(b.reply(1, target, rst, ""), endpointOf(1)) // the client sees the reset
}

func TestErrorAboutAReplyReachesTheTarget(t *testing.T) {
	is := is.New(t)
	b := newBus(t, eight...)
	target := b.client(0, segment(1, syn, ""))
	key := clientKey(1, flow.TCP, "203.0.113.10:443")
	var p packet.Packet
	is.NoErr(p.Parse(packet.AppendTCP(nil, flow.NewKey(flow.TCP, key.Destination(), key.Source()), packet.Segment{Flags: ack, Payload: make([]byte, 1000)})))
	tooBig := packet.AppendTooBig(nil, &p, 900)
	for via := range eight {
		at := b.client(via, tooBig)
		is.Equal(at.Address16(), target.Address16()) // from any VM
		embedded, ok := b.delivered[0].ICMPError()
		is.True(ok)
		is.Equal(embedded.Source(), target) // as the target sent it
	}
}

// TestFloodOfFirstPacketsKeepsEstablishedFlows fills the table with first packets.
func TestFloodOfFirstPacketsKeepsEstablishedFlows(t *testing.T) {
	is := is.New(t)
	b := newBusWith(t, busOptions{flows: 4000}, eight...)
	const flows = 500
	placed := make([]flow.Endpoint, flows)
	for n := range flows {
		placed[n] = b.client(n, segment(n, syn, ""))
		b.client(n, segment(n, ack, "x"))
		b.client(n, segment(n, ack, "y"))
	}
	b.wait(10 * clock.Second)
	for n := flows; n < flows+20_000; n++ {
		b.client(n, segment(n, syn, ""))
	}
	is.True(b.total(result.DroppedTableFull) > 0)
	for n := range flows {
		is.Equal(b.client(n+1, segment(n, ack, "z")), placed[n]) // still served
	}
	for _, name := range eight {
		is.True(b.nodes[fleet.NewID(name)].Flows() <= 4000) // the limit holds
	}
}
