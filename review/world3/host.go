//go:build review

package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/platform"
)

// Habits of hosts.
const (
	hostSlots       = 2
	hostQueue       = 8
	heartbeat       = 1200 * time.Millisecond
	tick            = 5 * time.Millisecond
	maxBufferBytes  = 2048
	healthDrainTime = time.Second
)

// host is a sound server: it accepts flows, works on requests and answers clients directly.
type host struct {
	w             *world
	id, service   string
	zone          string
	identity      uint64
	born          int64
	conn          *net.UDPConn
	health        net.Listener
	mu            sync.Mutex
	state         string // in the store
	seq           int
	flows         map[flowKey]*hostFlow
	busy, waiting int
	queue         []func()
	workTime      time.Duration
	isClosed      bool
	drainAckAt    time.Time // when the store accepted that it drains
}

// hostFlow is a flow at a host.
type hostFlow struct {
	stream
	ownFirst uint32 // number of the SYN+ACK
	isOpen   bool
	openedAt time.Time
	firstSeq uint32 // of the client's opening
	handled  int    // bytes of requests that were taken
}

func newHost(w *world, number int, service, zone string, workTime time.Duration) (*host, error) {
	h := &host{
		w: w, id: fmt.Sprintf("i-%08x", 0x5a10+number*0x1357), service: service, zone: zone, born: time.Now().UnixMilli(),
		flows: map[flowKey]*hostFlow{}, state: "ready", workTime: workTime,
	}
	h.identity = 0x5a10 + uint64(number)*0x1357
	address := netip.AddrFrom4([4]byte{127, 31, 2, byte(number)})
	listener, err := net.Listen("tcp4", address.String()+":0") //nolint:noctx // listens until it is closed
	if err != nil {
		return nil, err
	}
	h.health = listener
	h.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listener.Addr().(*net.TCPAddr).AddrPort()))
	if err != nil {
		return nil, err
	}
	go h.acceptHealth()
	go h.receive()
	go h.run()
	return h, nil
}

func (h *host) address() string { return h.conn.LocalAddr().String() }

// acceptHealth accepts connections; those without a request take no slot.
func (h *host) acceptHealth() {
	for {
		c, err := h.health.Accept()
		if err != nil {
			return // closed
		}
		time.AfterFunc(healthDrainTime, func() { _ = c.Close() })
	}
}

// beat writes the host's entry, as it does about every heartbeat.
func (h *host) beat() {
	h.mu.Lock()
	h.seq++
	entry := map[string]any{
		"service": h.service, "address": h.address(), "zone": h.zone, "version": "v1", "slots": hostSlots,
		"state": h.state, wire.SlowStartField: 0, "seq": h.seq, "born": h.born,
	}
	h.mu.Unlock()
	_ = h.w.store.Put(wire.HostsPrefix+h.id, entry) // a map of plain values
}

// run sends what is due, until the host is closed.
func (h *host) run() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	nextBeat := time.Now()
	for now := range ticker.C {
		h.mu.Lock()
		if h.isClosed {
			h.mu.Unlock()
			return
		}
		for _, f := range h.flows {
			if f.repeats <= hostMaxRepeats {
				h.send(f.due(now))
			}
		}
		h.mu.Unlock()
		if !now.Before(nextBeat) {
			nextBeat = now.Add(heartbeat)
			h.beat()
		}
	}
}

func (h *host) close() {
	h.mu.Lock()
	h.isClosed = true
	h.mu.Unlock()
	_ = h.health.Close()
	_ = h.conn.Close()
}

// drain reports to the store that the host drains. It goes on serving.
func (h *host) drain() {
	h.mu.Lock()
	h.state = wire.LeavingState
	h.mu.Unlock()
	h.beat()
	h.mu.Lock()
	h.drainAckAt = time.Now()
	h.mu.Unlock()
	h.w.record.add("the store has accepted that %s drains", h.id)
}

// leave ends the host and its entry.
func (h *host) leave() {
	h.mu.Lock()
	working := h.busy + len(h.queue)
	h.mu.Unlock()
	h.close()
	h.w.store.Remove(wire.HostsPrefix + h.id)
	h.w.record.add("%s has left, with %d requests in work", h.id, working)
}

// holds reports whether the host lives and holds a flow.
func (h *host) holds(key flowKey) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.isClosed && h.flows[key] != nil
}

