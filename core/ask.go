package core

import (
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
)

// maxAskHops bounds how far VMs that started of late pass a question on to others that
// may know more.
const maxAskHops = 8

// ask passes a packet without a record along the VMs that may have one. The first that
// does returns it with the record, and the last returns it without.
func (s *shard) ask(a *arrival, trail [steer.MaxTrail]fleet.ID, count int) result.Code {
	if a.hops >= maxHops {
		return result.DroppedHops
	}
	s.message = steer.Message{Kind: steer.Ask, Origin: s.self()}
	s.message.Ballot.List = s.oldestList(a)
	s.message.TrailLength = uint8(copy(s.message.Trail[:], trail[1:count]))
	s.send(a, trail[0], &s.message, a.packet.Bytes())
	return result.Asked
}

// oldestList is the version of the oldest list whose holders this VM asks.
func (s *shard) oldestList(a *arrival) uint64 {
	recent := a.view.recent(a.now, s.recordSpan(a))
	if len(recent) == 0 {
		return a.view.list().Version()
	}
	return recent[len(recent)-1].ranking.List().Version()
}

// extend adds the holders under lists that were in force before those that the VM which
// asks knows of. It started too recently to have seen them.
func (s *shard) extend(a *arrival, m *steer.Message) {
	oldest := s.oldestList(a)
	switch {
	case oldest < m.Ballot.List:
		m.Ballot.List = oldest
		trail, count := s.candidates(a)
		for _, id := range trail[:count] {
			addToTrail(m, id)
		}
	case oldest == m.Ballot.List && m.Hops < maxAskHops:
		if elder := s.elder(a, s.recordSpan(a)); elder != 0 {
			addToTrail(m, elder)
		}
	}
}

func addToTrail(m *steer.Message, id fleet.ID) {
	if int(m.TrailLength) == len(m.Trail) || id == m.Origin || contains(m.Trail[:m.TrailLength], id) {
		return
	}
	m.Trail[m.TrailLength] = id
	m.TrailLength++
}

// asked answers with the record or passes the question on.
func (s *shard) asked(a *arrival, m *steer.Message) result.Code {
	if r := s.flows.Get(a.hash, &a.key); r != nil && s.isUsable(a, r) && !r.has(refused) {
		s.message = steer.Message{Kind: steer.Found, Table: uint64(r.table), Target: r.target, Decided: r.has(decided)}
		s.send(a, m.Origin, &s.message, a.packet.Bytes())
		return result.Asked
	}
	s.extend(a, m)
	s.message = steer.Message{Kind: steer.NotFound}
	to := m.Origin
	if m.TrailLength > 0 {
		s.message = steer.Message{Kind: steer.Ask, Origin: m.Origin, Ballot: m.Ballot}
		s.message.TrailLength = uint8(copy(s.message.Trail[:], m.Trail[1:m.TrailLength]))
		to = m.Trail[0]
	}
	s.send(a, to, &s.message, a.packet.Bytes())
	return result.Asked
}

// found takes over a record that another VM returned and forwards the packet.
func (s *shard) found(a *arrival, m *steer.Message) result.Code {
	r, code := s.store(a, m)
	if r == nil {
		return code
	}
	if s.owner(a) == s.self() {
		s.own(r)
	}
	return s.forward(a, r)
}

// notFound handles the return of a packet that no other VM knows.
func (s *shard) notFound(a *arrival) result.Code {
	if r := s.flows.Get(a.hash, &a.key); r != nil {
		return s.forward(a, r)
	}
	if s.owner(a) != s.self() {
		return result.DroppedUnknownFlow
	}
	if !mayOpen(a) {
		return s.unknown(a)
	}
	if !a.route.Repeatable() {
		return s.propose(a)
	}
	return s.place(a)
}
