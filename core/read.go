package core

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
)

// read is the first phase of a proposal: it asks the holders what they have accepted.
type read struct {
	ballot   steer.Ballot
	sets     []answers
	accepted steer.Ballot
	target   flow.Target
	packet   []byte
	started  clock.Millis
}

// answers counts the promises of the holders under one list.
type answers struct {
	holders fleet.Holders
	heard   uint8 // by rank
}

func (s *answers) note(id fleet.ID) {
	if rank := s.holders.Rank(id); rank >= 0 {
		s.heard |= 1 << rank
	}
}

func (s *answers) isMajority() bool {
	count := 0
	for rank := range s.holders.Len() {
		if s.heard&(1<<rank) != 0 {
			count++
		}
	}
	return count >= s.holders.Majority()
}

// startRead asks the holders under the list in force for a promise, and those under
// recent lists for what they have accepted.
func (s *shard) startRead(a *arrival, g *register) result.Code {
	if g.read != nil && a.now-g.read.started < readRetry {
		g.read.packet = append(g.read.packet[:0], a.packet.Bytes()...)
		return result.Asked
	}
	round := uint16(1)
	if g.promised.List == a.view.list().Version() {
		round = g.promised.Round + 1
	}
	g.promised = steer.Ballot{List: a.view.list().Version(), Round: round, VM: s.self()}
	g.proposed = false
	g.touched = a.now
	g.read = &read{ballot: g.promised, accepted: g.accepted, target: g.target, started: a.now}
	g.read.packet = append(g.read.packet, a.packet.Bytes()...)
	g.read.sets = s.readSets(a)
	s.sendPrepares(a, g)
	return s.finishRead(a, g)
}

func (s *shard) readSets(a *arrival) []answers {
	sets := []answers{{holders: a.holders}}
	for _, e := range s.decidable(a) {
		holders := e.ranking.Holders(a.hash, fleet.EachDomain)
		if holders != a.holders {
			sets = append(sets, answers{holders: holders})
		}
	}
	return sets
}

// sendPrepares asks the holders. The packet rides to one of those under the list in
// force, whose promise makes a majority with this VM. Only holders under other lists cost
// messages of their own.
func (s *shard) sendPrepares(a *arrival, g *register) {
	first := s.acceptor(a, g)
	asked := []fleet.ID{s.self()}
	for i := range g.read.sets {
		g.read.sets[i].note(s.self())
	}
	if first != 0 {
		asked = append(asked, first)
		s.sendPrepare(a, g, first, a.packet.Bytes())
	}
	for i := range g.read.sets[1:] {
		set := &g.read.sets[1+i]
		for rank := range set.holders.Len() {
			id := set.holders.At(rank)
			if !contains(asked, id) && a.view.alive(id, s.self()) {
				asked = append(asked, id)
				s.sendPrepare(a, g, id, nil)
			}
		}
	}
}

func (s *shard) sendPrepare(a *arrival, g *register, to fleet.ID, inner []byte) {
	s.message = steer.Message{Kind: steer.Prepare, Key: a.key, Ballot: g.promised}
	s.send(a, to, &s.message, inner)
}

// promise takes a holder's answer to a read.
func (s *shard) promise(a *arrival, m *steer.Message) result.Code {
	g := s.registers[a.hash]
	if g == nil || g.key != a.key || g.read == nil || g.read.ballot != m.Ballot {
		return result.Asked
	}
	if m.Decided {
		return s.settleRead(a, g, m.Target)
	}
	if !m.Target.IsZero() && (g.read.target.IsZero() || m.Accepted.Compare(g.read.accepted) > 0) {
		g.read.accepted, g.read.target = m.Accepted, m.Target
	}
	for i := range g.read.sets {
		g.read.sets[i].note(m.From)
	}
	return s.finishRead(a, g)
}

// finishRead proposes once a majority under each list has answered.
func (s *shard) finishRead(a *arrival, g *register) result.Code {
	for i := range g.read.sets {
		if !g.read.sets[i].isMajority() {
			return result.Asked
		}
	}
	r := g.read
	if r.ballot != g.promised || !s.canVote(a) || r.sets[0].holders != a.holders {
		return result.DroppedUndetermined
	}
	g.read = nil
	var p packet.Packet
	if err := p.Parse(r.packet); err != nil {
		return codeOf(err)
	}
	a.packet = &p
	target := r.target
	if target.IsZero() {
		target = s.choose(a, g)
	}
	s.acceptOwn(a, g, r.ballot, target)
	return s.offer(a, g)
}

func (s *shard) settleRead(a *arrival, g *register, target flow.Target) result.Code {
	waiting := g.read
	r := s.settle(a, g, target)
	if waiting == nil {
		return result.Asked
	}
	var p packet.Packet
	if err := p.Parse(waiting.packet); err != nil {
		return codeOf(err)
	}
	a.packet = &p
	s.own(r)
	return s.forward(a, r)
}
