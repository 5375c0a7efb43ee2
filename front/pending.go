package front

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// Limits for packets that wait for the first view.
const (
	maxPendingPackets = 512
	// maxOpeningWait is how long an opening may wait. After that its client has sent a copy,
	// which another VM may have placed on another target.
	maxOpeningWait = 180 * clock.Millisecond
	// maxPacketWait is how long other packets may wait. They name the target of their flow.
	maxPacketWait = 600 * clock.Millisecond
)

// pendingPacket is a packet that arrived before this VM had the tables or the packet's target.
type pendingPacket struct {
	queuedAt clock.Millis
	packet   inband.Packet
	buffer   []byte
}

// isExpired reports whether the packet has waited too long to be useful.
func (p *pendingPacket) isExpired(now clock.Millis) bool {
	if p.packet.IsOpening() {
		return now-p.queuedAt > maxOpeningWait
	}
	return now-p.queuedAt > maxPacketWait
}

// isServable reports whether a packet can be handled: any packet once the view is complete, and
// before that packets of open flows whose target is known. The caller holds the lock.
func (d *Daemon) isServable(packet *inband.Packet) bool {
	return d.catalog.IsComplete() || !packet.IsOpening() && d.engine.KnowsTag(packet.Tag)
}

// enqueue queues a packet until it can be served. The caller holds the lock.
func (d *Daemon) enqueue(now clock.Millis, packet *inband.Packet, buffer []byte) {
	if len(d.pending) == maxPendingPackets {
		d.pending = d.pending[1:] // drop the oldest, which its client retransmits first
	}
	d.pending = append(d.pending, pendingPacket{queuedAt: now, packet: *packet, buffer: append([]byte(nil), buffer...)})
}

// handlePending handles the queued packets that can be served now. Expired ones are dropped;
// their clients retransmit them.
func (d *Daemon) handlePending() {
	now := d.clock.Now()
	var ready, remaining []pendingPacket
	d.mu.Lock()
	for _, p := range d.pending {
		switch {
		case p.isExpired(now):
		case d.isServable(&p.packet):
			ready = append(ready, p)
		default:
			remaining = append(remaining, p)
		}
	}
	d.pending = remaining
	d.mu.Unlock()
	reset := make([]byte, maxDatagramBytes)
	for i := range ready {
		d.handlePacket(&ready[i].packet, ready[i].buffer, reset)
	}
}
