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
	shed // reset by a target before it was open
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
	watched  bool   // open when the fault came
	number   uint32 // rides in each packet and its answer
	fastOpen bool   // its SYN carries payload
}

// start opens a flow.
func (w *world) start(k kind, lifetime, interval clock.Millis) *client {
	return w.startWith(k, lifetime, interval, false)
}

func (w *world) startWith(k kind, lifetime, interval clock.Millis, fastOpen bool) *client {
	key := w.nextKey(k)
	w.ports++
	c := &client{
		world: w, kind: k, key: key, started: w.now, lifetime: lifetime, interval: interval,
		number: w.ports, fastOpen: fastOpen,
	}
	w.clients[key.Source()] = c
	w.oracle.offered(c)
	c.sendOpening()
	return c
}

// nextKey is the flow that the next client opens.
func (w *world) nextKey(k kind) flow.Key {
	port := w.ports + 1
	address := netip.AddrFrom4([4]byte{198, 18, byte(port >> 22), byte(port >> 14)})
	source := flow.NewEndpoint(netip.AddrPortFrom(address, uint16(1024+port%(1<<14))))
	destination := flow.NewEndpoint(netip.AddrPortFrom(netip.MustParseAddr(k.destination()), 443))
	protocol := flow.UDP
	if k.protocol() == "tcp" {
		protocol = flow.TCP
	}
	return flow.NewKey(protocol, source, destination)
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
	c.world.after(c.world.config.spans.retransmission<<(c.tries-1), c.sendOpening)
}

func (c *client) send(what byte) {
	payload := binary.BigEndian.AppendUint32([]byte{what}, c.sequence)
	payload = binary.BigEndian.AppendUint32(payload, c.number)
	var inner []byte
	if c.key.Protocol() == flow.UDP {
		inner = packet.AppendUDP(nil, c.key, payload)
	} else {
		inner = packet.AppendTCP(nil, c.key, c.segment(what, payload))
	}
	c.world.fromFabric("", clientLatency, inner)
}

// segment wraps a payload. A SYN carries none, except with TCP Fast Open.
func (c *client) segment(what byte, payload []byte) packet.Segment {
	switch what {
	case opens:
		if c.fastOpen {
			return packet.Segment{Sequence: 1, Flags: packet.SYN, Window: 1024, Payload: payload}
		}
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
	c.world.after(c.retransmission(), func() { c.sendData(sequence) })
}

// retransmission is the span between two tries of a packet of an open flow. Any packet of
// a hold may open it, so all its tries fall within the lifetime of an opening packet.
func (c *client) retransmission() clock.Millis {
	if c.kind == hold {
		return c.world.config.spans.retransmission
	}
	return retransmission
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
	if _, isError := p.EmbeddedKey(); isError {
		embedded, _ := p.EmbeddedKey()
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
	case binary.BigEndian.Uint32(payload[5:]) != c.number:
		w.oracle.violate("%s got the answer to flow %d", c.key.String(), binary.BigEndian.Uint32(payload[5:]))
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
		c.tries = 0 // a second answer to the opening counts no more
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
		c.world.oracle.refusal(c)
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
	if c.state == waiting {
		c.end(shed)
		return
	}
	if c.state == open {
		c.world.tracef("%s reset by a target, visited %d", c.key.String(), len(c.visited))
		c.end(broken)
	}
}
