//go:build review

package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/platform"
)

// retransmitAfter are the times after which a missing packet is sent again, each counted from the
// one before.
var retransmitAfter = []time.Duration{200, 400, 800, 1600, 1600, 1600, 1600, 1600}

// delayedAck is when an end acknowledges a single packet; every second one is acknowledged at once.
const delayedAck = 40 * time.Millisecond

// sumOffset is where the header holds the keyed sum, which only the two ends of a flow compute.
const sumOffset = 8

// encode writes a packet with data and a sum. The system's own resets have the sum 0.
func encode(p *inband.Packet, data []byte) []byte {
	p.DataLength = len(data)
	datagram := make([]byte, platform.HeaderSize+len(data))
	platform.Encode(datagram, p)
	copy(datagram[platform.HeaderSize:], data)
	tag := p.Tag
	p.Tag = 0
	covered := make([]byte, platform.HeaderSize+len(data))
	platform.Encode(covered, p)
	copy(covered[platform.HeaderSize:], data)
	p.Tag = tag
	binary.BigEndian.PutUint32(datagram[sumOffset:], crc32.ChecksumIEEE(append(covered, "key"...))|1)
	return datagram
}

// hasSum reports whether the sum of a packet is set, so that an end of the flow sent it.
func hasSum(datagram []byte) bool { return binary.BigEndian.Uint32(datagram[sumOffset:]) != 0 }

// host is one host. It follows the section on hosts of the pages.
type host struct {
	w        *world
	id       string
	identity uint64
	service  string
	zone     string
	socket   *net.UDPConn
	mu       sync.Mutex
	flows    map[inband.Key]*hostFlow
	work     chan func()
	slowBy   float64 // factor of work, above 1 while the host has just started
	revision int
}

// hostFlow is what a host holds of one flow.
type hostFlow struct {
	iss      uint32
	isOpen   bool
	received uint32 // next byte expected
	sent     uint32 // next byte to send
	acked    uint32
	tag      inband.Tag
}

const hostSlots = 2

func (w *world) addHost(number uint64, service, zone string, slowBy float64) (*host, error) {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 13, 1)})
	if err != nil {
		return nil, err
	}
	h := &host{
		w: w, id: fmt.Sprintf("i-%08x", number), identity: number, service: service, zone: zone, socket: socket,
		flows: map[inband.Key]*hostFlow{}, work: make(chan func(), 8), slowBy: slowBy,
	}
	for range hostSlots {
		go func() {
			for job := range h.work {
				job()
			}
		}()
	}
	go h.serve()
	return h, h.publish(names.StateReady)
}

// publish writes the host's entry into the store.
func (h *host) publish(state string) error {
	h.revision++
	h.w.note("host %s of %s publishes %s", h.id, h.service, state)
	return h.w.store.Put(names.TargetPrefix+h.id, map[string]any{
		"service": h.service, "address": h.socket.LocalAddr().String(), "zone": h.zone, "version": "v1", "slots": hostSlots,
		"state": state, names.SlowStart: 0, "seq": h.revision, "born": 1700000000000,
	})
}

// exit ends the host: it answers nothing more, and its entry is removed.
func (h *host) exit(removeAfter time.Duration) {
	h.w.note("host %s ends", h.id)
	_ = h.socket.Close()
	time.AfterFunc(removeAfter, func() {
		h.w.store.Remove(names.TargetPrefix + h.id)
		h.w.note("store: the entry of %s is gone", h.id)
	})
}

func (h *host) serve() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := h.socket.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n < platform.PrefixSize {
			continue
		}
		if identity := binary.BigEndian.Uint64(buffer); identity != 0 && identity != h.identity {
			h.w.note("host %s: a packet for another host is ignored", h.id)
			continue
		}
		var p inband.Packet
		if platform.Decode(buffer[platform.PrefixSize:n], &p) != nil {
			continue
		}
		h.handle(&p, string(buffer[platform.PrefixSize+platform.HeaderSize:n]))
	}
}

