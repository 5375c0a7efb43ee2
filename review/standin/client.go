//go:build review

package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/platform"
)

// zoneClients are the clients of one zone, behind one address.
type zoneClients struct {
	w      *world
	zone   string
	addr   netip.Addr
	socket *net.UDPConn
	mu     sync.Mutex
	flows  map[uint16]*clientFlow
	port   uint16
}

// clientFlow is one flow as its client holds it. It follows the section on flows of the pages.
type clientFlow struct {
	c       *zoneClients
	key     inband.Key
	name    string
	iss     uint32
	isOpen  bool
	isEnded bool
	resetBy string // who sent the reset that ended the flow
	// isDeaf is set while datagrams to the client are lost on its own link.
	isDeaf   bool
	received uint32 // next byte expected
	sent     uint32 // next byte to send
	acked    uint32
	tag      inband.Tag // the last one received on this flow
	answers  chan string
	opened   chan bool
}

func (w *world) addClients(zone string) (*zoneClients, error) {
	c := &zoneClients{w: w, zone: zone, flows: map[uint16]*clientFlow{}, port: 20000}
	c.addr = netip.AddrFrom4([4]byte{127, 0, 12, byte(1 + rand.IntN(250))})
	var err error
	if c.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.addr, w.ports.packets))); err != nil {
		return nil, err
	}
	go c.serve()
	return c, nil
}

// route returns the machine that the router picks for a flow: by a hash over the machines of the
// zone that are in rotation, such that only the flows of a machine that joins or leaves move. If
// fewer than half are in rotation, all of the zone's are used; if none, those of other zones.
func (c *zoneClients) route(key inband.Key) *vm {
	var zone, inZone, others []*vm
	for _, v := range c.w.vms {
		switch {
		case v.zone != c.zone && v.isInService():
			others = append(others, v)
		case v.zone == c.zone:
			zone = append(zone, v)
			if v.isInService() {
				inZone = append(inZone, v)
			}
		}
	}
	candidates := inZone
	if len(inZone) == 0 {
		candidates = others
	} else if 2*len(inZone) < len(zone) {
		candidates = zone
	}
	var best *vm
	var bestScore uint64
	for _, v := range candidates {
		if score := rendezvous(key, v); best == nil || score > bestScore {
			best, bestScore = v, score
		}
	}
	return best
}

func rendezvous(key inband.Key, v *vm) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, key.Client, key.Destination, v.name, "x", v.ip)
	sum := h.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	return sum ^ sum>>33
}

// newFlow prepares a flow to an address. If prefer is set, its port is one that the router sends
// through that machine.
func (c *zoneClients) newFlow(name string, to netip.AddrPort, prefer *vm) *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := &clientFlow{c: c, name: name, iss: rand.Uint32(), answers: make(chan string, 4), opened: make(chan bool, 1)}
	for {
		c.port++
		f.key = inband.Key{Client: netip.AddrPortFrom(c.addr, c.port), Destination: to}
		if prefer == nil || c.route(f.key) == prefer {
			break
		}
	}
	f.sent, f.acked = f.iss+1, f.iss+1
	c.flows[c.port] = f
	return f
}

func (f *clientFlow) send(flags inband.Flags, seq, ack uint32, data []byte) {
	v := f.c.route(f.key)
	if v == nil {
		f.c.w.note("client %s: no machine in rotation", f.name)
		return
	}
	f.sendThrough(v, flags, seq, ack, data)
}

func (f *clientFlow) sendThrough(v *vm, flags inband.Flags, seq, ack uint32, data []byte) {
	p := inband.Packet{Key: f.key, Flags: flags, Seq: seq, Ack: ack, Tag: f.tag}
	_, _ = f.c.socket.WriteToUDPAddrPort(encode(&p, data), v.packetAddress())
	f.c.w.note("client %s (%s) through %s: flags %d, %d bytes, echo %08x", f.name, f.key.Client, v.name, flags, len(data), uint32(f.tag))
}

// open opens the flow: an opening, copies after 200 and 600 ms, given up after 1.4 s.
func (f *clientFlow) open() bool {
	deadline := time.Now().Add(1400 * time.Millisecond)
	for i, after := range []time.Duration{200, 400, 800} {
		f.send(inband.Opening, f.iss, uint32(i), nil)
		select {
		case ok := <-f.opened:
			return ok
		case <-time.After(min(after*time.Millisecond, time.Until(deadline))):
		}
	}
	f.c.w.note("client %s: gives the opening up", f.name)
	return false
}

