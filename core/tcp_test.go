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

// tcpStep is one segment of a TCP flow, sent by the client or by the target.
type tcpStep struct {
	fromTarget bool
	flags      packet.Flags
	payload    string
	delay      clock.Millis // before the segment
	wantSame   bool         // delivered to the flow's first target or, if from the target, to the client
}

const (
	syn    = packet.SYN
	ack    = packet.ACK
	synAck = packet.SYN | packet.ACK
	finAck = packet.FIN | packet.ACK
	rst    = packet.RST | packet.ACK
)

// sendReply passes a segment from the target of client 1 to a VM and returns where it was
// delivered.
func (c *testCluster) sendReply(via int, target flow.Endpoint, flags packet.Flags, payload string) flow.Endpoint {
	client := clientKey(1, flow.TCP, "203.0.113.10:443")
	back := flow.NewKey(flow.TCP, target, client.Source())
	return c.sendFromFabric(via, packet.AppendTCP(nil, back, packet.Segment{Flags: flags, Payload: []byte(payload)}))
}

func TestTCPSegments(t *testing.T) {
	tests := []struct {
		name  string
		steps []tcpStep
	}{
		{"handshake and data", []tcpStep{{flags: syn, wantSame: true}, {fromTarget: true, flags: synAck, wantSame: true}, {flags: ack, wantSame: true}, {flags: ack, payload: "a", wantSame: true}}},
		{"retransmitted SYN", []tcpStep{{flags: syn, wantSame: true}, {flags: syn, delay: 1000, wantSame: true}, {flags: syn, delay: 2000, wantSame: true}, {flags: ack, wantSame: true}}},
		{"data before the last ACK of the handshake", []tcpStep{{flags: syn, wantSame: true}, {flags: ack, payload: "b", wantSame: true}, {flags: ack, wantSame: true}}},
		{"data again after FIN", []tcpStep{{flags: syn, wantSame: true}, {flags: ack, wantSame: true}, {flags: finAck, wantSame: true}, {flags: ack, payload: "c", wantSame: true}, {flags: finAck, wantSame: true}}},
		{"half-close with a long answer", []tcpStep{
			{flags: syn, wantSame: true},
			{flags: ack, wantSame: true},
			{flags: finAck, wantSame: true},
			{fromTarget: true, flags: ack, payload: "d", delay: 20_000, wantSame: true},
			{flags: ack, wantSame: true},
			{fromTarget: true, flags: ack, payload: "e", delay: 20_000, wantSame: true},
			{flags: ack, wantSame: true},
			{fromTarget: true, flags: finAck, wantSame: true},
			{flags: ack, wantSame: true},
		}},
		{"target closes first", []tcpStep{{flags: syn, wantSame: true}, {flags: ack, wantSame: true}, {fromTarget: true, flags: finAck, wantSame: true}, {flags: ack, wantSame: true}, {flags: finAck, wantSame: true}}},
		{"reset by the client", []tcpStep{{flags: syn, wantSame: true}, {flags: ack, wantSame: true}, {flags: rst, wantSame: true}}},
		{"reset by the target in mid-flow reaches the client", []tcpStep{{flags: syn, wantSame: true}, {flags: ack, payload: "f", wantSame: true}, {fromTarget: true, flags: rst, wantSame: true}}},
		{"established flow idle for most of its timeout", []tcpStep{{flags: syn, wantSame: true}, {flags: ack, wantSame: true}, {flags: ack, delay: 250_000, wantSame: true}}},
		{"established flow idle for longer expires", []tcpStep{{flags: syn, wantSame: true}, {flags: ack, wantSame: true}, {flags: ack, delay: 310_000}}},
		{"flow that was never established expires", []tcpStep{{flags: syn, wantSame: true}, {flags: ack, delay: 60_000}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, eightVMs...)
			var target flow.Endpoint
			for i, s := range test.steps {
				c.wait(s.delay)
				if s.fromTarget {
					is.Equal(c.sendReply(i, target, s.flags, s.payload) == clientEndpoint(1), s.wantSame) // delivered to the client
					continue
				}
				deliveredTo := c.sendFromFabric(i, tcpPacket(1, s.flags, s.payload))
				if i == 0 {
					target = deliveredTo
				}
				is.Equal(deliveredTo == target && deliveredTo != flow.Endpoint{}, s.wantSame) // delivered to the first target
			}
		})
	}
}

