package core

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
)

// handleICMPError forwards an ICMP error to the endpoint whose packet caused it.
func (n *Node) handleICMPError(now clock.Millis, v *view, p *packet.Packet, embedded flow.Key, sink Sink) result.Code {
	if destination, ok := v.tables.ReplySource(embedded.Destination(), embedded.Protocol()); ok {
		// A client's packet caused the error. The embedded copy was already translated to
		// the target.
		p.TranslateErrorForClient(destination)
		sink.SendToFabric(p.Bytes())
		return result.Replied
	}
	// A target's reply caused the error. The embedded copy already has the routed
	// destination as its source.
	key := flow.NewKey(embedded.Protocol(), embedded.Destination(), embedded.Source())
	route := v.tables.Lookup(&key)
	if route == nil {
		return result.DroppedNoRoute
	}
	fc := flowContext{now: now, view: v, packet: p, key: key, route: route, sink: sink}
	return n.forwardICMPToTarget(&fc)
}

// forwardICMPToTarget forwards an ICMP error to the target of the flow, or to the owner if
// there is no local record.
func (n *Node) forwardICMPToTarget(fc *flowContext) result.Code {
	s := n.locateShard(fc)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r := s.flows.Get(fc.hash, &fc.key)
	if r != nil && !r.isRefusal() {
		fc.packet.TranslateErrorForTarget(r.target.Endpoint())
		fc.sink.SendToFabric(fc.packet.Bytes())
		return result.Forwarded
	}
	owner := s.owner(fc)
	if owner == 0 || owner == s.self() {
		return result.DroppedUnknownFlow
	}
	s.message = steer.Message{Kind: steer.Steer}
	s.send(fc, owner, &s.message, fc.packet.Bytes())
	return result.Steered
}
