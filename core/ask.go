package core

import (
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
)

// ask passes a packet without a record along the VMs that may have one. The first that
// does returns it with the record, and the last returns it without.
func (s *shard) ask(a *arrival, trail [steer.MaxTrail]fleet.ID, count int) result.Code {
	if a.hops >= maxHops {
		return result.DroppedHops
	}
	s.message = steer.Message{Kind: steer.Ask, Origin: s.self()}
	s.message.TrailLength = uint8(copy(s.message.Trail[:], trail[1:count]))
	s.send(a, trail[0], &s.message, a.packet.Bytes())
	return result.Asked
}

// asked answers with the record or passes the question on.
func (s *shard) asked(a *arrival, m *steer.Message) result.Code {
	if r := s.flows.Get(a.hash, &a.key); r != nil && s.isUsable(a, r) && !r.has(refused) {
		s.message = steer.Message{Kind: steer.Found, Table: uint64(r.table), Target: r.target, Decided: r.has(decided)}
		s.send(a, m.Origin, &s.message, a.packet.Bytes())
		return result.Asked
	}
	s.message = steer.Message{Kind: steer.NotFound}
	to := m.Origin
	if m.TrailLength > 0 {
		s.message = steer.Message{Kind: steer.Ask, Origin: m.Origin}
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
	if !mayOpen(a) {
		return s.unknown(a)
	}
	if !a.route.Repeatable() {
		return s.propose(a)
	}
	return s.place(a)
}