// request sends a request that keeps a slot of the host for workMS, repeats it until it is answered,
// and returns the answer, or an empty text if there is none until the deadline.
func (f *clientFlow) request(id string, workMS float64, deadline time.Duration) string {
	data := fmt.Appendf(nil, "%s %.1f", id, workMS)
	f.c.mu.Lock()
	seq := f.sent
	f.sent += uint32(len(data))
	f.c.mu.Unlock()
	sentAt := time.Now()
	end := sentAt.Add(deadline)
	for _, after := range retransmitAfter {
		f.c.mu.Lock()
		if f.isEnded {
			f.c.mu.Unlock()
			return ""
		}
		if int32(f.acked-seq) <= 0 {
			f.send(inband.Acknowledging, seq, f.received, data)
		}
		f.c.mu.Unlock()
		select {
		case answer := <-f.answers:
			f.c.w.note("client %s: %s", f.name, answer)
			return answer
		case <-time.After(min(after*time.Millisecond, time.Until(end))):
			if time.Now().After(end) {
				f.c.w.note("client %s: no answer to %s until its deadline", f.name, id)
				go f.closeWith(data, seq, sentAt)
				return ""
			}
		}
	}
	return ""
}

func (c *zoneClients) serve() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := c.socket.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		var p inband.Packet
		if err != nil || platform.Decode(buffer[:n], &p) != nil {
			continue
		}
		c.mu.Lock()
		// On the way back the sender's end comes first.
		if f := c.flows[p.Key.Destination.Port()]; f != nil && p.Key.Client == f.key.Destination {
			f.receive(&p, hasSum(buffer[:n]), string(buffer[platform.HeaderSize:n]))
		}
		c.mu.Unlock()
	}
}

func (f *clientFlow) receive(p *inband.Packet, hasSum bool, data string) {
	if f.isDeaf {
		f.c.w.note("network: a datagram to client %s is lost on the client's link: flags %d, %d bytes", f.name, p.Flags, p.DataLength)
		return
	}
	if f.isEnded {
		return
	}
	if p.Flags.Has(inband.Resetting) {
		f.isEnded = true
		f.resetBy = "the system"
		if hasSum {
			f.resetBy = "a host"
		}
		f.c.w.note("client %s (%s): reset by %s, flow open: %v", f.name, f.key.Client, f.resetBy, f.isOpen)
		if !f.isOpen {
			f.opened <- false
		}
		select {
		case f.answers <- "reset by " + f.resetBy:
		default:
		}
		return
	}
	if f.isOpen && int32(p.Ack-f.acked) > 0 {
		f.acked = p.Ack
	}
	f.tag = p.Tag // "the last echo that they received on a flow"
	if p.Flags.Has(inband.Opening) {
		if f.isOpen {
			f.c.w.note("client %s: another host answers the opening, echo now %08x", f.name, uint32(f.tag))
			return
		}
		f.isOpen, f.received = true, p.Seq+1
		f.send(inband.Acknowledging, f.sent, f.received, nil)
		f.opened <- true
		return
	}
	if p.DataLength > 0 && p.Seq == f.received {
		f.received += uint32(p.DataLength)
		f.answers <- data
		// Every second packet is acknowledged at once, others a moment later.
		time.AfterFunc(delayedAck, f.acknowledge)
	} else if p.DataLength > 0 {
		f.send(inband.Acknowledging, f.sent, f.received, nil)
	}
}

func (f *clientFlow) acknowledge() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	if !f.isEnded {
		f.send(inband.Acknowledging, f.sent, f.received, nil)
	}
}

// setDeaf sets whether datagrams to the client of some flows are lost on its link.
func (c *zoneClients) setDeaf(isDeaf bool, flows ...*clientFlow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range flows {
		f.isDeaf = isDeaf
	}
}

// closeWith closes a flow whose client gave its request up. The end goes with the request's data, which
// is not acknowledged yet, when that is due to be sent again.
func (f *clientFlow) closeWith(data []byte, seq uint32, sentAt time.Time) {
	due := sentAt
	for _, after := range retransmitAfter {
		due = due.Add(after * time.Millisecond)
		if time.Now().After(due) {
			continue
		}
		time.Sleep(time.Until(due))
		f.c.mu.Lock()
		if f.isEnded || int32(f.acked-seq) > 0 {
			f.c.mu.Unlock()
			return
		}
		f.sent = seq + uint32(len(data)) + 1
		f.send(inband.Acknowledging|inband.Ending, seq, f.received, data)
		f.c.mu.Unlock()
	}
}
