package core

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
)

// FromPeer handles a message of another entry VM, with the inner packet that it carries
// or nil.
func (n *Node) FromPeer(now clock.Millis, m *steer.Message, inner []byte, sink Sink) result.Code {
	v := n.view.Load()
	if !v.ready() {
		return n.count(result.DroppedNoRoute)
	}
	n.learnSettled(now, m)
	if m.Kind == steer.Settled {
		return n.count(result.CopyStored)
	}
	if len(inner) == 0 {
		return n.count(n.fromPeerAlone(now, v, m, sink))
	}
	p := n.packets.Get().(*packet.Packet)
	defer n.packets.Put(p)
	if err := p.Parse(inner); err != nil {
		return n.count(codeOf(err))
	}
	return n.count(n.fromPeer(now, v, m, p, sink))
}

func (n *Node) fromPeer(now clock.Millis, v *view, m *steer.Message, p *packet.Packet, sink Sink) result.Code {
	if embedded, ok := p.ICMPError(); ok {
		return n.icmp(now, v, p, embedded, sink)
	}
	key := p.Key()
	route := v.tables.Lookup(&key)
	if route == nil {
		return n.steeredReply(now, v, m, p, sink)
	}
	a := arrival{now: now, view: v, packet: p, key: key, route: route, hops: m.Hops, sink: sink}
	if n.mayBeStale(&a) {
		return result.DroppedUndetermined
	}
	s := n.locate(&a)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch m.Kind {
	case steer.Steer:
		return s.steered(&a)
	case steer.Copy:
		return s.copied(&a, m)
	case steer.Ask:
		return s.asked(&a, m)
	case steer.Found:
		return s.found(&a, m)
	case steer.NotFound:
		return s.notFound(&a)
	case steer.Accept:
		return s.accept(&a, m)
	case steer.Prepare, steer.Promise, steer.Reject:
		return s.vote(&a, m)
	default:
		return result.DroppedMalformed
	}
}

func (n *Node) steeredReply(now clock.Millis, v *view, m *steer.Message, p *packet.Packet, sink Sink) result.Code {
	reply := p.Key()
	destination, ok := v.tables.Reply(reply.Source(), reply.Protocol())
	if !ok {
		return result.DroppedNoRoute
	}
	return n.fromTarget(now, v, p, destination, m.Hops, sink)
}

// steered handles a packet that another VM takes to be for this one.
func (s *shard) steered(a *arrival) result.Code {
	if r := s.flows.Get(a.hash, &a.key); r != nil && s.isUsable(a, r) {
		return s.forward(a, r)
	}
	owner := s.owner(a)
	if owner == 0 {
		return result.DroppedUnknownFlow
	}
	if owner != s.self() {
		return s.steerTo(a, owner)
	}
	return s.serve(a)
}

// fromPeerAlone handles messages that carry no packet.
func (n *Node) fromPeerAlone(now clock.Millis, v *view, m *steer.Message, sink Sink) result.Code {
	route := v.tables.Lookup(&m.Key)
	if route == nil {
		return result.DroppedNoRoute
	}
	a := arrival{now: now, view: v, key: m.Key, route: route, hops: m.Hops, sink: sink}
	s := n.locate(&a)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch m.Kind {
	case steer.Repair:
		return s.repaired(&a, m)
	case steer.Prepare, steer.Promise, steer.Reject:
		return s.vote(&a, m)
	default:
		return result.DroppedMalformed
	}
}
