package core

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
)

// ReceiveFromPeer handles a message from another entry VM. inner is the packet that came
// with it, or nil.
func (n *Node) ReceiveFromPeer(now clock.Millis, m *steer.Message, inner []byte, sink Sink) result.Code {
	v := n.view.Load()
	if !v.ready() {
		return n.count(result.DroppedNoRoute)
	}
	n.applyDecidedFlows(now, m)
	if m.Kind == steer.DecidedFlows {
		return n.count(result.CopyStored)
	}
	if len(inner) == 0 {
		return n.count(n.handlePeerMessage(now, v, m, sink))
	}
	p := n.packetPool.Get().(*packet.Packet)
	defer n.packetPool.Put(p)
	if err := p.Parse(inner); err != nil {
		return n.count(codeOf(err))
	}
	return n.count(n.handlePeerPacket(now, v, m, p, sink))
}

// handlePeerPacket handles a message that came with a packet.
func (n *Node) handlePeerPacket(now clock.Millis, v *view, m *steer.Message, p *packet.Packet, sink Sink) result.Code {
	if embedded, ok := p.EmbeddedKey(); ok {
		return n.handleICMPError(now, v, p, embedded, sink)
	}
	key := p.Key()
	route := v.tables.Lookup(&key)
	if route == nil {
		return n.handleSteeredReply(now, v, m, p, sink)
	}
	fc := flowContext{now: now, view: v, packet: p, key: key, route: route, hops: m.Hops, sink: sink}
	if n.mayBeStale(&fc) {
		return result.DroppedUndetermined
	}
	s := n.locateShard(&fc)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch m.Kind {
	case steer.Steer:
		return s.handleSteer(&fc)
	case steer.Copy:
		return s.handleCopy(&fc, m)
	case steer.Lookup:
		return s.handleLookup(&fc, m)
	case steer.Found:
		return s.handleFound(&fc, m)
	case steer.NotFound:
		return s.handleNotFound(&fc)
	case steer.Accept:
		return s.handleAccept(&fc, m)
	case steer.Prepare, steer.Promise, steer.Reject:
		return s.handleVote(&fc, m)
	default:
		return result.DroppedMalformed
	}
}

// handleSteeredReply handles a target's reply that another VM passed on.
func (n *Node) handleSteeredReply(now clock.Millis, v *view, m *steer.Message, p *packet.Packet, sink Sink) result.Code {
	reply := p.Key()
	destination, ok := v.tables.ReplySource(reply.Source(), reply.Protocol())
	if !ok {
		return result.DroppedNoRoute
	}
	return n.handleTargetPacket(now, v, p, destination, m.Hops, sink)
}

// handleSteer handles a packet that another VM passed to this one as the owner of its
// flow.
func (s *shard) handleSteer(fc *flowContext) result.Code {
	if r := s.flows.Get(fc.hash, &fc.key); r != nil && s.isTargetValid(fc, r) {
		return s.forward(fc, r)
	}
	owner := s.owner(fc)
	if owner == 0 {
		return result.DroppedUnknownFlow
	}
	if owner != s.self() {
		return s.steerTo(fc, owner)
	}
	return s.serveAsOwner(fc)
}

// handlePeerMessage handles a message that came without a packet.
func (n *Node) handlePeerMessage(now clock.Millis, v *view, m *steer.Message, sink Sink) result.Code {
	route := v.tables.Lookup(&m.Key)
	if route == nil {
		return result.DroppedNoRoute
	}
	fc := flowContext{now: now, view: v, key: m.Key, route: route, hops: m.Hops, sink: sink}
	s := n.locateShard(&fc)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch m.Kind {
	case steer.Repair:
		return s.handleRepair(&fc, m)
	case steer.Prepare, steer.Promise, steer.Reject:
		return s.handleVote(&fc, m)
	default:
		return result.DroppedMalformed
	}
}
