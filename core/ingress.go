package core

import (
	"errors"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/placement"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
)

func codeOf(err error) result.Code {
	var failure *packet.Error
	if errors.As(err, &failure) {
		return failure.Code()
	}
	return result.DroppedMalformed
}

// ingress sorts a packet: from a client to a route, from a target to a client, or an
// error about one of either.
func (n *Node) ingress(now clock.Millis, v *view, p *packet.Packet, sink Sink) result.Code {
	if embedded, ok := p.ICMPError(); ok {
		return n.icmp(now, v, p, embedded, sink)
	}
	key := p.Key()
	if route := v.tables.Lookup(&key); route != nil {
		a := arrival{now: now, view: v, packet: p, key: key, route: route, sink: sink}
		if n.mayBeStale(&a) {
			return result.DroppedUndetermined
		}
		return n.fromClient(&a)
	}
	if destination, ok := v.tables.Reply(key.Source(), key.Protocol()); ok {
		return n.fromTarget(now, v, p, destination, 0, sink)
	}
	return result.DroppedNoRoute
}

// mayBeStale reports whether a packet may have waited here through a pause of the process
// for longer than the lifetime of an opening packet. Where it can open a flow that may not
// be repeated, another VM would take it for new after the records expired.
func (n *Node) mayBeStale(a *arrival) bool {
	return !a.route.Repeatable() && mayOpen(a) && n.isPaused(a.now, a.view)
}

func (n *Node) locate(a *arrival) *shard {
	a.hash = a.key.Hash(n.options.Seed)
	a.holders = a.view.epochs[0].ranking.Holders(a.hash, spreadOf(a.route.Repeatable()))
	return n.shardOf(a.hash)
}

// fromClient passes a client's packet to the owner of its flow, which may be this VM.
func (n *Node) fromClient(a *arrival) result.Code {
	s := n.locate(a)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	owner := s.owner(a)
	if owner == s.self() {
		return s.serve(a)
	}
	if owner == 0 {
		return s.serveKnown(a)
	}
	return s.steerTo(a, owner)
}

// serveKnown forwards a packet whose flow has a record here although this VM does not
// own it, and drops others in silence: another side of a partition may hold them.
func (s *shard) serveKnown(a *arrival) result.Code {
	r := s.flows.Get(a.hash, &a.key)
	if r == nil || !s.isUsable(a, r) {
		return result.DroppedUnknownFlow
	}
	return s.forward(a, r)
}

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
