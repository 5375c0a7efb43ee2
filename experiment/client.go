package experiment

import (
	"net/netip"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// Times of a client, in milliseconds.
const (
	aim           = 100 * clock.Millisecond
	deadline      = 1000 * clock.Millisecond
	attemptTime   = 1400 * clock.Millisecond // until an opening without answer ends
	firstRepeat   = 200 * clock.Millisecond
	lastRepeat    = 1600 * clock.Millisecond
	laterConfirm  = 40 * clock.Millisecond // each second packet is confirmed at once
	mostRetries   = 2
	requestLength = 50
	firstNetwork  = 64 // second octet of the clients of the first domain
)

// client asks one thing after the other. Feeds keep their flow; holds use one each.
type client struct {
	world   *world
	domain  int
	number  int
	isFeed  bool
	port    uint16
	flow    *clientFlow
	request *request
}

type clientFlow struct {
	key     inband.Key
	tag     inband.Tag
	isOpen  bool
	isOver  bool
	nextSeq uint32
	ack     uint32
	answers int
}

type request struct {
	client  *client
	sentAt  clock.Millis
	retries int
	isDone  bool
	seq     uint32
}

func (c *client) entryDomain() int {
	if c.domain == c.world.shifted {
		return (c.domain + 1) % c.world.size.Domains
	}
	return c.domain
}

// feedOf returns the client of a repeatable flow.
func (w *world) feedOf(key inband.Key) *client {
	octets := key.Client.Addr().As4()
	domain, number := int(octets[1])-firstNetwork, int(octets[2])<<8|int(octets[3])
	return w.clients[domain*w.size.Feeds+number]
}

// send hands a packet to the router.
func (c *client) send(p inband.Packet) {
	w := c.world
	if w.lossy > 0 && w.random.Float64() < w.lossy {
		return
	}
	w.after(clientDelay, func() {
		v := w.router(c.entryDomain(), p.Key)
		v.act(func() { v.handle(c, p) })
	})
}

// ask starts a request.
func (c *client) ask() {
	r := &request{client: c, sentAt: c.world.now}
	c.request = r
	c.world.after(deadline, func() { c.finish(r, false) })
	c.attempt(r)
}

func (c *client) attempt(r *request) {
	if c.flow != nil && c.flow.isOpen && !c.flow.isOver {
		c.sendRequest(r)
		return
	}
	c.open(r)
}

// open asks for a new flow, with copies.
func (c *client) open(r *request) {
	c.port++
	service := routeAddresses[1]
	if c.isFeed {
		service = routeAddresses[0]
	}
	address := netip.AddrFrom4([4]byte{100, byte(firstNetwork + c.domain), byte(c.number >> 8), byte(c.number)})
	f := &clientFlow{key: inband.Key{Client: netip.AddrPortFrom(address, 1024+c.port), Service: service}, nextSeq: 101}
	c.flow = f
	for copies, delay := range []clock.Millis{0, 200, 600} {
		c.world.after(delay, func() {
			if !f.isOpen && !f.isOver && !r.isDone {
				c.send(inband.Packet{Key: f.key, Flags: inband.Opening, Seq: 100, Ack: uint32(copies)})
			}
		})
	}
	c.world.after(attemptTime, func() {
		if !f.isOpen && !f.isOver {
			f.isOver = true
			c.retry(r)
		}
	})
}

// sendRequest sends the request's packet until something is heard.
func (c *client) sendRequest(r *request) {
	f := c.flow
	r.seq = f.nextSeq
	f.nextSeq += requestLength
	ack := f.ack
	c.repeat(r, f, ack, firstRepeat)
}

func (c *client) repeat(r *request, f *clientFlow, ack uint32, gap clock.Millis) {
	if r.isDone || f.isOver || f.ack != ack {
		return
	}
	c.send(inband.Packet{Key: f.key, Flags: inband.Acknowledging, Seq: r.seq, Ack: f.ack, Tag: f.tag, DataLength: requestLength})
	c.world.after(gap, func() { c.repeat(r, f, ack, min(2*gap, lastRepeat)) })
}

// hear takes a target's packet.
func (c *client) hear(key inband.Key, said reply) {
	f := c.flow
	if f == nil || f.key != key || f.isOver {
		return
	}
	f.tag = said.tag
	if said.isOpening {
		c.opened(f, said)
		return
	}
	if int32(said.ack-f.ack) <= 0 || said.next != f.nextSeq {
		return
	}
	f.ack = said.ack
	f.answers++
	c.confirm(f)
	f.isOver = f.isOver || said.isLast || said.isError
	switch r := c.request; {
	case r == nil:
	case said.isError && c.isFeed:
		c.retry(r)
	default:
		c.finish(r, !said.isError)
	}
}

func (c *client) opened(f *clientFlow, said reply) {
	if f.isOpen {
		return
	}
	f.isOpen, f.ack = true, said.ack
	if r := c.request; r != nil && !r.isDone {
		c.sendRequest(r)
	}
}

// confirm tells the target what arrived, every second time at once.
func (c *client) confirm(f *clientFlow) {
	if !c.isFeed {
		f.isOver = true
		c.send(inband.Packet{Key: f.key, Flags: inband.Acknowledging | inband.Ending, Seq: f.nextSeq, Ack: f.ack, Tag: f.tag})
		return
	}
	delay := clock.Millis(0)
	if f.answers%2 == 1 {
		delay = laterConfirm
	}
	c.world.after(delay, func() {
		c.send(inband.Packet{Key: f.key, Flags: inband.Acknowledging, Seq: f.nextSeq, Ack: f.ack, Tag: f.tag})
	})
}

// reset ends the flow. Clients repeat what is idempotent or never reached an open flow.
func (c *client) reset(key inband.Key) {
	f := c.flow
	if f == nil || f.key != key || f.isOver {
		return
	}
	f.isOver = true
	r := c.request
	if r == nil || r.isDone {
		return
	}
	if f.isOpen && !c.isFeed {
		c.finish(r, false)
		return
	}
	c.retry(r)
}

// shed is the target's word that it did not run the request.
func (c *client) shed(key inband.Key) {
	if c.flow != nil && c.flow.key == key && c.request != nil {
		c.flow.isOver = true
		c.retry(c.request)
	}
}

func (c *client) retry(r *request) {
	if r.isDone {
		return
	}
	if r.retries == mostRetries {
		c.finish(r, false)
		return
	}
	r.retries++
	c.open(r)
}

// abandon ends the flow of a request that was given up: its answer may still come.
func (c *client) abandon() {
	f := c.flow
	if f == nil || f.isOver {
		return
	}
	f.isOver = true
	c.send(inband.Packet{Key: f.key, Flags: inband.Resetting, Seq: f.nextSeq, Ack: f.ack, Tag: f.tag})
}

// finish counts the request once.
func (c *client) finish(r *request, isServed bool) {
	if r.isDone {
		return
	}
	r.isDone = true
	if !isServed {
		c.abandon()
	}
	took := c.world.now - r.sentAt
	c.world.report.count(took, !c.isFeed, isServed)
}
