package core

import (
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
)

// handleNonRepeatableMiss handles a packet of a non-repeatable flow without a record. If
// this VM may not decide the target, it asks other VMs, which may know an earlier
// decision.
func (s *shard) handleNonRepeatableMiss(fc *flowContext) result.Code {
	if mayOpen(fc) && s.mayPropose(fc) {
		return s.propose(fc)
	}
	candidates, count := s.lookupCandidates(fc)
	if count == 0 {
		return result.DroppedUnknownFlow
	}
	return s.startLookup(fc, candidates, count)
}

// mayPropose reports whether this VM may propose a target for the flow.
func (s *shard) mayPropose(fc *flowContext) bool { return s.canVote(fc) && s.knowsDecidableEpochs(fc) }

// propose takes the next step towards deciding the target of a flow.
func (s *shard) propose(fc *flowContext) result.Code {
	if !s.mayPropose(fc) {
		return result.DroppedUndetermined
	}
	inst := s.instances[fc.hash]
	if inst != nil && inst.key != fc.key {
		return result.DroppedUndetermined
	}
	if inst == nil {
		if len(s.instances) >= maxInstances || s.isFull() {
			return result.DroppedTableFull
		}
		inst = s.newInstance(fc)
		if fc.holders.At(0) == s.self() && s.holdersUnchanged(fc) {
			s.acceptOwnProposal(fc, inst, steer.Ballot{}, s.chooseTarget(fc, inst))
		}
	}
	if inst.proposed && inst.holders == fc.holders && inst.accepted.Compare(inst.promised) >= 0 {
		return s.sendProposal(fc, inst)
	}
	return s.startPrepare(fc, inst)
}

// chooseTarget asks the Placer for a target to propose. If there is none, it proposes
// refusedTargetID, so that a refusal is only sent once it has been decided like any other
// target.
func (s *shard) chooseTarget(fc *flowContext, inst *instance) flow.Target {
	target, code := s.node.options.Placer.Place(fc.now, fc.route, fc.hash, 0)
	if code != result.Placed {
		return flow.NewTarget(refusedTargetID, flow.Endpoint{})
	}
	inst.counted = true
	return target
}

// acceptOwnProposal accepts a target that this VM is about to propose.
func (s *shard) acceptOwnProposal(fc *flowContext, inst *instance, ballot steer.Ballot, target flow.Target) {
	inst.promised = ballot
	inst.accepted = ballot
	inst.target = target
	inst.tableVersion = fc.view.tables.Version()
	inst.proposed = true
	inst.holders = fc.holders
	inst.lastUsed = fc.now
}

// sendProposal sends the packet with the proposal to another holder, whose acceptance
// decides the target.
func (s *shard) sendProposal(fc *flowContext, inst *instance) result.Code {
	if fc.holders.Majority() == 1 || s.node.options.Defect == DefectNoMajority {
		return s.forward(fc, s.decide(fc, inst, inst.target))
	}
	to := s.nextAcceptor(fc, inst)
	if to == 0 {
		return result.DroppedUndetermined
	}
	inst.lastUsed = fc.now
	s.message = steer.Message{Kind: steer.Accept, TableVersion: inst.tableVersion, Target: inst.target, Ballot: inst.accepted}
	s.send(fc, to, &s.message, fc.packet.Bytes())
	return result.Asked
}

// nextAcceptor returns a live holder that may vote, a different one on each attempt, or 0.
func (s *shard) nextAcceptor(fc *flowContext, inst *instance) fleet.ID {
	var eligible []fleet.ID
	for i := range fc.holders.Len() {
		id := fc.holders.At(i)
		if id != s.self() && fc.view.alive(id, s.self()) && !s.isQuarantined(fc, id) {
			eligible = append(eligible, id)
		}
	}
	if len(eligible) == 0 {
		return 0
	}
	inst.attempts++
	return eligible[(inst.attempts-1)%len(eligible)]
}
