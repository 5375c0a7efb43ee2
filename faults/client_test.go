package faults

import (
	"encoding/binary"
	"net/netip"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
)

const (
	defaultRetransmission = 1 * clock.Second
	// maxOpeningAttempts limits how often a client sends an opening packet. The interval
	// doubles each time, and all attempts fall within the lifetime of an opening packet.
	maxOpeningAttempts = 4
	// maxDataAttempts limits how often a client sends a packet of an open flow.
	maxDataAttempts = 12
)

// Payload types: the first payload byte of a client's packet or of a target's answer.
const (
	payloadOpening = 'O'
	payloadData    = 'D'
	payloadEnd     = 'F'
	payloadAnswer  = 'A'
	payloadReset   = 'R'
)

// clientState is the state of a flow as its client sees it.
type clientState int

const (
	stateOpening    clientState = iota
	stateOpen                   // an answer arrived
	stateFinished               // the client ended the flow
	stateRefused                // an entry VM refused the opening
	stateUnanswered             // no attempt to open the flow was answered
	stateBroken                 // an open flow was reset or no longer answered
	stateLostTarget             // the target of an open flow is down or partitioned
	stateShed                   // reset by a target before the flow was open
)

// client is the client's side of one flow.
type client struct {
	simulation  *simulation
	kind        kind
	key         flow.Key
	state       clientState
	started     clock.Millis
	lifetime    clock.Millis // the client ends the flow at its next packet after this time
	interval    clock.Millis // mean time from an answer to the next packet
	attempts    int          // to send the current packet
	sequence    uint32       // of the packet that awaits an answer
	answerCount int          // distinct packets answered
	visited     []*target    // targets that received its packets, in order of arrival
	executed    bool         // an opening reached a target
	counted     bool         // included in the oracle's countedFlows
	id          uint32       // carried by each packet and its answer
	fastOpen    bool         // its SYN carries payload
}

// startFlow opens a flow without TCP Fast Open.
func (s *simulation) startFlow(k kind, lifetime, interval clock.Millis) *client {
	return s.startFlowWith(k, lifetime, interval, false)
}

// startFlowWith opens a flow. With fastOpen the SYN of a TCP flow carries a payload.
func (s *simulation) startFlowWith(k kind, lifetime, interval clock.Millis, fastOpen bool) *client {
	key := s.nextKey(k)
	s.flowCount++
	c := &client{
		simulation: s, kind: k, key: key, started: s.now, lifetime: lifetime, interval: interval,
		id: s.flowCount, fastOpen: fastOpen,
	}
	s.clients[key.Source()] = c
	s.oracle.flowStarted(c)
	c.sendOpening()
	return c
}

// nextKey returns the key of the next flow that startFlow opens.
func (s *simulation) nextKey(k kind) flow.Key {
	port := s.flowCount + 1
	address := netip.AddrFrom4([4]byte{198, 18, byte(port >> 22), byte(port >> 14)})
	source := flow.NewEndpoint(netip.AddrPortFrom(address, uint16(1024+port%(1<<14))))
	destination := flow.NewEndpoint(netip.AddrPortFrom(netip.MustParseAddr(k.destination()), 443))
	protocol := flow.UDP
	if k.protocol() == "tcp" {
		protocol = flow.TCP
	}
	return flow.NewKey(protocol, source, destination)
}

// sendOpening sends the opening packet and schedules its retransmission.
func (c *client) sendOpening() {
	if c.state != stateOpening {
		return
	}
	if c.attempts == maxOpeningAttempts {
		c.end(stateUnanswered)
		return
	}
	c.attempts++
	c.send(payloadOpening)
	c.simulation.schedule(c.simulation.config.timing.retransmission<<(c.attempts-1), c.sendOpening)
}

// send sends a packet of the given payload type through the fabric.
func (c *client) send(payloadType byte) {
	payload := binary.BigEndian.AppendUint32([]byte{payloadType}, c.sequence)
	payload = binary.BigEndian.AppendUint32(payload, c.id)
	var inner []byte
	if c.key.Protocol() == flow.UDP {
		inner = packet.AppendUDP(nil, c.key, payload)
	} else {
		inner = packet.AppendTCP(nil, c.key, c.tcpSegment(payloadType, payload))
	}
	c.simulation.sendThroughFabric("", clientLatency, inner)
}

// tcpSegment returns the segment for a payload. A SYN carries no payload, except with TCP
// Fast Open.
func (c *client) tcpSegment(payloadType byte, payload []byte) packet.Segment {
	switch payloadType {
	case payloadOpening:
		if c.fastOpen {
			return packet.Segment{Sequence: 1, Flags: packet.SYN, Window: 1024, Payload: payload}
		}
		return packet.Segment{Sequence: 1, Flags: packet.SYN, Window: 1024}
	case payloadEnd:
		return packet.Segment{Sequence: c.sequence + 2, Flags: packet.FIN | packet.ACK, Window: 1024, Payload: payload}
	default:
		return packet.Segment{Sequence: c.sequence + 2, Flags: packet.ACK, Window: 1024, Payload: payload}
	}
}

