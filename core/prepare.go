package core

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
)

// preparePhase is the first phase of a proposal, which asks the holders for the target
// that they have accepted, if any.
type preparePhase struct {
	ballot   steer.Ballot
	quorums  []quorum
	accepted steer.Ballot
	target   flow.Target
	packet   []byte
	started  clock.Millis
}

// quorum tracks the promises of the holders under one member list.
type quorum struct {
	holders  fleet.Holders
	promised uint8 // bit set of ranks
}

func (q *quorum) addPromise(id fleet.ID) {
	if rank := q.holders.Rank(id); rank >= 0 {
		q.promised |= 1 << rank
	}
}

func (q *quorum) hasMajority() bool {
	count := 0
	for rank := range q.holders.Len() {
		if q.promised&(1<<rank) != 0 {
			count++
		}
	}
	return count >= q.holders.Majority()
}

// startPrepare asks the holders under the current member list for a promise, and the
// holders under earlier lists for the targets that they have accepted.
func (s *shard) startPrepare(fc *flowContext, inst *instance) result.Code {
	if inst.prepare != nil && fc.now-inst.prepare.started < prepareRetry {
		inst.prepare.packet = append(inst.prepare.packet[:0], fc.packet.Bytes()...)
		return result.Asked
	}
	round := uint16(1)
	if inst.promised.ListVersion == fc.view.list().Version() {
		round = inst.promised.Round + 1
	}
	inst.promised = steer.Ballot{ListVersion: fc.view.list().Version(), Round: round, VM: s.self()}
	inst.proposed = false
	inst.lastUsed = fc.now
	inst.prepare = &preparePhase{ballot: inst.promised, accepted: inst.accepted, target: inst.target, started: fc.now}
	inst.prepare.packet = append(inst.prepare.packet, fc.packet.Bytes()...)
	inst.prepare.quorums = s.prepareQuorums(fc)
	s.sendPrepares(fc, inst)
	return s.finishPrepare(fc, inst)
}

// prepareQuorums returns the quorums whose promises are needed: that of the current
// holders first, then those of different holders under earlier member lists.
func (s *shard) prepareQuorums(fc *flowContext) []quorum {
	quorums := []quorum{{holders: fc.holders}}
	for _, e := range s.decidableEpochs(fc) {
		holders := e.ranking.Holders(fc.hash, fleet.DistinctDomains)
		if holders != fc.holders {
			quorums = append(quorums, quorum{holders: holders})
		}
	}
	return quorums
}

// sendPrepares sends the Prepare messages. The packet is sent along with the message to
// one holder under the current member list, whose promise forms a majority together with
// that of this VM. Only holders under earlier lists are sent separate messages.
func (s *shard) sendPrepares(fc *flowContext, inst *instance) {
	acceptor := s.nextAcceptor(fc, inst)
	asked := []fleet.ID{s.self()}
	for i := range inst.prepare.quorums {
		inst.prepare.quorums[i].addPromise(s.self())
	}
	if acceptor != 0 {
		asked = append(asked, acceptor)
		s.sendPrepare(fc, inst, acceptor, fc.packet.Bytes())
	}
	for i := range inst.prepare.quorums[1:] {
		quorum := &inst.prepare.quorums[1+i]
		for rank := range quorum.holders.Len() {
			id := quorum.holders.At(rank)
			if !contains(asked, id) && fc.view.alive(id, s.self()) {
				asked = append(asked, id)
				s.sendPrepare(fc, inst, id, nil)
			}
		}
	}
}

func (s *shard) sendPrepare(fc *flowContext, inst *instance, to fleet.ID, inner []byte) {
	s.message = steer.Message{Kind: steer.Prepare, Key: fc.key, Ballot: inst.promised}
	s.send(fc, to, &s.message, inner)
}

// handlePromise handles a holder's answer to Prepare.
func (s *shard) handlePromise(fc *flowContext, m *steer.Message) result.Code {
	inst := s.instances[fc.hash]
	if inst == nil || inst.key != fc.key || inst.prepare == nil || inst.prepare.ballot != m.Ballot {
		return result.Asked
	}
	if m.Decided {
		return s.decideFromPrepare(fc, inst, m.Target)
	}
	if !m.Target.IsZero() && (inst.prepare.target.IsZero() || m.AcceptedBallot.Compare(inst.prepare.accepted) > 0) {
		inst.prepare.accepted, inst.prepare.target = m.AcceptedBallot, m.Target
	}
	for i := range inst.prepare.quorums {
		inst.prepare.quorums[i].addPromise(m.From)
	}
	return s.finishPrepare(fc, inst)
}

// finishPrepare sends the proposal once a majority of the holders under each list has
// answered.
func (s *shard) finishPrepare(fc *flowContext, inst *instance) result.Code {
	for i := range inst.prepare.quorums {
		if !inst.prepare.quorums[i].hasMajority() {
			return result.Asked
		}
	}
	phase := inst.prepare
	if phase.ballot != inst.promised || !s.canVote(fc) || phase.quorums[0].holders != fc.holders {
		return result.DroppedUndetermined
	}
	inst.prepare = nil
	var p packet.Packet
	if err := p.Parse(phase.packet); err != nil {
		return codeOf(err)
	}
	fc.packet = &p
	target := phase.target
	if target.IsZero() {
		target = s.chooseTarget(fc, inst)
	}
	s.acceptOwnProposal(fc, inst, phase.ballot, target)
	return s.sendProposal(fc, inst)
}

// decideFromPrepare adopts a target that a holder reported as already decided and forwards
// the packet that was waiting for the prepare phase.
func (s *shard) decideFromPrepare(fc *flowContext, inst *instance, target flow.Target) result.Code {
	phase := inst.prepare
	r := s.decide(fc, inst, target)
	if phase == nil {
		return result.Asked
	}
	var p packet.Packet
	if err := p.Parse(phase.packet); err != nil {
		return codeOf(err)
	}
	fc.packet = &p
	s.takeOwnership(r)
	return s.forward(fc, r)
}
