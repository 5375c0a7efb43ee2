package core

import (
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
)

// handleVote handles the messages of the prepare phase and rejections, with or without a
// packet.
func (s *shard) handleVote(fc *flowContext, m *steer.Message) result.Code {
	switch m.Kind {
	case steer.Prepare:
		return s.handlePrepare(fc, m)
	case steer.Promise:
		return s.handlePromise(fc, m)
	default:
		return s.handleReject(fc, m)
	}
}

// handlePrepare answers a proposer's Prepare.
func (s *shard) handlePrepare(fc *flowContext, m *steer.Message) result.Code {
	if r := s.flows.Get(fc.hash, &fc.key); r != nil && r.has(decided) {
		return s.reply(fc, m.From, steer.Message{Kind: steer.Promise, Ballot: m.Ballot, Target: r.target, Decided: true})
	}
	if !s.hasSameHolders(fc, m) || s.isQuarantined(fc, s.self()) {
		return s.reply(fc, m.From, steer.Message{Kind: steer.Reject})
	}
	if fc.holders.Rank(s.self()) >= 0 {
		return s.promiseBallot(fc, m)
	}
	answer := steer.Message{Kind: steer.Promise, Ballot: m.Ballot}
	if inst := s.instances[fc.hash]; inst != nil && inst.key == fc.key {
		answer.AcceptedBallot, answer.Target, answer.TableVersion = inst.accepted, inst.target, inst.tableVersion
	}
	return s.reply(fc, m.From, answer)
}

// promiseBallot promises a ballot as one of the flow's current holders, unless a higher
// one was promised before.
func (s *shard) promiseBallot(fc *flowContext, m *steer.Message) result.Code {
	inst := s.instanceFor(fc)
	if inst == nil || !s.canVote(fc) {
		return s.reply(fc, m.From, steer.Message{Kind: steer.Reject})
	}
	if m.Ballot.Compare(inst.promised) < 0 {
		return s.reply(fc, m.From, steer.Message{Kind: steer.Reject, Ballot: inst.promised})
	}
	inst.promised = m.Ballot
	inst.lastUsed = fc.now
	answer := steer.Message{Kind: steer.Promise, Ballot: m.Ballot}
	answer.AcceptedBallot, answer.Target, answer.TableVersion = inst.accepted, inst.target, inst.tableVersion
	return s.reply(fc, m.From, answer)
}

// reply answers a message. A packet that came with the message is returned with the
// answer.
func (s *shard) reply(fc *flowContext, to fleet.ID, answer steer.Message) result.Code {
	s.message = answer
	s.message.Key = fc.key
	var inner []byte
	if fc.packet != nil {
		inner = fc.packet.Bytes()
	}
	s.send(fc, to, &s.message, inner)
	return result.Asked
}

// handleAccept accepts a proposal as a holder. Together with the proposer's own acceptance
// this is a majority of up to three holders, so the target is decided and the packet is
// forwarded.
func (s *shard) handleAccept(fc *flowContext, m *steer.Message) result.Code {
	if r := s.flows.Get(fc.hash, &fc.key); r != nil && r.has(decided) {
		return s.acceptDecided(fc, m, r)
	}
	inst := s.instanceFor(fc)
	if inst == nil || !s.mayAccept(fc, m) {
		return s.reply(fc, m.From, steer.Message{Kind: steer.Reject})
	}
	if m.Ballot.Compare(inst.promised) < 0 || s.conflicts(inst, m) {
		return s.reply(fc, m.From, steer.Message{Kind: steer.Reject, Ballot: inst.promised})
	}
	inst.promised, inst.accepted, inst.target = m.Ballot, m.Ballot, m.Target
	s.queueDecision(fc, m.From)
	return s.forward(fc, s.decide(fc, inst, m.Target))
}

// conflicts reports whether a proposal without a prepare phase differs from the target
// that was accepted before.
func (s *shard) conflicts(inst *instance, m *steer.Message) bool {
	return m.Ballot.IsZero() && !inst.target.IsZero() && inst.target != m.Target
}

// mayAccept reports whether this VM may accept the proposal in a message.
func (s *shard) mayAccept(fc *flowContext, m *steer.Message) bool {
	if !s.hasSameHolders(fc, m) || fc.holders.Rank(s.self()) < 0 || !s.canVote(fc) {
		return false
	}
	if m.Ballot.IsZero() && !s.holdersUnchanged(fc) {
		return false
	}
	return s.isTargetOfRoute(fc, m)
}

// isTargetOfRoute reports whether the proposed target belongs to the route according to
// the current tables. A proposer with newer tables is trusted.
func (s *shard) isTargetOfRoute(fc *flowContext, m *steer.Message) bool {
	if m.Target.ID() == refusedTargetID || m.TableVersion > fc.view.tables.Version() {
		return true
	}
	destination, ok := fc.view.tables.ReplySource(m.Target.Endpoint(), fc.key.Protocol())
	return ok && destination == fc.key.Destination()
}

// acceptDecided answers a proposal for a flow whose target is already decided. It reports
// the decision to the proposer and forwards the packet.
func (s *shard) acceptDecided(fc *flowContext, m *steer.Message, r *record) result.Code {
	if r.target == m.Target {
		s.queueDecision(fc, m.From)
	} else {
		s.sendRecord(fc, r, m.From)
	}
	return s.forward(fc, r)
}

// handleReject handles a holder's rejection. The proposal is started again with the packet
// that came back or, without one, with the client's retransmission.
func (s *shard) handleReject(fc *flowContext, m *steer.Message) result.Code {
	inst := s.instances[fc.hash]
	if inst == nil || inst.key != fc.key {
		return result.Asked
	}
	if m.Decided {
		s.decideFromPrepare(fc, inst, m.Target)
		return result.Asked
	}
	if m.Ballot.Compare(inst.promised) > 0 {
		inst.promised = m.Ballot
		inst.prepare = nil
	}
	if fc.packet != nil && fc.hops < maxHops {
		return s.propose(fc)
	}
	return result.Asked
}
