package core

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
	"github.com/almondflow/almondflow/table"
)

// Limits for undecided flows.
const (
	// maxInstances limits the undecided flows per shard.
	maxInstances = 16_384
	// prepareRetry is how long to wait for promises before a prepare phase is started
	// again.
	prepareRetry = 500 * clock.Millisecond
	// maxQueuedDecisions limits the decided flows queued for one VM.
	maxQueuedDecisions = 1024
)

// instance is the single-decree Paxos state of a non-repeatable flow whose target is
// undecided. It holds the state of this VM as an acceptor and, if this VM proposes, as a
// proposer.
type instance struct {
	key          flow.Key
	route        *table.Route
	promised     steer.Ballot
	accepted     steer.Ballot
	target       flow.Target // accepted target; zero if none
	tableVersion uint64
	lastUsed     clock.Millis
	holders      fleet.Holders // holders that this VM's proposal was made to
	proposed     bool          // this VM proposed the accepted target
	counted      bool          // the proposed target is counted in the Placer
	attempts     int
	prepare      *preparePhase
}

// canVote reports whether this VM may currently take part in decisions.
func (s *shard) canVote(fc *flowContext) bool {
	if s.isQuarantined(fc, s.self()) {
		return false
	}
	if s.node.options.Defect == DefectNoLease {
		return true
	}
	lease := fc.view.votingLease
	if lease.ListVersion != fc.view.list().Version() || fc.now >= lease.ExpiresAt {
		return false
	}
	return s.holdersSettled(fc, lease.SettledVersion)
}

// holdersSettled reports whether the flow has the same holders under every member list
// that an entry VM may still act on, so that all VMs voting on the flow use the same
// quorum.
func (s *shard) holdersSettled(fc *flowContext, settled uint64) bool {
	for _, e := range fc.view.epochs[1:] {
		if fc.view.list().Version() == settled || e.ranking.List().Version() < settled {
			return true
		}
		if e.ranking.Holders(fc.hash, fleet.DistinctDomains) != fc.holders {
			return false
		}
		if e.ranking.List().Version() == settled {
			return true
		}
	}
	return fc.view.list().Version() == settled
}

// hasSameHolders reports whether the sender of a message uses the same holders for the
// flow as this VM, even if the versions of their member lists differ.
func (s *shard) hasSameHolders(fc *flowContext, m *steer.Message) bool {
	for i, e := range fc.view.epochs {
		if e.ranking.List().Version() == m.ListVersion {
			return i == 0 || e.ranking.Holders(fc.hash, fleet.DistinctDomains) == fc.holders
		}
	}
	return false
}

// knowsDecidableEpochs reports whether this VM knows every member list under which the
// target of a flow may have been decided whose opening packet can still arrive.
func (s *shard) knowsDecidableEpochs(fc *flowContext) bool {
	missedUntil := fc.view.missedUntil
	isSettled := fc.view.missedVersion == 0 || s.node.options.Defect == DefectNoLease
	return isSettled && (missedUntil == 0 || fc.now-missedUntil >= s.node.options.OpeningLifetime)
}

// decidableEpochs returns the earlier member lists under which the target of a flow may
// have been decided whose opening packet can still arrive.
func (s *shard) decidableEpochs(fc *flowContext) []epoch {
	if s.node.options.Defect == DefectNoLease {
		return fc.view.recentEpochs(fc.now, s.node.options.OpeningLifetime)
	}
	return fc.view.decidableEpochs(fc.now, s.node.options.OpeningLifetime)
}

// holdersUnchanged reports whether the flow had the same holders under every list that
// decidableEpochs returns, in which case the first-ranked holder may skip the prepare
// phase.
func (s *shard) holdersUnchanged(fc *flowContext) bool {
	for _, e := range s.decidableEpochs(fc) {
		if e.ranking.Holders(fc.hash, fleet.DistinctDomains) != fc.holders {
			return false
		}
	}
	return s.knowsDecidableEpochs(fc)
}

func (s *shard) newInstance(fc *flowContext) *instance {
	inst := &instance{key: fc.key, route: fc.route, lastUsed: fc.now}
	s.instances[fc.hash] = inst
	return inst
}

// decide replaces an instance by a record with the decided target, which never changes.
func (s *shard) decide(fc *flowContext, inst *instance, target flow.Target) *record {
	keepsCount := inst.counted && inst.target == target
	if inst.counted && !keepsCount {
		s.node.options.Placer.RemoveFlow(inst.target.ID())
	}
	delete(s.instances, fc.hash)
	r, _ := s.flows.Put(fc.hash, &fc.key)
	r.initialize(fc.now, fc.route, target, fc.view.tables.Version(), s.node.options.OpeningLifetime)
	r.set(decided, true)
	if keepsCount {
		s.markPlaced(r)
		s.node.count(result.Placed)
	}
	return r
}

// instanceFor returns the flow's instance, creating it if necessary. It returns nil if the
// limit is reached or the hash belongs to another flow.
func (s *shard) instanceFor(fc *flowContext) *instance {
	inst := s.instances[fc.hash]
	if inst == nil && len(s.instances) < maxInstances {
		return s.newInstance(fc)
	}
	if inst == nil || inst.key != fc.key {
		return nil
	}
	return inst
}

// queueDecision queues a decided flow to be reported to the VM that proposed its target.
func (s *shard) queueDecision(fc *flowContext, to fleet.ID) {
	if queued := s.decisions[to]; len(queued) < maxQueuedDecisions {
		s.decisions[to] = append(queued, fc.hash)
	}
}

// markAcceptorCopy counts the acceptor's record as the first copy, so that the next packet
// carries a copy to another holder.
func (s *shard) markAcceptorCopy(fc *flowContext, r *record, acceptor fleet.ID) {
	rank := fc.holders.Rank(acceptor)
	if rank < 0 {
		return
	}
	r.signature = fc.view.holderSignature(&fc.holders)
	s.markCopied(fc, r, rank)
}

// applyDecidedFlows completes this VM's proposals that the sender of a message reports as
// decided.
func (n *Node) applyDecidedFlows(now clock.Millis, m *steer.Message) {
	v := n.view.Load()
	for _, hash := range m.DecidedFlows[:m.DecidedFlowCount] {
		s := n.shardOf(hash)
		s.mutex.Lock()
		if inst := s.instances[hash]; inst != nil && inst.proposed && inst.accepted == inst.promised {
			fc := flowContext{now: now, view: v, key: inst.key, hash: hash, route: inst.route}
			fc.holders = v.epochs[0].ranking.Holders(hash, fleet.DistinctDomains)
			s.markAcceptorCopy(&fc, s.decide(&fc, inst, inst.target), m.From)
		}
		s.mutex.Unlock()
	}
}
