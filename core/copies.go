package core

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
)

// conflictSpan is how recently a record must have been used to win over a different one
// that a copy brings.
const conflictSpan = 30 * clock.Second

// Bits of a record's copies: those under the present state of the holders, and those
// before it changed last.
const (
	currentCopies = 1<<fleet.HolderCount - 1
	olderCopies   = 4
)

// nextCopy returns the first live holder that has no copy of a record, or 0. It starts
// over when a holder changed and from time to time.
func (s *shard) nextCopy(a *arrival, r *record) fleet.ID {
	if s.node.options.NoCopies || s.node.options.Breakage == BreakCopies {
		return 0
	}
	signature := a.view.signature(&a.holders)
	if r.signature != signature {
		r.signature = signature
		r.copies = s.carriedOver(a, r)
		r.rounds = 0
	}
	if s.isRefreshDue(a.now, r) {
		r.copies = 0
	}
	rank := s.lacking(a, r)
	if rank < 0 {
		return 0
	}
	s.noteCopy(a, r, rank)
	return a.holders.At(rank)
}

// carriedOver returns the copies of a record as older ones of the holders under the list in
// force, whose ranks may differ from those under the list that was in force before.
func (s *shard) carriedOver(a *arrival, r *record) uint8 {
	before := a.view.epochAt(r.copied).ranking.Holders(a.hash, spreadOf(a.route.Repeatable()))
	var older uint8
	for rank := range a.holders.Len() {
		old := before.Rank(a.holders.At(rank))
		if old >= 0 && r.copies&(1<<old) != 0 {
			older |= 1 << (rank + olderCopies)
		}
	}
	return older
}

// lacking returns the rank of a live holder without a copy, or -1. Holders that had none
// before the last change of a holder come first, since the others may still have theirs.
func (s *shard) lacking(a *arrival, r *record) int {
	best, others := -1, 0
	for i := range a.holders.Len() {
		id := a.holders.At(i)
		if id == s.self() {
			continue
		}
		if others == s.node.options.Copies {
			break
		}
		others++
		if r.copies&(1<<i) != 0 || !a.view.alive(id, s.self()) {
			continue
		}
		if r.copies&(1<<(i+olderCopies)) == 0 {
			return i
		}
		if best < 0 {
			best = i
		}
	}
	return best
}

func (s *shard) noteCopy(a *arrival, r *record, rank int) {
	if r.copies&currentCopies == 0 {
		r.rounds = min(r.rounds+1, 2)
	}
	r.copies |= 1 << rank
	r.copied = a.now
}

func (s *shard) isRefreshDue(now clock.Millis, r *record) bool {
	if r.copies&currentCopies == 0 {
		return false
	}
	if r.rounds == 1 {
		return now-r.copied >= firstRefresh
	}
	return now-r.copied >= clock.Millis(r.idle)/refreshesPerTimeout
}

// forwardBy sends the packet through a holder that stores the record on the way.
func (s *shard) forwardBy(a *arrival, r *record, to fleet.ID) result.Code {
	s.message = steer.Message{Kind: steer.Copy, Table: uint64(r.table), Target: r.target, Decided: r.has(decided)}
	s.send(a, to, &s.message, a.packet.Bytes())
	return result.Forwarded
}

// copied stores a record that a packet carries and forwards the packet.
func (s *shard) copied(a *arrival, m *steer.Message) result.Code {
	r, code := s.store(a, m)
	if r == nil {
		a.packet.SetDestination(m.Target.Endpoint())
		a.sink.Fabric(a.packet.Bytes())
		return code
	}
	r.observe(a.now, a.packet, a.key.Protocol())
	a.packet.SetDestination(r.target.Endpoint())
	a.sink.Fabric(a.packet.Bytes())
	return result.CopyStored
}

// repaired stores a record that came without a packet.
func (s *shard) repaired(a *arrival, m *steer.Message) result.Code {
	r, code := s.store(a, m)
	if r == nil {
		return code
	}
	return result.CopyStored
}

// store keeps the record of a message. Where a different record is in use here, that one
// stays and the sender is told of it.
func (s *shard) store(a *arrival, m *steer.Message) (*record, result.Code) {
	r := s.flows.Get(a.hash, &a.key)
	if r == nil {
		r = s.insert(a, m.Target)
		if r == nil {
			return nil, result.DroppedTableFull
		}
		r.table = uint32(m.Table)
		s.adopt(a, r, m)
		return r, result.CopyStored
	}
	if r.target == m.Target {
		r.seen = a.now
		s.adopt(a, r, m)
		s.yield(a, r, m)
		return r, result.CopyStored
	}
	if s.keepsOwn(a, r, m) {
		s.correct(a, r, m.From)
		return r, result.CopyStored
	}
	s.disown(r)
	r.initialize(a.now, a.route, m.Target, m.Table, s.node.options.OpeningLifetime)
	r.copies = 0
	s.adopt(a, r, m)
	return r, result.CopyStored
}

// adopt notes that the target of a record is decided. A proposal of this VM's own ends.
func (s *shard) adopt(a *arrival, r *record, m *steer.Message) {
	if !m.Decided {
		return
	}
	r.set(decided, true)
	g := s.registers[a.hash]
	if g == nil || g.key != a.key {
		return
	}
	delete(s.registers, a.hash)
	switch {
	case !g.counted:
	case g.target == r.target && !r.has(counted):
		s.placed(r)
	default:
		s.node.options.Placer.Closed(g.target.ID())
	}
}

// yield ends this VM's count of a flow that the sender of a copy now serves.
func (s *shard) yield(a *arrival, r *record, m *steer.Message) {
	if r.has(owned) && s.owner(a) == m.From {
		s.disown(r)
	}
}

// keepsOwn decides between two records of one flow. A decided one never gives way, and a
// record in use wins over one that is not.
func (s *shard) keepsOwn(a *arrival, r *record, m *steer.Message) bool {
	if r.has(decided) || m.Decided {
		return r.has(decided)
	}
	isCorrection := m.Kind == steer.Repair && m.Origin != 0
	return r.has(served) && a.now-r.seen < conflictSpan && !isCorrection
}

// correct tells the sender of a record that another one is in use. It gives way to it,
// which it would not to a repair by a VM that once owned the flow.
func (s *shard) correct(a *arrival, r *record, to fleet.ID) {
	s.message = steer.Message{
		Kind: steer.Repair, Table: uint64(r.table), Key: a.key, Target: r.target, Decided: r.has(decided), Origin: s.self(),
	}
	s.send(a, to, &s.message, nil)
}

// tell sends a record without a packet. It reports false where the budget forbids it.
func (s *shard) tell(a *arrival, r *record, to fleet.ID) bool {
	s.message = steer.Message{Kind: steer.Repair, Table: uint64(r.table), Key: a.key, Target: r.target, Decided: r.has(decided)}
	return s.send(a, to, &s.message, nil)
}