// wait advances the time in steps of one second, each of which ends with a tick.
func (c *testCluster) wait(duration clock.Millis) {
	for until := c.now + duration; c.now < until; {
		c.now += clock.Second - 100
		c.tick()
	}
}

func TestReplySourceIsRoutedDestination(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, eightVMs...)
	target := c.sendFromFabric(0, tcpPacket(1, syn, ""))
	for via := range eightVMs {
		is.Equal(c.sendReply(via, target, ack, "x"), clientEndpoint(1)) // any VM translates the reply
		key := c.delivered[0].Key()
		is.Equal(key.Source(), endpoint("203.0.113.10:443"))
	}
}

func TestResetSYNIsPlacedOnOtherTarget(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, eightVMs...)
	target := c.sendFromFabric(0, tcpPacket(1, syn, ""))
	is.Equal(c.sendReply(1, target, rst, ""), flow.Endpoint{}) // the client does not receive the reset
	retried := c.sendFromFabric(2, tcpPacket(1, syn, ""))
	is.True(retried != target && retried != flow.Endpoint{}) // the retransmission goes to another target
	is.Equal(c.countResult(result.Replaced), uint64(2))      // the withheld reset and the new placement
}

// TestFlowWithPayloadIsNotPlacedAgain guards against placing a flow again after its first
// target may have processed payload.
func TestFlowWithPayloadIsNotPlacedAgain(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, eightVMs...)
	target := c.sendFromFabric(0, tcpPacket(1, syn, "early data"))
	is.Equal(c.sendReply(1, target, rst, ""), clientEndpoint(1)) // the client receives the reset
}

func TestICMPErrorForReplyReachesTarget(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, eightVMs...)
	target := c.sendFromFabric(0, tcpPacket(1, syn, ""))
	key := clientKey(1, flow.TCP, "203.0.113.10:443")
	var p packet.Packet
	is.NoErr(p.Parse(packet.AppendTCP(nil, flow.NewKey(flow.TCP, key.Destination(), key.Source()), packet.Segment{Flags: ack, Payload: make([]byte, 1000)})))
	tooBig := packet.AppendTooBig(nil, &p, 900)
	for via := range eightVMs {
		deliveredTo := c.sendFromFabric(via, tooBig)
		is.Equal(deliveredTo.Address16(), target.Address16()) // forwarded by any VM
		embedded, ok := c.delivered[0].EmbeddedKey()
		is.True(ok)
		is.Equal(embedded.Source(), target) // source as the target sent it
	}
}

// TestSYNFloodKeepsEstablishedFlows guards against a flood of first packets filling the
// flow table and displacing established flows.
func TestSYNFloodKeepsEstablishedFlows(t *testing.T) {
	is := is.New(t)
	c := newClusterWith(t, clusterOptions{flows: 4000}, eightVMs...)
	const flows = 500
	targets := make([]flow.Endpoint, flows)
	for n := range flows {
		targets[n] = c.sendFromFabric(n, tcpPacket(n, syn, ""))
		c.sendFromFabric(n, tcpPacket(n, ack, "x"))
		c.sendFromFabric(n, tcpPacket(n, ack, "y"))
	}
	c.wait(10 * clock.Second)
	for n := flows; n < flows+20_000; n++ {
		c.sendFromFabric(n, tcpPacket(n, syn, ""))
	}
	is.True(c.countResult(result.DroppedTableFull) > 0)
	for n := range flows {
		is.Equal(c.sendFromFabric(n+1, tcpPacket(n, ack, "z")), targets[n]) // still served
	}
	for _, name := range eightVMs {
		is.True(c.nodes[fleet.NewID(name)].FlowCount() <= 4000) // within the limit
	}
}
