package core

import (
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
)

// missUnique handles a packet without a record, of a flow that may not be repeated. While
// this VM may not decide, another may know what was decided before.
func (s *shard) missUnique(a *arrival) result.Code {
	if mayOpen(a) && s.mayPropose(a) {
		return s.propose(a)
	}
	trail, count := s.candidates(a)
	if count == 0 {
		return result.DroppedUnknownFlow
	}
	return s.ask(a, trail, count)
}

func (s *shard) mayPropose(a *arrival) bool { return s.canVote(a) && s.knowsHistory(a) }

// propose brings the target of a flow nearer to its decision.
func (s *shard) propose(a *arrival) result.Code {
	if !s.mayPropose(a) {
		return result.DroppedUndetermined
	}
	g := s.registers[a.hash]
	if g != nil && g.key != a.key {
		return result.DroppedUndetermined
	}
	if g == nil {
		if len(s.registers) >= maxRegisters || s.isFull() {
			return result.DroppedTableFull
		}
		g = s.newRegister(a)
		if a.holders.At(0) == s.self() && s.isUnchanged(a) {
			s.acceptOwn(a, g, steer.Ballot{}, s.choose(a, g))
		}
	}
	if g.proposed && g.holders == a.holders && g.accepted.Compare(g.promised) >= 0 {
		return s.offer(a, g)
	}
	return s.startRead(a, g)
}

// choose asks the Placer for a target. A flow without one gets the refusal, which is a
// value like any other, so that a refusal is answered only once it is decided.
func (s *shard) choose(a *arrival, g *register) flow.Target {
	target, code := s.node.options.Placer.Place(a.now, a.route, a.hash, 0)
	if code != result.Placed {
		return flow.NewTarget(refusal, flow.Endpoint{})
	}
	g.counted = true
	return target
}

func (s *shard) acceptOwn(a *arrival, g *register, ballot steer.Ballot, target flow.Target) {
	g.promised = ballot
	g.accepted = ballot
	g.target = target
	g.table = a.view.tables.Version()
	g.proposed = true
	g.holders = a.holders
	g.touched = a.now
}

// offer sends the packet with the proposal to another holder, whose acceptance decides.
func (s *shard) offer(a *arrival, g *register) result.Code {
	if a.holders.Majority() == 1 || s.node.options.Breakage == BreakMajority {
		return s.forward(a, s.settle(a, g, g.target))
	}
	to := s.acceptor(a, g)
	if to == 0 {
		return result.DroppedUndetermined
	}
	g.touched = a.now
	s.message = steer.Message{Kind: steer.Accept, Table: g.table, Target: g.target, Ballot: g.accepted}
	s.send(a, to, &s.message, a.packet.Bytes())
	return result.Asked
}

// acceptor picks a live holder, another one at each attempt.
func (s *shard) acceptor(a *arrival, g *register) fleet.ID {
	var usable []fleet.ID
	for i := range a.holders.Len() {
		id := a.holders.At(i)
		if id != s.self() && a.view.alive(id, s.self()) && !s.isQuarantined(a, id) {
			usable = append(usable, id)
		}
	}
	if len(usable) == 0 {
		return 0
	}
	g.attempts++
	return usable[(g.attempts-1)%len(usable)]
}