// receive takes datagrams until the host is closed.
func (h *host) receive() {
	buffer := make([]byte, maxBufferBytes)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // closed
		}
		if n < platform.PrefixSize {
			continue
		}
		p, hasSum, isValid := decode(buffer[platform.PrefixSize:n])
		h.w.arrived(h, &p)
		if intended := binary.BigEndian.Uint64(buffer); intended != 0 && intended != h.identity {
			continue // it sends nothing
		}
		if !hasSum || !isValid {
			h.w.breakRule("UNASKED: host %s got a packet that its sender didn't write so, of %v", h.id, p.Key.Client)
			continue
		}
		h.mu.Lock()
		h.handle(&p)
		h.mu.Unlock()
	}
}

// handle handles a client's packet. The caller holds the lock.
func (h *host) handle(p *segment) {
	f := h.flows[p.Key]
	if p.IsOpening() {
		h.handleOpening(p, f)
		return
	}
	if f == nil || !f.isOpen && p.Ack != f.ownFirst+1 {
		if !p.Flags.Has(inband.Resetting) {
			h.w.record.add("%s holds no flow of %v and resets it", h.id, p.Key.Client)
			h.reset(p)
		}
		return
	}
	if p.Flags.Has(inband.Resetting) || p.Flags.Has(inband.Ending) {
		delete(h.flows, p.Key)
		h.w.flowEnded(p.Key)
		return
	}
	if !f.isOpen {
		f.isOpen, f.openedAt = true, time.Now()
		f.unacked = nil
		h.w.flowOpened(h, p.Key, f.openedAt)
	}
	h.send(f.take(time.Now(), p))
	h.takeRequest(f)
	h.send(f.due(time.Now()))
}

func (h *host) handleOpening(p *segment, f *hostFlow) {
	if f != nil && f.firstSeq == p.Seq {
		if !f.isOpen {
			f.echo = p.Tag
			h.send(f.stamp([]segment{f.unacked[0]}))
		}
		return
	}
	first := rand.Uint32()
	f = &hostFlow{ownFirst: first, firstSeq: p.Seq, stream: stream{
		key: p.Key, isHost: true, echo: p.Tag, sendNext: first + 1, receive: p.Seq + 1, early: map[uint32][]byte{},
	}}
	syn := segment{Packet: inband.Packet{Flags: inband.Opening | inband.Acknowledging, Seq: first}}
	f.unacked, f.repeat, f.repeatAt = []segment{syn}, firstRepeat, time.Now().Add(firstRepeat)
	h.flows[p.Key] = f
	h.w.record.add("%s takes an opening of %v for %v", h.id, p.Key.Client, p.Key.Destination)
	h.w.judgeDrain(h, p.Key)
	h.send(f.stamp([]segment{syn}))
}

// takeRequest starts the work on a request that is complete.
func (h *host) takeRequest(f *hostFlow) {
	r, size, ok := parseRequest(f.got[f.handled:])
	if !ok {
		return
	}
	f.handled += size
	work := func() {
		h.w.ran(h, r)
		time.AfterFunc(h.workTime, func() { h.finish(f, r) })
	}
	switch {
	case h.busy < hostSlots:
		h.busy++
		work()
	case len(h.queue) < hostQueue:
		h.queue = append(h.queue, work)
	default:
		f.push(response(r, 503, "X-Almondflow-Not-Executed: 1\r\n", h.id))
	}
}

// finish answers a request and starts on the next one.
func (h *host) finish(f *hostFlow, r request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isClosed {
		return
	}
	f.push(response(r, 200, "X-Almondflow-Upstream-Signature: "+h.id+"\r\n", h.id))
	h.send(f.due(time.Now()))
	if len(h.queue) == 0 {
		h.busy--
		return
	}
	next := h.queue[0]
	h.queue = h.queue[1:]
	next()
}

// reset tells the client that the host holds no such flow.
func (h *host) reset(p *segment) {
	h.send([]segment{{Packet: inband.Packet{Key: p.Key.Reversed(), Flags: inband.Resetting, Seq: p.Ack, Tag: p.Tag}}})
}

// send sends packets to their clients.
func (h *host) send(out []segment) {
	for i := range out {
		datagram := out[i].encode()
		to := netip.AddrPortFrom(out[i].Key.Destination.Addr(), h.w.ports.packets)
		time.AfterFunc(clientDelay, func() { _, _ = h.conn.WriteToUDPAddrPort(datagram, to) })
	}
}