// sendNext sends the next data packet of an open flow, or ends the flow when its lifetime
// is over.
func (c *client) sendNext() {
	if c.state != stateOpen {
		return
	}
	c.sequence++
	c.attempts = 0
	if c.simulation.now-c.started >= c.lifetime {
		c.send(payloadEnd)
		c.end(stateFinished)
		return
	}
	c.sendData(c.sequence)
}

// sendData sends a data packet and schedules its retransmission, unless it was answered.
func (c *client) sendData(sequence uint32) {
	if c.state != stateOpen || c.sequence != sequence {
		return
	}
	if c.attempts == maxDataAttempts {
		c.giveUp()
		return
	}
	c.attempts++
	c.send(payloadData)
	c.simulation.schedule(c.retransmissionInterval(), func() { c.sendData(sequence) })
}

// retransmissionInterval returns the interval between attempts to send a packet of an open
// flow. Any packet of a hold may open the flow, so all attempts must fall within the
// lifetime of an opening packet.
func (c *client) retransmissionInterval() clock.Millis {
	if c.kind == hold {
		return c.simulation.config.timing.retransmission
	}
	return defaultRetransmission
}

// giveUp ends a flow whose packets are no longer answered.
func (c *client) giveUp() {
	if t := c.firstTarget(); t != nil && (!t.up || c.simulation.partitioned[t.domain]) {
		c.end(stateLostTarget)
		return
	}
	c.simulation.tracef("%s gives up", c.key.String())
	c.end(stateBroken)
}

// firstTarget returns the first target that the flow reached, or nil.
func (c *client) firstTarget() *target {
	if len(c.visited) == 0 {
		return nil
	}
	return c.visited[0]
}

func (c *client) end(state clientState) {
	c.state = state
	c.simulation.oracle.flowEnded(c)
}

// deliverToClient delivers a packet to the client that it is addressed to.
func (s *simulation) deliverToClient(p *packet.Packet) {
	key := p.Key()
	if _, isError := p.EmbeddedKey(); isError {
		embedded, _ := p.EmbeddedKey()
		if c := s.clients[embedded.Source()]; c != nil {
			c.handleRefusal()
		}
		return
	}
	c := s.clients[key.Destination()]
	if c == nil {
		return
	}
	data := payload(p)
	switch {
	case len(data) == 0 && p.Flags()&packet.RST != 0:
		c.handleRefusal()
	case len(data) == 0:
	case key.Source() != c.key.Destination():
		s.oracle.violatef("%s received an answer from %s", c.key.String(), key.Source())
	case binary.BigEndian.Uint32(data[5:]) != c.id:
		s.oracle.violatef("%s received the answer to flow %d", c.key.String(), binary.BigEndian.Uint32(data[5:]))
	case data[0] == payloadReset:
		c.handleReset()
	default:
		c.handleAnswer(binary.BigEndian.Uint32(data[1:]))
	}
}

func payload(p *packet.Packet) []byte {
	b := p.Bytes()
	return b[len(b)-p.PayloadLength():]
}

// handleAnswer handles a target's answer to the packet with the given sequence number.
func (c *client) handleAnswer(sequence uint32) {
	switch {
	case c.state == stateOpening:
		c.state = stateOpen
		c.attempts = 0 // further answers to the opening are ignored
		c.answerCount++
		c.simulation.oracle.flowOpened(c)
		c.simulation.schedule(c.interval/8, c.sendNext)
	case c.state == stateOpen && sequence == c.sequence && c.attempts > 0:
		c.attempts = 0
		c.answerCount++
		c.simulation.oracle.flowAnswered(c)
		c.sequence++ // further copies of the answer are ignored
		c.simulation.schedule(c.interval/2+clock.Millis(c.simulation.random.Int64N(int64(c.interval))), c.sendNext)
	}
}

// handleRefusal handles a refusal by an entry VM, which guarantees that the flow reached no
// target.
func (c *client) handleRefusal() {
	if c.state != stateOpening {
		c.simulation.oracle.flowRefused(c)
		if c.state == stateOpen {
			c.simulation.tracef("%s reset by an entry VM", c.key.String())
			c.end(stateBroken)
		}
		return
	}
	c.end(stateRefused)
}

// handleReset handles a reset by a target that shed the opening or does not know the flow.
func (c *client) handleReset() {
	if c.state == stateOpening {
		c.end(stateShed)
		return
	}
	if c.state == stateOpen {
		c.simulation.tracef("%s reset by a target, visited %d", c.key.String(), len(c.visited))
		c.end(stateBroken)
	}
}
