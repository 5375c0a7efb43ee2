//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"time"
)

const (
	openingTimeout = 1400 * time.Millisecond
	requestTimeout = 1200 * time.Millisecond
)

var (
	errReset    = errors.New("reset by the system")
	errHost     = errors.New("reset by the host")
	errNoAnswer = errors.New("no answer in time")
)

// client is a client with one flow at a time.
type client struct {
	record  *record
	router  *router
	zone    string
	address netip.Addr
	socket  *net.UDPConn
	route   netip.AddrPort
	name    string
	port    uint16
	inbox   chan *packet
	// The flow.
	isOpen     bool
	seq, ack   uint32
	echo       uint32
	host       string // the id of the flow's host, as its answers say
	lastAckAt  uint32
	requestNum int
	strays     int // packets that nobody wrote so
}

func newClient(r *record, router *router, zone, name string, address netip.Addr, datagramPort uint16, route netip.AddrPort) (*client, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, datagramPort)))
	if err != nil {
		return nil, err
	}
	c := &client{
		record: r, router: router, zone: zone, address: address, socket: socket, route: route, name: name,
		port: uint16(20000 + rand.IntN(10000)), inbox: make(chan *packet, 256),
	}
	go c.read()
	return c, nil
}

func (c *client) read() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			close(c.inbox)
			return
		}
		if p, err := decode(buffer[:n]); err == nil {
			c.inbox <- p
		}
	}
}

func (c *client) source() netip.AddrPort { return netip.AddrPortFrom(c.address, c.port) }

// send sends a packet of the flow through the entry VM that the router selects.
func (c *client) send(p packet) {
	p.src, p.dst = c.source(), c.route
	_, _ = c.socket.WriteToUDPAddrPort(p.encode(), c.router.pick(c.zone, p.src, p.dst))
}

// receive returns the next packet of the flow, or nil at the deadline. A reset ends the flow.
func (c *client) receive(deadline time.Time) (*packet, error) {
	for {
		select {
		case p, ok := <-c.inbox:
			if !ok {
				return nil, net.ErrClosed
			}
			if p.dst != c.source() || p.src != c.route {
				continue // of an earlier flow
			}
			switch {
			case p.isSystemReset():
				if c.isOpen && absolute(int32(p.seq-c.ack)) > resetWindow {
					c.strays++
					continue
				}
				return nil, errReset
			case !p.isSumValid:
				c.strays++
				c.record.line("client %s got a packet that its sender didn't write so", c.name)
			case p.has(flagRST):
				return nil, errHost
			default:
				return p, nil
			}
		case <-time.After(time.Until(deadline)):
			return nil, nil
		}
	}
}

func absolute(n int32) int32 { return max(n, -n) }

// open opens a new flow from a new port.
func (c *client) open() error {
	c.port++
	c.isOpen, c.host = false, ""
	c.seq = rand.Uint32()
	start := time.Now()
	for copies, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, openingTimeout} {
		for {
			p, err := c.receive(start.Add(at))
			if err != nil {
				return err
			}
			if p == nil {
				break
			}
			if p.has(flagSYN) && p.ack == c.seq+1 {
				c.isOpen = true
				c.seq, c.ack, c.echo = c.seq+1, p.seq+1, p.echo
				c.send(packet{seq: c.seq, ack: c.ack, echo: c.echo, flags: flagACK})
				return nil
			}
		}
		if at < openingTimeout {
			c.send(packet{seq: c.seq, ack: uint32(copies), flags: flagSYN})
		}
	}
	return errNoAnswer
}

// request sends a request on the open flow and waits for its answer.
func (c *client) request() (string, error) {
	c.requestNum++
	id := fmt.Sprintf("%s-%d", c.name, c.requestNum)
	c.record.line("sent %s on %s", id, c.source())
	p := packet{seq: c.seq, ack: c.ack, flags: flagACK, data: []byte(id)}
	c.seq += uint32(len(p.data))
	deadline := time.Now().Add(requestTimeout)
	pause := retransmitAfter
	for {
		p.echo = c.echo
		c.send(p)
		again := time.Now().Add(pause)
		for {
			until := again
			if deadline.Before(until) {
				until = deadline
			}
			answer, err := c.receive(until)
			if err != nil {
				return id, err
			}
			if answer == nil {
				break
			}
			c.echo = answer.echo
			if len(answer.data) == 0 || answer.seq != c.ack {
				c.send(packet{seq: c.seq, ack: c.ack, echo: c.echo, flags: flagACK})
				continue
			}
			c.ack += uint32(len(answer.data))
			c.send(packet{seq: c.seq, ack: c.ack, echo: c.echo, flags: flagACK})
			_, c.host, _ = strings.Cut(string(answer.data), " by ")
			c.record.line("answered %s: %s", id, answer.data)
			if answer.has(flagFIN) { // the host closes the flow
				c.send(packet{seq: c.seq, ack: c.ack + 1, echo: c.echo, flags: flagACK | flagFIN})
				c.isOpen = false
			}
			return id, nil
		}
		if !time.Now().Before(deadline) {
			return id, errNoAnswer
		}
		pause = min(2*pause, maxRetransmit)
	}
}

// idle waits on the open flow, and reports a reset.
func (c *client) idle(d time.Duration) error {
	deadline := time.Now().Add(d)
	for {
		p, err := c.receive(deadline)
		if err != nil {
			return err
		}
		if p == nil {
			return nil
		}
		if len(p.data) > 0 { // an answer that came again
			c.send(packet{seq: c.seq, ack: c.ack, echo: c.echo, flags: flagACK})
		}
	}
}

// oneFlow opens a flow for one request and closes it.
func (c *client) oneFlow() error {
	if err := c.open(); err != nil {
		return err
	}
	_, err := c.request()
	if err == nil {
		c.send(packet{seq: c.seq, ack: c.ack, echo: c.echo, flags: flagACK | flagFIN})
	}
	return err
}
