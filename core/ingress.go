package core

import (
	"errors"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/result"
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

// serveKnown handles a packet whose holders are all gone: it forwards it where its flow has
// a record here, else asks earlier holders. Flows that nobody knows are dropped in silence,
// since another side of a partition may hold them.
func (s *shard) serveKnown(a *arrival) result.Code {
	r := s.flows.Get(a.hash, &a.key)
	if r != nil && s.isUsable(a, r) {
		return s.forward(a, r)
	}
	trail, count := s.candidates(a)
	if count == 0 {
		return result.DroppedUnknownFlow
	}
	return s.ask(a, trail, count)
}
