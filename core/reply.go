package core

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/placement"
	"github.com/almondflow/almondflow/result"
)

// handleTargetPacket translates a target's reply and sends it to the client. A reply that
// ends a flow passes through the owner first.
func (n *Node) handleTargetPacket(now clock.Millis, v *view, p *packet.Packet, destination flow.Endpoint, hops uint8, sink Sink) result.Code {
	reply := p.Key()
	key := flow.NewKey(reply.Protocol(), reply.Destination(), destination)
	if p.Flags()&(packet.FIN|packet.RST) != 0 {
		if route := v.tables.Lookup(&key); route != nil {
			fc := flowContext{now: now, view: v, packet: p, key: key, route: route, hops: hops, sink: sink}
			return n.handleFinalReply(&fc, reply.Source(), destination)
		}
	}
	if host, ok := v.tables.HostAt(reply.Source(), reply.Protocol()); ok {
		n.options.Placer.Observe(now, host.ID(), placement.Replied)
	}
	p.SetSource(destination)
	sink.SendToFabric(p.Bytes())
	return result.Replied
}

// handleFinalReply updates the owner's record for a reply that ends the flow.
func (n *Node) handleFinalReply(fc *flowContext, target, destination flow.Endpoint) result.Code {
	s := n.locateShard(fc)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	owner := s.owner(fc)
	if owner != 0 && owner != s.self() && fc.hops < maxHops {
		return s.steerTo(fc, owner)
	}
	r := s.flows.Get(fc.hash, &fc.key)
	if r != nil && r.target.Endpoint() == target && s.recordTargetEnd(fc, r) {
		return result.Replaced
	}
	fc.packet.SetSource(destination)
	fc.sink.SendToFabric(fc.packet.Bytes())
	return result.Replied
}

// recordTargetEnd records that the target ended the flow. It reports true if the reply
// must be withheld from the client: the target refused the flow before any payload was
// sent, so another target can take it when the client retransmits.
func (s *shard) recordTargetEnd(fc *flowContext, r *record) bool {
	if fc.packet.Flags()&packet.RST == 0 {
		if r.state == established {
			r.state = closing
			s.removeLoad(r)
		}
		return false
	}
	retryable := r.state == opening && !r.has(payloadSent)
	if s.node.options.Defect == DefectRetryAfterPayload {
		retryable = true
	}
	if retryable && !r.has(nonRepeatable) {
		s.node.options.Placer.Observe(fc.now, r.target.ID(), placement.Reset)
		r.set(refusedByTarget, true)
		return true
	}
	r.state = closed
	s.removeLoad(r)
	return false
}
