//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/almondflow/almondflow/inband"
)

// clientDelay is the time of a packet between clients and machines, as on the small sites.
const clientDelay = 3 * time.Millisecond

// client is a machine of clients at one address.
type client struct {
	w       *world
	address netip.Addr
	conn    *net.UDPConn
	mu      sync.Mutex
	flows   map[uint16]*clientFlow
	port    uint16
}

// clientFlow is a flow of a client, used by one goroutine and fed by the receiver.
type clientFlow struct {
	stream
	c       *client
	inbox   chan arrival
	first   uint32
	isOpen  bool
	handled int
	ackSeen uint32
}

type arrival struct {
	segment
	hasSum bool
}

// result is how a request ended.
type result struct {
	status int    // of the response, zero if there was none
	why    string // if there was none
}

func newClient(w *world, number int) (*client, error) {
	c := &client{w: w, address: netip.AddrFrom4([4]byte{127, 31, 3, byte(number)}), flows: map[uint16]*clientFlow{}, port: 1024}
	var err error
	c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.address, w.ports.packets)))
	if err != nil {
		return nil, err
	}
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buffer := make([]byte, maxBufferBytes)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // closed
		}
		p, hasSum, isValid := decode(buffer[:n])
		if !isValid || !hasSum && !p.Flags.Has(inband.Resetting) {
			c.w.breakRule("MIXED: client %v got a packet that its sender didn't write so", c.address)
			continue
		}
		c.mu.Lock()
		f := c.flows[p.Key.Destination.Port()]
		c.mu.Unlock()
		if f != nil {
			select {
			case f.inbox <- arrival{p, hasSum}:
			default:
			}
		}
	}
}

// newFlow returns a flow from a new port.
func (c *client) newFlow(destination netip.AddrPort) *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	first := rand.Uint32()
	f := &clientFlow{c: c, inbox: make(chan arrival, 256), first: first, stream: stream{
		key: flowKey{Client: netip.AddrPortFrom(c.address, c.port), Destination: destination}, sendNext: first + 1, early: map[uint32][]byte{},
	}}
	c.flows[c.port] = f
	return f
}

func (f *clientFlow) send(out []segment) {
	for i := range out {
		f.c.w.sent(&out[i])
		f.c.w.route(f.c.conn, &out[i])
	}
}

// open opens the flow and reports whether it did, or why not.
func (f *clientFlow) open() (isOpen bool, why string) {
	start := time.Now()
	copies := []time.Duration{0, openingCopy1, openingCopy2}
	sent := 0
	for {
		for sent < len(copies) && time.Since(start) >= copies[sent] {
			f.send([]segment{{Packet: inband.Packet{Key: f.key, Flags: inband.Opening, Seq: f.first, Ack: uint32(sent)}}})
			sent++
		}
		if time.Since(start) >= openingDeadline {
			return false, "no answer to the opening"
		}
		select {
		case a := <-f.inbox:
			if a.Flags.Has(inband.Resetting) {
				return false, "the opening was reset"
			}
			if a.Flags.Has(inband.Opening|inband.Acknowledging) && a.Ack == f.first+1 {
				f.isOpen, f.receive, f.echo, f.ackSeen = true, a.Seq+1, a.Tag, a.Seq+1
				f.send(f.stamp([]segment{{Packet: inband.Packet{Flags: inband.Acknowledging, Seq: f.sendNext}}}))
				return true, ""
			}
		case <-time.After(tick):
		}
	}
}

// ask sends a request on the open flow and waits for its response.
func (f *clientFlow) ask(r request, deadline time.Time) result {
	f.push(r.encode())
	f.send(f.due(time.Now()))
	for time.Now().Before(deadline) {
		select {
		case a := <-f.inbox:
			if why := f.handle(&a); why != "" {
				return result{why: why}
			}
		case <-time.After(tick):
		}
		f.send(f.due(time.Now()))
		if status, id, size, ok := parseResponse(f.got[f.handled:]); ok {
			f.handled += size
			if id != r.id {
				f.c.w.breakRule("MIXED: the answer to request %s came for %s", id, r.id)
			}
			return result{status: status}
		}
	}
	return result{why: "no answer until the deadline"}
}

// handle takes in a packet and returns why the flow has ended, if it has.
func (f *clientFlow) handle(a *arrival) string {
	if a.Flags.Has(inband.Resetting) {
		if a.hasSum {
			f.c.w.clientReset(f.key, false)
			return "reset by a host"
		}
		if distance := int32(a.Seq - f.receive); distance > closeReset || distance < -closeReset {
			return ""
		}
		f.c.w.clientReset(f.key, true)
		return "reset by the system"
	}
	if a.Flags.Has(inband.Opening) {
		if a.Seq+1 == f.ackSeen { // the answer to the opening again
			f.send(f.stamp([]segment{{Packet: inband.Packet{Flags: inband.Acknowledging, Seq: f.sendNext}}}))
		}
		return "" // of another host, which this flow is not with
	}
	f.send(f.take(time.Now(), &a.segment))
	return ""
}

// end closes the flow.
func (f *clientFlow) end(isAborted bool) {
	flags := inband.Acknowledging | inband.Ending
	if isAborted {
		flags = inband.Resetting
	}
	if f.isOpen {
		f.send(f.stamp([]segment{{Packet: inband.Packet{Flags: flags, Seq: f.sendNext}}}))
	}
	f.c.mu.Lock()
	delete(f.c.flows, f.key.Client.Port())
	f.c.mu.Unlock()
}

func (r result) String() string {
	if r.status != 0 {
		return fmt.Sprint(r.status)
	}
	return r.why
}
