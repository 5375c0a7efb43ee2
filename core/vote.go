package core

import (
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
)

// vote handles the messages of a read, with the packet or without it.
func (s *shard) vote(a *arrival, m *steer.Message) result.Code {
	switch m.Kind {
	case steer.Prepare:
		return s.prepare(a, m)
	case steer.Promise:
		return s.promise(a, m)
	default:
		return s.rejected(a, m)
	}
}

// prepare answers a proposer's read at a holder.
func (s *shard) prepare(a *arrival, m *steer.Message) result.Code {
	if r := s.flows.Get(a.hash, &a.key); r != nil && r.has(decided) {
		return s.reply(a, m.From, steer.Message{Kind: steer.Promise, Ballot: m.Ballot, Target: r.target, Decided: true})
	}
	if !s.sharesHolders(a, m) || s.isQuarantined(a, s.self()) {
		return s.reply(a, m.From, steer.Message{Kind: steer.Reject})
	}
	if a.holders.Rank(s.self()) >= 0 {
		return s.votePrepare(a, m)
	}
	answer := steer.Message{Kind: steer.Promise, Ballot: m.Ballot}
	if g := s.registers[a.hash]; g != nil && g.key == a.key {
		answer.Accepted, answer.Target, answer.Table = g.accepted, g.target, g.table
	}
	return s.reply(a, m.From, answer)
}

func (s *shard) votePrepare(a *arrival, m *steer.Message) result.Code {
	g := s.registerFor(a)
	if g == nil || !s.canVote(a) {
		return s.reply(a, m.From, steer.Message{Kind: steer.Reject})
	}
	if m.Ballot.Compare(g.promised) < 0 {
		return s.reply(a, m.From, steer.Message{Kind: steer.Reject, Ballot: g.promised})
	}
	g.promised = m.Ballot
	g.touched = a.now
	answer := steer.Message{Kind: steer.Promise, Ballot: m.Ballot}
	answer.Accepted, answer.Target, answer.Table = g.accepted, g.target, g.table
	return s.reply(a, m.From, answer)
}

// reply answers a message. A packet that rode on it rides back.
func (s *shard) reply(a *arrival, to fleet.ID, answer steer.Message) result.Code {
	s.message = answer
	s.message.Key = a.key
	var inner []byte
	if a.packet != nil {
		inner = a.packet.Bytes()
	}
	s.send(a, to, &s.message, inner)
	return result.Asked
}

// accept votes for a proposal at a holder. With the proposer's own acceptance it is a
// majority of up to three, so that the target is decided and the packet forwarded.
func (s *shard) accept(a *arrival, m *steer.Message) result.Code {
	if r := s.flows.Get(a.hash, &a.key); r != nil && r.has(decided) {
		return s.acceptDecided(a, m, r)
	}
	g := s.registerFor(a)
	if g == nil || !s.mayAccept(a, m) {
		return s.reply(a, m.From, steer.Message{Kind: steer.Reject})
	}
	if m.Ballot.Compare(g.promised) < 0 || s.contradicts(g, m) {
		return s.reply(a, m.From, steer.Message{Kind: steer.Reject, Ballot: g.promised})
	}
	g.promised, g.accepted, g.target = m.Ballot, m.Ballot, m.Target
	s.noteSettled(a, m.From)
	return s.forward(a, s.settle(a, g, m.Target))
}

// contradicts reports whether a proposal of the round without reading meets another one.
func (s *shard) contradicts(g *register, m *steer.Message) bool {
	return m.Ballot.IsZero() && !g.target.IsZero() && g.target != m.Target
}

func (s *shard) mayAccept(a *arrival, m *steer.Message) bool {
	if !s.sharesHolders(a, m) || a.holders.Rank(s.self()) < 0 || !s.canVote(a) {
		return false
	}
	if m.Ballot.IsZero() && !s.isUnchanged(a) {
		return false
	}
	return s.isServed(a, m)
}

// isServed reports whether the proposed target belongs to the route, as far as the tables
// in force here can tell: a proposer with newer tables is believed.
func (s *shard) isServed(a *arrival, m *steer.Message) bool {
	if m.Target.ID() == refusal || m.Table > a.view.tables.Version() {
		return true
	}
	destination, ok := a.view.tables.Reply(m.Target.Endpoint(), a.key.Protocol())
	return ok && destination == a.key.Destination()
}

func (s *shard) acceptDecided(a *arrival, m *steer.Message, r *record) result.Code {
	if r.target == m.Target {
		s.noteSettled(a, m.From)
	} else {
		s.tell(a, r, m.From)
	}
	return s.forward(a, r)
}

// rejected takes the refusal of a vote. The packet, or else the client's retransmission,
// starts over.
func (s *shard) rejected(a *arrival, m *steer.Message) result.Code {
	g := s.registers[a.hash]
	if g == nil || g.key != a.key {
		return result.Asked
	}
	if m.Decided {
		s.settleRead(a, g, m.Target)
		return result.Asked
	}
	if m.Ballot.Compare(g.promised) > 0 {
		g.promised = m.Ballot
		g.read = nil
	}
	if a.packet != nil && a.hops < maxHops {
		return s.propose(a)
	}
	return result.Asked
}
