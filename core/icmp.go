package core

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
)

// icmp passes an error on to the side of the flow whose packet caused it.
func (n *Node) icmp(now clock.Millis, v *view, p *packet.Packet, embedded flow.Key, sink Sink) result.Code {
	if destination, ok := v.tables.Reply(embedded.Destination(), embedded.Protocol()); ok {
		// The client's packet, already translated to its target, caused the error.
		p.ErrorToClient(destination)
		sink.Fabric(p.Bytes())
		return result.Replied
	}
	// A reply, already translated to come from the routed destination, caused the error.
	key := flow.NewKey(embedded.Protocol(), embedded.Destination(), embedded.Source())
	route := v.tables.Lookup(&key)
	if route == nil {
		return result.DroppedNoRoute
	}
	a := arrival{now: now, view: v, packet: p, key: key, route: route, sink: sink}
	return n.icmpToTarget(&a)
}

func (n *Node) icmpToTarget(a *arrival) result.Code {
	s := n.locate(a)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r := s.flows.Get(a.hash, &a.key)
	if r != nil && !r.isRefusal() {
		a.packet.ErrorToTarget(r.target.Endpoint())
		a.sink.Fabric(a.packet.Bytes())
		return result.Forwarded
	}
	owner := s.owner(a)
	if owner == 0 || owner == s.self() {
		return result.DroppedUnknownFlow
	}
	s.message = steer.Message{Kind: steer.Steer}
	s.send(a, owner, &s.message, a.packet.Bytes())
	return result.Steered
}
