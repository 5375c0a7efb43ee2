package core

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/placement"
	"github.com/almondflow/almondflow/result"
)

// fromTarget translates a reply back to the client. Replies that end a flow visit its
// owner first.
func (n *Node) fromTarget(now clock.Millis, v *view, p *packet.Packet, destination flow.Endpoint, hops uint8, sink Sink) result.Code {
	reply := p.Key()
	key := flow.NewKey(reply.Protocol(), reply.Destination(), destination)
	if p.Flags()&(packet.FIN|packet.RST) != 0 {
		if route := v.tables.Lookup(&key); route != nil {
			a := arrival{now: now, view: v, packet: p, key: key, route: route, hops: hops, sink: sink}
			return n.ending(&a, reply.Source(), destination)
		}
	}
	if host, ok := v.tables.HostAt(reply.Source(), reply.Protocol()); ok {
		n.options.Placer.Observe(now, host.ID(), placement.Replied)
	}
	p.SetSource(destination)
	sink.Fabric(p.Bytes())
	return result.Replied
}

// ending lets the owner of a flow see a reply that ends it.
func (n *Node) ending(a *arrival, target, destination flow.Endpoint) result.Code {
	s := n.locate(a)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	owner := s.owner(a)
	if owner != 0 && owner != s.self() && a.hops < maxHops {
		return s.steerTo(a, owner)
	}
	r := s.flows.Get(a.hash, &a.key)
	if r != nil && r.target.Endpoint() == target && s.endedBy(a, r) {
		return result.Replaced
	}
	a.packet.SetSource(destination)
	a.sink.Fabric(a.packet.Bytes())
	return result.Replied
}

// endedBy notes that the target ended a flow. It reports true when the reply must not
// reach the client, because the target refused an untouched flow that another target may
// take: the client's retransmission is placed there.
func (s *shard) endedBy(a *arrival, r *record) bool {
	if a.packet.Flags()&packet.RST == 0 {
		if r.state == established {
			r.state = closing
			s.uncount(r)
		}
		return false
	}
	untouched := r.state == opening && !r.has(payload)
	if s.node.options.Breakage == BreakRetry {
		untouched = true
	}
	if untouched && !r.has(unique) {
		s.node.options.Placer.Observe(a.now, r.target.ID(), placement.Reset)
		r.set(refused, true)
		return true
	}
	r.state = closed
	s.uncount(r)
	return false
}
