package core

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/placement"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
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

// miss handles a packet without a record at the owner.
func (s *shard) miss(a *arrival) result.Code {
	if mayOpen(a) && s.node.isPaused(a.now, a.view) {
		return result.DroppedUndetermined
	}
	if !a.route.Repeatable() {
		return s.missUnique(a)
	}
	trail, count := s.candidates(a)
	if count > 0 && (!mayOpen(a) || !s.isCertain(a)) {
		return s.ask(a, trail, count)
	}
	if !mayOpen(a) {
		return s.unknown(a)
	}
	return s.place(a)
}

// isCertain reports whether a flow without a record here has none anywhere: this VM ranks
// first, did so under every list of late, and neither restarted nor was taken for dead.
func (s *shard) isCertain(a *arrival) bool {
	if a.holders.At(0) != s.self() {
		return false
	}
	span := s.doubtSpan(a)
	if a.now < a.view.unsureSince+span {
		return false
	}
	for _, e := range a.view.recent(a.now, span) {
		old := e.ranking.Holders(a.hash, spreadOf(a.route.Repeatable()))
		if old.Len() > 0 && old.At(0) != s.self() {
			return false
		}
	}
	return true
}

// doubtSpan is how long after a change a packet may belong to a flow placed before it.
func (s *shard) doubtSpan(a *arrival) clock.Millis {
	if a.key.Protocol() == flow.UDP {
		return a.route.IdleTimeout()
	}
	return s.node.options.OpeningLifetime
}

// candidates lists the other VMs that may have the record: the holders under the list in
// force and under earlier ones, as far as they are believed alive.
func (s *shard) candidates(a *arrival) (trail [steer.MaxTrail]fleet.ID, count int) {
	add := func(holders *fleet.Holders) {
		for i := range holders.Len() {
			id := holders.At(i)
			if count < len(trail) && id != s.self() && a.view.alive(id, s.self()) && !contains(trail[:count], id) {
				trail[count] = id
				count++
			}
		}
	}
	add(&a.holders)
	span := s.recordSpan(a)
	if elder := s.elder(a, span); elder != 0 && !contains(trail[:count], elder) {
		trail[count] = elder
		count++
	}
	for _, e := range a.view.recent(a.now, span) {
		old := e.ranking.Holders(a.hash, spreadOf(a.route.Repeatable()))
		add(&old)
	}
	return trail, count
}

// recordSpan is how long a record may live without a packet.
func (s *shard) recordSpan(a *arrival) clock.Millis {
	return max(a.route.IdleTimeout(), s.node.options.OpeningLifetime)
}

// elderTries bounds the search for a VM that did not start of late.
const elderTries = 8

// elder returns a VM that knows the lists from before this process started, or 0 when
// this process has run for longer than any record without a packet lives. Each VM draws
// another one, so that a question passed on soon meets one that knows more.
func (s *shard) elder(a *arrival, span clock.Millis) fleet.ID {
	if a.now >= s.node.options.Started+span {
		return 0
	}
	vms := a.view.list().VMs()
	for i := range min(elderTries, len(vms)) {
		id := vms[(a.hash^uint64(s.self())+uint64(i))%uint64(len(vms))].ID()
		if id != s.self() && a.view.alive(id, s.self()) && !a.view.peers.find(id).Quarantined {
			return id
		}
	}
	return 0
}

func contains(ids []fleet.ID, id fleet.ID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

// unknown handles a packet in mid-flow that nobody knows.
func (s *shard) unknown(a *arrival) result.Code {
	if s.node.options.Breakage == BreakUnknownFlow {
		return s.answerRefusal(a)
	}
	if !a.route.HashDefault() || !a.route.Repeatable() {
		return result.DroppedUnknownFlow
	}
	target := s.hashTarget(a)
	if target.IsZero() {
		return result.DroppedUnknownFlow
	}
	r := s.insert(a, target)
	if r == nil {
		return result.DroppedTableFull
	}
	s.own(r)
	return s.forward(a, r)
}

// hashTarget returns the host of the pool that the flow's hash names.
func (s *shard) hashTarget(a *arrival) flow.Target {
	var best flow.Target
	var bestScore uint64
	hosts := a.route.Pool().Hosts()
	for i := range hosts {
		score := fleet.Score(a.hash, fleet.ID(hosts[i].ID()))
		if best.IsZero() || score > bestScore {
			best, bestScore = hosts[i].Target(), score
		}
	}
	return best
}

// place gives a new flow a target and forwards its packet.
func (s *shard) place(a *arrival) result.Code {
	if !s.mayPlace(a) {
		return result.DroppedUndetermined
	}
	if s.isFull() {
		return result.DroppedTableFull
	}
	target, code := s.node.options.Placer.Place(a.now, a.route, a.hash, 0)
	if code != result.Placed {
		return s.noTarget(a, code)
	}
	r := s.insert(a, target)
	s.placed(r)
	s.node.count(result.Placed)
	return s.forward(a, r)
}

// noTarget refuses a flow when no other VM can have placed it, and is silent otherwise.
func (s *shard) noTarget(a *arrival, code result.Code) result.Code {
	if !s.isCertain(a) || !s.allAlive(a) {
		return result.DroppedNoTarget
	}
	s.answerRefusal(a)
	return code
}

func (s *shard) allAlive(a *arrival) bool {
	for i := range a.holders.Len() {
		if !a.view.alive(a.holders.At(i), s.self()) {
			return false
		}
	}
	return true
}

// answerRefusal tells the client that its flow was refused and did not run.
func (s *shard) answerRefusal(a *arrival) result.Code {
	if a.key.Protocol() == flow.TCP {
		s.scratch = packet.AppendReset(s.scratch[:0], a.packet)
	} else {
		s.scratch = packet.AppendUnreachable(s.scratch[:0], a.packet)
	}
	a.sink.Fabric(s.scratch)
	return result.RefusedNoTarget
}

// placeElsewhere gives a flow that its target refused untouched another target. The
// Placer's retry budget decides whether it may.
func (s *shard) placeElsewhere(a *arrival, r *record) result.Code {
	if !isSYN(a) {
		return result.DroppedUnknownFlow
	}
	old := r.target.ID()
	target, code := s.node.options.Placer.Place(a.now, a.route, a.hash, old)
	s.drop(a.hash, &a.key, r)
	if code != result.Placed {
		return s.noTarget(a, code)
	}
	r = s.insert(a, target)
	s.placed(r)
	s.node.count(result.Replaced)
	return s.forward(a, r)
}

// insert adds a record, or returns nil where the table is full.
func (s *shard) insert(a *arrival, target flow.Target) *record {
	limit := s.node.options.Flows / len(s.node.shards)
	r, added := s.flows.Put(a.hash, &a.key)
	if added && s.flows.Len() > limit {
		s.flows.Delete(a.hash, &a.key)
		return nil
	}
	if added {
		s.openings++ // until the sweep counts again
	}
	r.initialize(a.now, a.route, target, a.view.tables.Version(), s.node.options.OpeningLifetime)
	return r
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
