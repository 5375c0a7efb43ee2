package core

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
)

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
