package core

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
)

// conflictWindow is the time since its last use within which a local record takes
// precedence over a conflicting one that another VM sent.
const conflictWindow = 30 * clock.Second

// Layout of record.copies. The low bits mark the ranks of the holders that were sent a copy
// since the last change of a holder; the bits from previousCopiesShift on mark those that
// were sent one before.
const (
	currentCopiesMask   = 1<<fleet.HolderCount - 1
	previousCopiesShift = 4
)

// nextCopyHolder selects a live holder without a copy of the record, marks it as having one
// and returns it, or returns 0. All copies are sent again after a holder has changed and
// when a refresh is due.
func (s *shard) nextCopyHolder(fc *flowContext, r *record) fleet.ID {
	if s.node.options.NoCopies || s.node.options.Defect == DefectNoCopies {
		return 0
	}
	signature := fc.view.holderSignature(&fc.holders)
	if r.signature != signature {
		r.signature = signature
		r.copies = s.carryOverCopies(fc, r)
		r.copyRounds = 0
	}
	if s.isRefreshDue(fc.now, r) {
		r.copies = 0
	}
	rank := s.rankWithoutCopy(fc, r)
	if rank < 0 {
		return 0
	}
	s.markCopied(fc, r, rank)
	return fc.holders.At(rank)
}

// carryOverCopies returns the record's copies as previous copies, with the ranks
// translated from the member list at the time of the last copy to the current one.
func (s *shard) carryOverCopies(fc *flowContext, r *record) uint8 {
	previousHolders := fc.view.epochAt(r.lastCopied).ranking.Holders(fc.hash, spreadOf(fc.route.Repeatable()))
	var carried uint8
	for rank := range fc.holders.Len() {
		previousRank := previousHolders.Rank(fc.holders.At(rank))
		if previousRank >= 0 && r.copies&(1<<previousRank) != 0 {
			carried |= 1 << (rank + previousCopiesShift)
		}
	}
	return carried
}

// rankWithoutCopy returns the rank of a live holder without a current copy, or -1. It
// prefers holders that had no copy before the last change of a holder, because the others
// may still have theirs.
func (s *shard) rankWithoutCopy(fc *flowContext, r *record) int {
	fallback, otherHolders := -1, 0
	for i := range fc.holders.Len() {
		id := fc.holders.At(i)
		if id == s.self() {
			continue
		}
		if otherHolders == s.node.options.Copies {
			break
		}
		otherHolders++
		if r.copies&(1<<i) != 0 || !fc.view.alive(id, s.self()) {
			continue
		}
		if r.copies&(1<<(i+previousCopiesShift)) == 0 {
			return i
		}
		if fallback < 0 {
			fallback = i
		}
	}
	return fallback
}

// markCopied records that the holder of a rank is being sent a copy.
func (s *shard) markCopied(fc *flowContext, r *record, rank int) {
	if r.copies&currentCopiesMask == 0 {
		r.copyRounds = min(r.copyRounds+1, 2)
	}
	r.copies |= 1 << rank
	r.lastCopied = fc.now
}

// isRefreshDue reports whether all copies of a record should be sent again.
func (s *shard) isRefreshDue(now clock.Millis, r *record) bool {
	if r.copies&currentCopiesMask == 0 {
		return false
	}
	if r.copyRounds == 1 {
		return now-r.lastCopied >= firstRefresh
	}
	return now-r.lastCopied >= clock.Millis(r.idleTimeout)/refreshesPerTimeout
}

// forwardVia sends the packet through a holder, which stores the record and forwards the
// packet to the target.
func (s *shard) forwardVia(fc *flowContext, r *record, to fleet.ID) result.Code {
	s.message = steer.Message{Kind: steer.Copy, TableVersion: uint64(r.tableVersion), Target: r.target, Decided: r.has(decided)}
	s.send(fc, to, &s.message, fc.packet.Bytes())
	return result.Forwarded
}

