package core

import (
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
)

// maxLookupHops limits how far recently started VMs pass a lookup on to VMs that may know
// earlier member lists.
const maxLookupHops = 8

// startLookup sends a packet without a record to the first VM that may have the record.
// VMs without it pass the packet along the remaining candidates. The first VM with the
// record returns the packet and the record; the last one returns the packet alone.
func (s *shard) startLookup(fc *flowContext, candidates [steer.MaxCandidates]fleet.ID, count int) result.Code {
	if fc.hops >= maxHops {
		return result.DroppedHops
	}
	s.message = steer.Message{Kind: steer.Lookup, Origin: s.self()}
	s.message.Ballot.ListVersion = s.oldestRecentVersion(fc)
	s.message.CandidateCount = uint8(copy(s.message.Candidates[:], candidates[1:count]))
	s.send(fc, candidates[0], &s.message, fc.packet.Bytes())
	return result.Asked
}

// oldestRecentVersion returns the version of the oldest member list whose holders this VM
// includes in lookups.
func (s *shard) oldestRecentVersion(fc *flowContext) uint64 {
	recent := fc.view.recentEpochs(fc.now, s.maxRecordIdle(fc))
	if len(recent) == 0 {
		return fc.view.list().Version()
	}
	return recent[len(recent)-1].ranking.List().Version()
}

// extendLookup adds the holders under member lists that predate those known to the VM that
// started the lookup, because that VM started too recently to have received them.
func (s *shard) extendLookup(fc *flowContext, m *steer.Message) {
	oldest := s.oldestRecentVersion(fc)
	switch {
	case oldest < m.Ballot.ListVersion:
		m.Ballot.ListVersion = oldest
		candidates, count := s.lookupCandidates(fc)
		for _, id := range candidates[:count] {
			addCandidate(m, id)
		}
	case oldest == m.Ballot.ListVersion && m.Hops < maxLookupHops:
		if peer := s.longRunningPeer(fc, s.maxRecordIdle(fc)); peer != 0 {
			addCandidate(m, peer)
		}
	}
}

// addCandidate adds a VM to those that a lookup still visits, unless it is the origin, is
// already listed, or the list of candidates is full.
func addCandidate(m *steer.Message, id fleet.ID) {
	if int(m.CandidateCount) == len(m.Candidates) || id == m.Origin || contains(m.Candidates[:m.CandidateCount], id) {
		return
	}
	m.Candidates[m.CandidateCount] = id
	m.CandidateCount++
}

// handleLookup returns the record to the origin of a lookup or passes the lookup on.
func (s *shard) handleLookup(fc *flowContext, m *steer.Message) result.Code {
	if r := s.flows.Get(fc.hash, &fc.key); r != nil && s.isTargetValid(fc, r) && !r.has(refusedByTarget) {
		s.message = steer.Message{Kind: steer.Found, TableVersion: uint64(r.tableVersion), Target: r.target, Decided: r.has(decided)}
		s.send(fc, m.Origin, &s.message, fc.packet.Bytes())
		return result.Asked
	}
	s.extendLookup(fc, m)
	s.message = steer.Message{Kind: steer.NotFound}
	to := m.Origin
	if m.CandidateCount > 0 {
		s.message = steer.Message{Kind: steer.Lookup, Origin: m.Origin, Ballot: m.Ballot}
		s.message.CandidateCount = uint8(copy(s.message.Candidates[:], m.Candidates[1:m.CandidateCount]))
		to = m.Candidates[0]
	}
	s.send(fc, to, &s.message, fc.packet.Bytes())
	return result.Asked
}

// handleFound stores a record that a lookup returned and forwards the packet.
func (s *shard) handleFound(fc *flowContext, m *steer.Message) result.Code {
	r, code := s.storeRecord(fc, m)
	if r == nil {
		return code
	}
	if s.owner(fc) == s.self() {
		s.takeOwnership(r)
	}
	return s.forward(fc, r)
}

// handleNotFound handles a packet whose lookup found no record.
func (s *shard) handleNotFound(fc *flowContext) result.Code {
	if r := s.flows.Get(fc.hash, &fc.key); r != nil {
		return s.forward(fc, r)
	}
	if s.owner(fc) != s.self() {
		return result.DroppedUnknownFlow
	}
	if !mayOpen(fc) {
		return s.handleUnknownFlow(fc)
	}
	if !fc.route.Repeatable() {
		return s.propose(fc)
	}
	return s.place(fc)
}
