package core

import (
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/placement"
	"github.com/almondflow/almondflow/result"
)

// serve handles a client's packet at the owner of its flow.
func (s *shard) serve(a *arrival) result.Code {
	r := s.flows.Get(a.hash, &a.key)
	if r != nil && !s.isUsable(a, r) {
		s.drop(a.hash, &a.key, r)
		r = nil
	}
	if r != nil && s.opensAgain(a, r) {
		s.drop(a.hash, &a.key, r)
		r = nil
	}
	if r == nil {
		return s.miss(a)
	}
	if r.has(refused) {
		return s.placeElsewhere(a, r)
	}
	s.own(r)
	return s.forward(a, r)
}

// isUsable reports whether the target of a record still belongs to the service. A host's
// address may have been given to another pool.
func (s *shard) isUsable(a *arrival, r *record) bool {
	version := uint32(a.view.tables.Version())
	if r.table == version || r.isRefusal() {
		return true
	}
	endpoint := r.target.Endpoint()
	destination, known := a.view.tables.Reply(endpoint, a.key.Protocol())
	if known && destination != a.key.Destination() {
		return false
	}
	r.table = version
	return true
}

// opensAgain reports whether a SYN starts a new flow on the endpoints of one that ended.
func (s *shard) opensAgain(a *arrival, r *record) bool {
	return r.state == closed && !r.has(unique) && isSYN(a)
}

func isSYN(a *arrival) bool {
	return a.key.Protocol() == flow.TCP && a.packet.Flags()&(packet.SYN|packet.ACK|packet.RST) == packet.SYN
}

// mayOpen reports whether the packet can be the first of its flow.
func mayOpen(a *arrival) bool {
	return a.key.Protocol() == flow.UDP || isSYN(a)
}

// own makes this VM the one that serves a flow and counts it. A record that a copy brought
// becomes the owner's.
func (s *shard) own(r *record) {
	if r.isRefusal() {
		return
	}
	if !r.has(owned) {
		r.set(owned, true)
		s.node.count(result.TookOver)
	}
	if !r.has(counted) && r.state < closing {
		r.set(counted, true)
		s.node.options.Placer.Opened(r.target.ID())
	}
}

// placed marks a flow that the Placer has just counted.
func (s *shard) placed(r *record) {
	r.set(owned|counted, true)
}

// uncount takes a flow out of the load of its target.
func (s *shard) uncount(r *record) {
	if r.has(counted) {
		r.set(counted, false)
		s.node.options.Placer.Closed(r.target.ID())
	}
}

// disown notes that another VM serves the flow.
func (s *shard) disown(r *record) {
	r.set(owned, false)
	s.uncount(r)
}

func (s *shard) drop(hash uint64, key *flow.Key, r *record) {
	s.disown(r)
	s.flows.Delete(hash, key)
}

// forward sends the packet to the flow's target. The owner sends it by way of a holder that
// lacks a copy of the record.
func (s *shard) forward(a *arrival, r *record) result.Code {
	if r.isRefusal() {
		if mayOpen(a) {
			s.answerRefusal(a)
		}
		return result.RefusedNoTarget
	}
	s.noteSilence(a, r)
	wasOpening := r.state == opening
	r.observe(a.now, a.packet, a.key.Protocol())
	s.noteAnswer(a, r, wasOpening)
	if r.state >= closing {
		s.uncount(r)
	}
	r.set(served, true)
	if s.owner(a) == s.self() {
		if to := s.nextCopy(a, r); to != 0 {
			return s.forwardBy(a, r, to)
		}
	}
	a.packet.SetDestination(r.target.Endpoint())
	a.sink.Fabric(a.packet.Bytes())
	return result.Forwarded
}

// noteAnswer reports a target that answered the SYN of a flow owned here: the client goes
// on. UDP has no such sign.
func (s *shard) noteAnswer(a *arrival, r *record, wasOpening bool) {
	if wasOpening && r.state == established && r.has(owned) && a.key.Protocol() == flow.TCP {
		s.node.options.Placer.Observe(a.now, r.target.ID(), placement.Answered)
	}
}

// noteSilence reports a target that leaves SYNs unanswered.
func (s *shard) noteSilence(a *arrival, r *record) {
	if r.state == opening && r.has(served) && isSYN(a) {
		s.node.options.Placer.Observe(a.now, r.target.ID(), placement.Silence)
		r.copies = 0
	}
}
