package experiment

import (
	"net/netip"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// Parameters of clients.
const (
	defaultTargetLatency  = 100 * clock.Millisecond
	defaultDeadline       = 1000 * clock.Millisecond
	openTimeout           = 1400 * clock.Millisecond // from the first opening until an unanswered attempt is given up
	minRetransmitInterval = 200 * clock.Millisecond
	maxRetransmitInterval = 1600 * clock.Millisecond
	delayedAck            = 40 * clock.Millisecond // delay of every other acknowledgment; the rest are sent at once
	maxRetries            = 2
	requestLength         = 50
	firstClientOctet      = 64 // second octet of client addresses in the first domain
)

// client sends one request at a time. A feed and a booking reuse their flow; a hold uses a new one.
type client struct {
	sim          *simulation
	domain       int
	number       int // of its address in the domain
	isRepeatable bool
	keepsFlow    bool
	port         uint16
	flow         *clientFlow
	request      *request
}

// clientFlow is a flow as its client sees it.
type clientFlow struct {
	key       inband.Key
	tag       inband.Tag
	isOpen    bool
	isEnded   bool
	nextSeq   uint32
	ack       uint32
	responses int
}

// request is a request of a client, with its retries.
type request struct {
	client    *client
	sentAt    clock.Millis
	isPressed bool // it was sent under a load that the pattern adds
	retries   int
	isDone    bool
	seq       uint32
}

// entryDomain returns the domain whose entry VMs receive the client's packets.
func (c *client) entryDomain() int {
	if c.domain == c.sim.shiftedDomain {
		return (c.domain + 1) % c.sim.size.Domains
	}
	return c.domain
}

// address returns the client's address.
func (c *client) address() netip.Addr {
	if c.sim.size.OneAddress {
		return netip.AddrFrom4([4]byte{100, byte(firstClientOctet + c.domain), 0, 0})
	}
	return netip.AddrFrom4([4]byte{100, byte(firstClientOctet + c.domain), byte(c.number >> 8), byte(c.number)})
}

// firstPort returns the first port that the client uses. Clients with one address use different ports.
func (c *client) firstPort() uint16 {
	const firstPort, portsPerClient = 1024, 64
	if c.sim.size.OneAddress {
		return firstPort + uint16(c.number*portsPerClient)
	}
	return firstPort
}

// send sends a packet through the router to an entry VM.
func (c *client) send(p inband.Packet) {
	s := c.sim
	if s.mute[c.address()] || s.lossRate > 0 && s.random.Float64() < s.lossRate {
		return
	}
	s.schedule(clientLatency, func() {
		v := s.selectVM(c.entryDomain(), p.Key)
		v.do(func() { v.handle(c, p) })
	})
}

// startRequest starts a request, which fails at its deadline.
func (c *client) startRequest() {
	r := &request{client: c, sentAt: c.sim.now, isPressed: c.sim.isPressed()}
	c.request = r
	c.sim.schedule(c.sim.size.Deadline, func() { c.finish(r, false) })
	c.attempt(r)
}

// attempt sends the request on the open flow, or opens a new one.
func (c *client) attempt(r *request) {
	if c.flow != nil && c.flow.isOpen && !c.flow.isEnded {
		c.sendRequest(r)
		return
	}
	c.open(r)
}

// open sends the opening of a new flow and retransmits it twice while it is unanswered.
func (c *client) open(r *request) {
	c.port++
	address := routeAddresses[1]
	if c.isRepeatable {
		address = routeAddresses[0]
	}
	f := &clientFlow{key: inband.Key{Client: netip.AddrPortFrom(c.address(), c.firstPort()+c.port), Destination: address}, nextSeq: 101}
	c.flow = f
	c.sim.clientOf[f.key] = c
	for retransmits, delay := range []clock.Millis{0, 200, 600} {
		c.sim.schedule(delay, func() {
			if !f.isOpen && !f.isEnded && !r.isDone {
				c.send(inband.Packet{Key: f.key, Flags: inband.Opening, Seq: 100, Ack: uint32(retransmits)})
			}
		})
	}
	c.sim.schedule(openTimeout, func() {
		if !f.isOpen && !f.isEnded {
			f.isEnded = true
			c.retry(r)
		}
	})
}

// sendRequest sends the request's packet and retransmits it until the target responds.
func (c *client) sendRequest(r *request) {
	f := c.flow
	r.seq = f.nextSeq
	f.nextSeq += requestLength
	ack := f.ack
	c.retransmit(r, f, ack, minRetransmitInterval)
}

// retransmit sends the packet, and again at doubling intervals until a response arrives or the
// request or its flow ends.
func (c *client) retransmit(r *request, f *clientFlow, ack uint32, interval clock.Millis) {
	if r.isDone || f.isEnded || f.ack != ack {
		return
	}
	c.send(inband.Packet{Key: f.key, Flags: inband.Acknowledging, Seq: r.seq, Ack: f.ack, Tag: f.tag, DataLength: requestLength})
	c.sim.schedule(interval, func() { c.retransmit(r, f, ack, min(2*interval, maxRetransmitInterval)) })
}

// receive processes a target's packet.
func (c *client) receive(key inband.Key, response targetPacket) {
	f := c.flow
	if f == nil || f.key != key || f.isEnded {
		return
	}
	if response.isOpening {
		c.handleOpened(f, response)
		return
	}
	f.tag = response.tag
	if int32(response.ack-f.ack) <= 0 && f.responses > 0 {
		c.send(inband.Packet{Key: f.key, Flags: inband.Acknowledging, Seq: f.nextSeq, Ack: f.ack, Tag: f.tag}) // the acknowledgment was lost
		return
	}
	if int32(response.ack-f.ack) <= 0 || response.nextSeq != f.nextSeq {
		return
	}
	f.ack = response.ack
	f.responses++
	c.acknowledge(f)
	f.isEnded = f.isEnded || response.isLast || response.isError
	switch r := c.request; {
	case r == nil:
	case response.isError && c.isRepeatable:
		c.retry(r)
	default:
		c.finish(r, !response.isError)
	}
}

// handleOpened marks the flow as open and sends the pending request.
func (c *client) handleOpened(f *clientFlow, response targetPacket) {
	if f.isOpen {
		return // of another target, whose copy of the opening waited in a paused VM
	}
	f.isOpen, f.ack, f.tag = true, response.ack, response.tag
	if r := c.request; r != nil && !r.isDone {
		c.sendRequest(r)
	}
}

// acknowledge acknowledges a response. A hold ends its flow with it; the others delay every other
// acknowledgment.
func (c *client) acknowledge(f *clientFlow) {
	if !c.keepsFlow {
		f.isEnded = true
		c.send(inband.Packet{Key: f.key, Flags: inband.Acknowledging | inband.Ending, Seq: f.nextSeq, Ack: f.ack, Tag: f.tag})
		return
	}
	delay := clock.Millis(0)
	if f.responses%2 == 1 {
		delay = delayedAck
	}
	c.sim.schedule(delay, func() {
		c.send(inband.Packet{Key: f.key, Flags: inband.Acknowledging, Seq: f.nextSeq, Ack: f.ack, Tag: f.tag})
	})
}

// handleReset ends the flow. The request is retried if it is repeatable or if its flow was not
// open yet.
func (c *client) handleReset(key inband.Key) {
	f := c.flow
	if f == nil || f.key != key || f.isEnded {
		return
	}
	f.isEnded = true
	r := c.request
	if r == nil || r.isDone {
		return
	}
	if f.isOpen && !c.isRepeatable {
		c.finish(r, false)
		return
	}
	c.retry(r)
}

// handleShed ends the flow and retries the request, which the target reports as not run.
func (c *client) handleShed(key inband.Key) {
	f := c.flow
	if f == nil || f.key != key || c.request == nil {
		return
	}
	f.isEnded = true
	if c.sim.size.EndsShedFlows {
		f.ack += errorResponseLength
		c.send(inband.Packet{Key: f.key, Flags: inband.Acknowledging | inband.Ending, Seq: f.nextSeq, Ack: f.ack, Tag: f.tag})
	}
	c.retry(c.request)
}

// retry sends the request on a new flow, or fails it after maxRetries.
func (c *client) retry(r *request) {
	if r.isDone {
		return
	}
	if r.retries == maxRetries {
		c.finish(r, false)
		return
	}
	r.retries++
	c.open(r)
}

// abortFlow resets the flow of a failed request, whose response may still arrive.
func (c *client) abortFlow() {
	f := c.flow
	if f == nil || f.isEnded {
		return
	}
	f.isEnded = true
	c.send(inband.Packet{Key: f.key, Flags: inband.Resetting, Seq: f.nextSeq, Ack: f.ack, Tag: f.tag})
}

// countLateFailure counts a request that failed on an open flow whose target was lost long before.
func (c *client) countLateFailure(r *request) {
	f := c.flow
	if !c.isRepeatable || f == nil || !f.isOpen || f.isEnded {
		return
	}
	if t := c.sim.byTag[f.tag]; t.isLostFor(c.entryDomain(), r.sentAt, c.sim.size.LeaveTime) {
		c.sim.report.LateFailures++
	}
}

// finish records the outcome of a request. Later calls for the request have no effect.
func (c *client) finish(r *request, isServed bool) {
	if r.isDone {
		return
	}
	r.isDone = true
	if !isServed {
		c.countLateFailure(r)
		c.abortFlow()
	}
	latency := c.sim.now - r.sentAt
	c.sim.report.record(outcome{
		latency: latency, isServed: isServed, isInTime: isServed && latency <= c.sim.size.TargetLatency,
		isHold: !c.isRepeatable, isPressed: r.isPressed, isEarlier: !r.isPressed && c.sim.isPressed(),
	})
}
