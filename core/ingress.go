package core

import (
	"errors"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/result"
)

// codeOf returns the result code for an error of the packet parser.
func codeOf(err error) result.Code {
	var failure *packet.Error
	if errors.As(err, &failure) {
		return failure.Code()
	}
	return result.DroppedMalformed
}

// dispatch handles a packet from the fabric according to its type: from a client to a
// routed destination, from a target to a client, or an ICMP error about one of these.
func (n *Node) dispatch(now clock.Millis, v *view, p *packet.Packet, sink Sink) result.Code {
	if embedded, ok := p.EmbeddedKey(); ok {
		return n.handleICMPError(now, v, p, embedded, sink)
	}
	key := p.Key()
	if route := v.tables.Lookup(&key); route != nil {
		fc := flowContext{now: now, view: v, packet: p, key: key, route: route, sink: sink}
		if n.mayBeStale(&fc) {
			return result.DroppedUndetermined
		}
		return n.handleClientPacket(&fc)
	}
	if destination, ok := v.tables.ReplySource(key.Source(), key.Protocol()); ok {
		return n.handleTargetPacket(now, v, p, destination, 0, sink)
	}
	return result.DroppedNoRoute
}

// mayBeStale reports whether an opening packet of a non-repeatable flow may have been
// queued during a pause of the process for longer than the lifetime of an opening packet.
// The records of its flow may have expired since, so that another VM would place it as a
// new flow.
func (n *Node) mayBeStale(fc *flowContext) bool {
	return !fc.route.Repeatable() && mayOpen(fc) && n.isPaused(fc.now, fc.view)
}

// locateShard sets the hash and the holders of the flow and returns its shard.
func (n *Node) locateShard(fc *flowContext) *shard {
	fc.hash = fc.key.Hash(n.options.Seed)
	fc.holders = fc.view.epochs[0].ranking.Holders(fc.hash, spreadOf(fc.route.Repeatable()))
	return n.shardOf(fc.hash)
}

// handleClientPacket serves a client's packet if this VM owns its flow, and otherwise
// passes the packet to the owner.
func (n *Node) handleClientPacket(fc *flowContext) result.Code {
	s := n.locateShard(fc)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	owner := s.owner(fc)
	if owner == s.self() {
		return s.serveAsOwner(fc)
	}
	if owner == 0 {
		return s.serveWithoutOwner(fc)
	}
	return s.steerTo(fc, owner)
}

// serveWithoutOwner handles a packet of a flow without an available owner. It forwards the
// packet if there is a local record, and otherwise asks earlier holders. Packets of
// unknown flows are dropped without an answer, because VMs on another side of a partition
// may hold the flow.
func (s *shard) serveWithoutOwner(fc *flowContext) result.Code {
	r := s.flows.Get(fc.hash, &fc.key)
	if r != nil && s.isTargetValid(fc, r) {
		return s.forward(fc, r)
	}
	candidates, count := s.lookupCandidates(fc)
	if count == 0 {
		return result.DroppedUnknownFlow
	}
	return s.startLookup(fc, candidates, count)
}