func (h *host) handle(p *inband.Packet, data string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[p.Key]
	switch {
	case p.IsOpening():
		h.open(p, f)
	case p.Flags.Has(inband.Resetting):
		delete(h.flows, p.Key)
	case f == nil || !f.isOpen && p.Ack != f.iss+1:
		// A packet of a flow that the host does not hold.
		h.w.note("host %s: a packet of a flow that it does not hold, from %s; it sends a reset", h.id, p.Key.Client)
		h.send(p.Key, &inband.Packet{Flags: inband.Resetting, Seq: p.Ack, Ack: p.Seq, Tag: p.Tag}, nil)
	default:
		if !f.isOpen {
			f.isOpen = true
			h.w.note("host %s: the flow of %s is open", h.id, p.Key.Client)
		}
		f.tag = p.Tag
		if int32(p.Ack-f.acked) > 0 {
			f.acked = p.Ack
		}
		h.receive(p, f, data)
	}
}

func (h *host) open(p *inband.Packet, f *hostFlow) {
	if f != nil && f.isOpen {
		return
	}
	if f == nil {
		f = &hostFlow{iss: rand.Uint32(), received: p.Seq + 1}
		f.sent, f.acked = f.iss+1, f.iss
		h.flows[p.Key] = f
		h.w.note("host %s: an opening of %s", h.id, p.Key.Client)
		h.w.tellOpening(p.Key, h.id)
		go h.repeat(p.Key, f, func() bool { return f.isOpen || h.flows[p.Key] != f }, func() { h.sendOpened(p.Key, f) })
	}
	f.tag = p.Tag
	h.sendOpened(p.Key, f)
}

func (h *host) sendOpened(key inband.Key, f *hostFlow) {
	h.send(key, &inband.Packet{Flags: inband.Opening | inband.Acknowledging, Seq: f.iss, Ack: f.received, Tag: f.tag}, nil)
}

// repeat sends again until it is done.
func (h *host) repeat(_ inband.Key, _ *hostFlow, isDone func() bool, send func()) {
	for _, after := range retransmitAfter {
		time.Sleep(after * time.Millisecond)
		h.mu.Lock()
		done := isDone()
		if !done {
			send()
		}
		h.mu.Unlock()
		if done {
			return
		}
	}
}

// receive takes a request, which fits into one packet: "ID WORK_MS".
func (h *host) receive(p *inband.Packet, f *hostFlow, data string) {
	if p.DataLength == 0 || p.Seq != f.received {
		return // the answer is repeated until it is acknowledged
	}
	f.received += uint32(p.DataLength)
	var id string
	var workMS float64
	if _, err := fmt.Sscanf(data, "%s %f", &id, &workMS); err != nil {
		return
	}
	key := p.Key
	work := time.Duration(workMS * h.slowBy * float64(time.Millisecond))
	h.w.note("host %s: request %s of %s arrives", h.id, id, key.Client)
	sent := f.sent
	time.AfterFunc(delayedAck, func() { // a single packet is acknowledged a moment later, if not by its answer
		h.mu.Lock()
		defer h.mu.Unlock()
		if f.sent == sent && h.flows[key] == f {
			h.send(key, &inband.Packet{Flags: inband.Acknowledging, Seq: f.sent, Ack: f.received, Tag: f.tag}, nil)
		}
	})
	job := func() {
		time.Sleep(work)
		h.w.note("host %s: request %s has run for %v, answered", h.id, id, work)
		h.answer(key, f, []byte("answer "+id+" "+h.id))
	}
	select {
	case h.work <- job:
	default:
		h.answerLocked(key, f, []byte("rejected "+id))
	}
}

func (h *host) answer(key inband.Key, f *hostFlow, data []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answerLocked(key, f, data)
}

func (h *host) answerLocked(key inband.Key, f *hostFlow, data []byte) {
	seq := f.sent
	f.sent += uint32(len(data))
	end := f.sent
	send := func() {
		h.send(key, &inband.Packet{Flags: inband.Acknowledging, Seq: seq, Ack: f.received, Tag: f.tag}, data)
	}
	send()
	go h.repeat(key, f, func() bool { return int32(f.acked-end) >= 0 || h.flows[key] != f }, send)
}

// send sends a packet to the client of a flow.
func (h *host) send(key inband.Key, p *inband.Packet, data []byte) {
	p.Key = key.Reversed()
	_, _ = h.socket.WriteToUDPAddrPort(encode(p, data), netip.AddrPortFrom(key.Client.Addr(), h.w.ports.packets))
}
