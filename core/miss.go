package core

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
)

// handleMiss handles a packet that has no record at the owner of its flow.
func (s *shard) handleMiss(fc *flowContext) result.Code {
	if mayOpen(fc) && s.node.isPaused(fc.now, fc.view) {
		return result.DroppedUndetermined
	}
	if !fc.route.Repeatable() {
		return s.handleNonRepeatableMiss(fc)
	}
	candidates, count := s.lookupCandidates(fc)
	if count > 0 && (!mayOpen(fc) || !s.isCertainlyNew(fc)) {
		return s.startLookup(fc, candidates, count)
	}
	if !mayOpen(fc) {
		return s.handleUnknownFlow(fc)
	}
	return s.place(fc)
}

// isCertainlyNew reports whether a flow without a local record has none on any VM. That is
// so if this VM ranks first, did so under every recent member list, and was neither
// restarted nor considered dead recently.
func (s *shard) isCertainlyNew(fc *flowContext) bool {
	if fc.holders.At(0) != s.self() {
		return false
	}
	span := s.uncertaintyWindow(fc)
	if fc.now < fc.view.uncertainSince+span {
		return false
	}
	for _, e := range fc.view.recentEpochs(fc.now, span) {
		earlier := e.ranking.Holders(fc.hash, spreadOf(fc.route.Repeatable()))
		if earlier.Len() > 0 && earlier.At(0) != s.self() {
			return false
		}
	}
	return true
}

// uncertaintyWindow returns how long after a change a packet may belong to a flow that was
// placed before the change.
func (s *shard) uncertaintyWindow(fc *flowContext) clock.Millis {
	if fc.key.Protocol() == flow.UDP {
		return fc.route.IdleTimeout()
	}
	return s.node.options.OpeningLifetime
}

// lookupCandidates returns the other VMs that may have the record: the live holders under
// the current and the recent member lists.
func (s *shard) lookupCandidates(fc *flowContext) (candidates [steer.MaxCandidates]fleet.ID, count int) {
	add := func(holders *fleet.Holders) {
		for i := range holders.Len() {
			id := holders.At(i)
			if count < len(candidates) && id != s.self() && fc.view.alive(id, s.self()) && !contains(candidates[:count], id) {
				candidates[count] = id
				count++
			}
		}
	}
	add(&fc.holders)
	span := s.maxRecordIdle(fc)
	if peer := s.longRunningPeer(fc, span); peer != 0 && !contains(candidates[:count], peer) {
		candidates[count] = peer
		count++
	}
	for _, e := range fc.view.recentEpochs(fc.now, span) {
		earlier := e.ranking.Holders(fc.hash, spreadOf(fc.route.Repeatable()))
		add(&earlier)
	}
	return candidates, count
}

// maxRecordIdle returns how long a record may be kept without a packet.
func (s *shard) maxRecordIdle(fc *flowContext) clock.Millis {
	return max(fc.route.IdleTimeout(), s.node.options.OpeningLifetime)
}

// maxPeerDraws limits the search for a VM that has not started recently.
const maxPeerDraws = 8

// longRunningPeer returns a VM outside quarantine, which may know member lists from before
// this process started, or 0 if none is found. It returns 0 once this process has been
// running for span, the time for which idle records are kept. The choice depends on the VM
// that makes it, so that a lookup passed from VM to VM soon reaches one that knows earlier
// lists.
func (s *shard) longRunningPeer(fc *flowContext, span clock.Millis) fleet.ID {
	if fc.now >= s.node.options.StartTime+span {
		return 0
	}
	vms := fc.view.list().VMs()
	for i := range min(maxPeerDraws, len(vms)) {
		id := vms[(fc.hash^uint64(s.self())+uint64(i))%uint64(len(vms))].ID()
		if id != s.self() && fc.view.alive(id, s.self()) && !fc.view.peers.find(id).Quarantined {
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

// handleUnknownFlow handles a packet from the middle of a flow that no VM knows.
func (s *shard) handleUnknownFlow(fc *flowContext) result.Code {
	if s.node.options.Defect == DefectResetUnknownFlow {
		return s.sendRefusal(fc)
	}
	if !fc.route.HashesUnknownFlows() || !fc.route.Repeatable() {
		return result.DroppedUnknownFlow
	}
	target := s.hashTarget(fc)
	if target.IsZero() {
		return result.DroppedUnknownFlow
	}
	r := s.insertRecord(fc, target)
	if r == nil {
		return result.DroppedTableFull
	}
	s.takeOwnership(r)
	return s.forward(fc, r)
}

// hashTarget returns the target that the flow's hash selects among the hosts of the pool.
func (s *shard) hashTarget(fc *flowContext) flow.Target {
	var best flow.Target
	var bestScore uint64
	hosts := fc.route.Pool().Hosts()
	for i := range hosts {
		score := fleet.RendezvousScore(fc.hash, fleet.ID(hosts[i].ID()))
		if best.IsZero() || score > bestScore {
			best, bestScore = hosts[i].Target(), score
		}
	}
	return best
}
