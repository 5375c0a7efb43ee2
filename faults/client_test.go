package faults

import (
	"encoding/binary"
	"net/netip"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
)

const (
	retransmission = 1 * clock.Second
	// openingTries is how often a client sends an opening packet, at doubling spans, all
	// within the lifetime of an opening packet.
	openingTries = 4
	// dataTries is how often a client of an open flow sends before it gives up.
	dataTries = 12
)

// First payload byte of a client's packet and of a target's answer.
const (
	opens   = 'O'
	carries = 'D'
	ends    = 'F'
	answers = 'A'
	resets  = 'R'
)

type clientState int

const (
	waiting clientState = iota
	open
	finished
	refusedState
	unanswered
	broken
	lostTarget
)

// client is one flow as its client sees it.
type client struct {
	world    *world
	kind     kind
	key      flow.Key
	state    clientState
	started  clock.Millis
	lifetime clock.Millis
	interval clock.Millis
	tries    int
	sequence uint32 // of the packet that waits for an answer
	answers  int    // different packets answered
	visited  []*target
	ran      bool
	watched  bool // open when the fault came
}

// start opens a flow.
func (w *world) start(k kind, lifetime, interval clock.Millis) *client {
	w.ports++
	address := netip.AddrFrom4([4]byte{198, 18, byte(w.ports >> 22), byte(w.ports >> 14)})
	source := flow.NewEndpoint(netip.AddrPortFrom(address, uint16(1024+w.ports%(1<<14))))
	destination := flow.NewEndpoint(netip.AddrPortFrom(netip.MustParseAddr(k.destination()), 443))
	protocol := flow.UDP
	if k.protocol() == "tcp" {
		protocol = flow.TCP
	}
	c := &client{world: w, kind: k, key: flow.NewKey(protocol, source, destination), started: w.now, lifetime: lifetime, interval: interval}
	w.clients[source] = c
	w.oracle.offered(c)
	c.sendOpening()
	return c
}

func (c *client) sendOpening() {
	if c.state != waiting {
		return
	}
	if c.tries == openingTries {
		c.end(unanswered)
		return
	}
	c.tries++
	c.send(opens)
	c.world.after(retransmission<<(c.tries-1), c.sendOpening)
}

func (c *client) send(what byte) {
	payload := binary.BigEndian.AppendUint32([]byte{what}, c.sequence)
	var inner []byte
	if c.key.Protocol() == flow.UDP {
		inner = packet.AppendUDP(nil, c.key, payload)
	} else {
		inner = packet.AppendTCP(nil, c.key, c.segment(what, payload))
	}
	c.world.fromFabric("", clientLatency, inner)
}

// segment wraps a payload. A SYN carries none.
func (c *client) segment(what byte, payload []byte) packet.Segment {
	switch what {
	case opens:
		return packet.Segment{Sequence: 1, Flags: packet.SYN, Window: 1024}
	case ends:
		return packet.Segment{Sequence: c.sequence + 2, Flags: packet.FIN | packet.ACK, Window: 1024, Payload: payload}
	default:
		return packet.Segment{Sequence: c.sequence + 2, Flags: packet.ACK, Window: 1024, Payload: payload}
	}
}

// next sends the next packet of an open flow, or its end.
func (c *client) next() {
	if c.state != open {
		return
	}
	c.sequence++
	c.tries = 0
	if c.world.now-c.started >= c.lifetime {
		c.send(ends)
		c.end(finished)
		return
	}
	c.sendData(c.sequence)
}

func (c *client) sendData(sequence uint32) {
	if c.state != open || c.sequence != sequence {
		return
	}
	if c.tries == dataTries {
		c.stall()
		return
	}
	c.tries++
	c.send(carries)
	c.world.after(retransmission, func() { c.sendData(sequence) })
}

// stall ends a flow whose packets are not answered any more.
func (c *client) stall() {
	if t := c.target(); t != nil && (!t.up || c.world.cut[t.domain]) {
		c.end(lostTarget)
		return
	}
	c.world.tracef("%s stalls", c.key.String())
	c.end(broken)
}

func (c *client) target() *target {
	if len(c.visited) == 0 {
		return nil
	}
	return c.visited[0]
}

func (c *client) end(state clientState) {
	c.state = state
	c.world.oracle.ended(c)
}

// toClient delivers a packet to the client it is addressed to.
func (w *world) toClient(p *packet.Packet) {
	key := p.Key()
	if _, isError := p.ICMPError(); isError {
		embedded, _ := p.ICMPError()
		if c := w.clients[embedded.Source()]; c != nil {
			c.refusal()
		}
		return
	}
	c := w.clients[key.Destination()]
	if c == nil {
		return
	}
	payload := payloadOf(p)
	switch {
	case len(payload) == 0 && p.Flags()&packet.RST != 0:
		c.refusal()
	case len(payload) == 0:
	case key.Source() != c.key.Destination():
		w.oracle.violate("%s got an answer from %s", c.key.String(), key.Source())
	case payload[0] == resets:
		c.reset()
	default:
		c.answered(binary.BigEndian.Uint32(payload[1:]))
	}
}

func payloadOf(p *packet.Packet) []byte {
	b := p.Bytes()
	return b[len(b)-p.PayloadLength():]
}

func (c *client) answered(sequence uint32) {
	switch {
	case c.state == waiting:
		c.state = open
		c.answers++
		c.world.oracle.opened(c)
		c.world.after(c.interval/8, c.next)
	case c.state == open && sequence == c.sequence && c.tries > 0:
		c.tries = 0
		c.answers++
		c.world.oracle.answered(c)
		c.sequence++ // later copies of the answer count no more
		c.world.after(c.interval/2+clock.Millis(c.world.random.Int64N(int64(c.interval))), c.next)
	}
}

// refusal takes the answer that the flow was refused and did not run.
func (c *client) refusal() {
	if c.state != waiting {
		if c.state == open {
			c.world.tracef("%s cut by a reset", c.key.String())
			c.end(broken)
		}
		return
	}
	c.end(refusedState)
}

// reset takes the answer of a target that does not know the flow.
func (c *client) reset() {
	if c.state == open {
		c.world.tracef("%s reset by a target, visited %d", c.key.String(), len(c.visited))
		c.end(broken)
	}
}