// handleCopy stores the record that came with a packet and forwards the packet.
func (s *shard) handleCopy(fc *flowContext, m *steer.Message) result.Code {
	r, code := s.storeRecord(fc, m)
	if r == nil {
		fc.packet.SetDestination(m.Target.Endpoint())
		fc.sink.SendToFabric(fc.packet.Bytes())
		return code
	}
	r.observe(fc.now, fc.packet, fc.key.Protocol())
	fc.packet.SetDestination(r.target.Endpoint())
	fc.sink.SendToFabric(fc.packet.Bytes())
	return result.CopyStored
}

// handleRepair stores a record that came without a packet.
func (s *shard) handleRepair(fc *flowContext, m *steer.Message) result.Code {
	r, code := s.storeRecord(fc, m)
	if r == nil {
		return code
	}
	return result.CopyStored
}

// storeRecord stores the record in a message. If a conflicting local record takes
// precedence, that one is kept and sent to the sender.
func (s *shard) storeRecord(fc *flowContext, m *steer.Message) (*record, result.Code) {
	r := s.flows.Get(fc.hash, &fc.key)
	if r == nil {
		r = s.insertRecord(fc, m.Target)
		if r == nil {
			return nil, result.DroppedTableFull
		}
		r.tableVersion = uint32(m.TableVersion)
		s.adoptDecision(fc, r, m)
		return r, result.CopyStored
	}
	if r.target == m.Target {
		r.lastSeen = fc.now
		s.adoptDecision(fc, r, m)
		s.yieldOwnership(fc, r, m)
		return r, result.CopyStored
	}
	if s.keepsOwnRecord(fc, r, m) {
		s.sendCorrection(fc, r, m.From)
		return r, result.CopyStored
	}
	s.releaseOwnership(r)
	r.initialize(fc.now, fc.route, m.Target, m.TableVersion, s.node.options.OpeningLifetime)
	r.copies = 0
	s.adoptDecision(fc, r, m)
	return r, result.CopyStored
}

// adoptDecision marks a record as decided and ends this VM's own proposal for the flow.
func (s *shard) adoptDecision(fc *flowContext, r *record, m *steer.Message) {
	if !m.Decided {
		return
	}
	r.set(decided, true)
	inst := s.instances[fc.hash]
	if inst == nil || inst.key != fc.key {
		return
	}
	delete(s.instances, fc.hash)
	switch {
	case !inst.counted:
	case inst.target == r.target && !r.has(counted):
		s.markPlaced(r)
	default:
		s.node.options.Placer.RemoveFlow(inst.target.ID())
	}
}

// yieldOwnership releases a flow that is now owned by the sender of a copy.
func (s *shard) yieldOwnership(fc *flowContext, r *record, m *steer.Message) {
	if r.has(owned) && s.owner(fc) == m.From {
		s.releaseOwnership(r)
	}
}

// keepsOwnRecord reports whether the local record takes precedence over a conflicting one
// from another VM. A decided record always does. Otherwise a record in recent use does,
// unless the message is a correction.
func (s *shard) keepsOwnRecord(fc *flowContext, r *record, m *steer.Message) bool {
	if r.has(decided) || m.Decided {
		return r.has(decided)
	}
	isCorrection := m.Kind == steer.Repair && m.Origin != 0
	return r.has(forwarded) && fc.now-r.lastSeen < conflictWindow && !isCorrection
}

// sendCorrection sends the local record to a VM that has a conflicting one. Setting Origin
// marks the message as a correction, which replaces the receiver's record even if that is
// in use, unless it is decided. A plain repair, which may come from a previous owner, does
// not.
func (s *shard) sendCorrection(fc *flowContext, r *record, to fleet.ID) {
	s.message = steer.Message{
		Kind:         steer.Repair,
		TableVersion: uint64(r.tableVersion),
		Key:          fc.key,
		Target:       r.target,
		Decided:      r.has(decided),
		Origin:       s.self(),
	}
	s.send(fc, to, &s.message, nil)
}

// sendRecord sends a record without a packet. It reports false if the rate limit does not
// allow the message.
func (s *shard) sendRecord(fc *flowContext, r *record, to fleet.ID) bool {
	s.message = steer.Message{Kind: steer.Repair, TableVersion: uint64(r.tableVersion), Key: fc.key, Target: r.target, Decided: r.has(decided)}
	return s.send(fc, to, &s.message, nil)
}
