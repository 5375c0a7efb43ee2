package core

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
	"github.com/almondflow/almondflow/table"
)

// Limits of undecided flows.
const (
	// maxRegisters bounds the undecided flows of a shard.
	maxRegisters = 16_384
	// readRetry is how long answers to a read are waited for before it is tried again.
	readRetry = 500 * clock.Millisecond
	// maxSettled bounds the decided flows that wait to be told to one VM.
	maxSettled = 1024
)

// register is what a holder remembers of a flow that may not be repeated until its target
// is decided. It is the state of one acceptor of single-decree Paxos, and of the proposer
// where this VM proposes.
type register struct {
	key      flow.Key
	route    *table.Route
	promised steer.Ballot
	accepted steer.Ballot
	target   flow.Target // accepted; zero where nothing was
	table    uint64
	touched  clock.Millis
	holders  fleet.Holders // that the own proposal was made to
	proposed bool          // this VM proposed the accepted target
	counted  bool          // the Placer counts the proposed target
	attempts int
	read     *read
}

// canVote reports whether this VM may take part in decisions now.
func (s *shard) canVote(a *arrival) bool {
	if s.isQuarantined(a, s.self()) {
		return false
	}
	if s.node.options.Breakage == BreakLease {
		return true
	}
	voting := a.view.voting
	if voting.List != a.view.list().Version() || a.now >= voting.Until {
		return false
	}
	return s.isSettled(a, voting.Settled)
}

// isSettled reports whether the flow has the same holders under every list that an entry
// VM may still act on, so that all who vote on it ask the same ones.
func (s *shard) isSettled(a *arrival, settled uint64) bool {
	for _, e := range a.view.epochs[1:] {
		if a.view.list().Version() == settled || e.ranking.List().Version() < settled {
			return true
		}
		if e.ranking.Holders(a.hash, fleet.EachDomain) != a.holders {
			return false
		}
		if e.ranking.List().Version() == settled {
			return true
		}
	}
	return a.view.list().Version() == settled
}

// sharesHolders reports whether the sender of a message acts on the same holders of the
// flow as this VM, whatever the versions of their lists.
func (s *shard) sharesHolders(a *arrival, m *steer.Message) bool {
	for i, e := range a.view.epochs {
		if e.ranking.List().Version() == m.List {
			return i == 0 || e.ranking.Holders(a.hash, fleet.EachDomain) == a.holders
		}
	}
	return false
}

// knowsHistory reports whether this VM saw every list under which a target may have been
// decided that an opening packet can still ask for.
func (s *shard) knowsHistory(a *arrival) bool {
	lost := a.view.epochsLost
	isSettled := a.view.unsettled == 0 || s.node.options.Breakage == BreakLease
	return isSettled && (lost == 0 || a.now-lost >= s.node.options.OpeningLifetime)
}

// decidable returns the earlier lists under which a target may have been decided that an
// opening packet can still ask for.
func (s *shard) decidable(a *arrival) []epoch {
	if s.node.options.Breakage == BreakLease {
		return a.view.recent(a.now, s.node.options.OpeningLifetime)
	}
	return a.view.decidable(a.now, s.node.options.OpeningLifetime)
}

// isUnchanged reports whether the flow had the same holders under every recent list, so
// that the first of them may propose without reading.
func (s *shard) isUnchanged(a *arrival) bool {
	for _, e := range s.decidable(a) {
		if e.ranking.Holders(a.hash, fleet.EachDomain) != a.holders {
			return false
		}
	}
	return s.knowsHistory(a)
}

func (s *shard) newRegister(a *arrival) *register {
	g := &register{key: a.key, route: a.route, touched: a.now}
	s.registers[a.hash] = g
	return g
}

// settle turns a register into a record whose target never changes.
func (s *shard) settle(a *arrival, g *register, target flow.Target) *record {
	kept := g.counted && g.target == target
	if g.counted && !kept {
		s.node.options.Placer.Closed(g.target.ID())
	}
	delete(s.registers, a.hash)
	r, _ := s.flows.Put(a.hash, &a.key)
	r.initialize(a.now, a.route, target, a.view.tables.Version(), s.node.options.OpeningLifetime)
	r.set(decided, true)
	if kept {
		s.placed(r)
		s.node.count(result.Placed)
	}
	return r
}

// registerFor returns the flow's register, a new one where there is none, or nil where
// there is no room.
func (s *shard) registerFor(a *arrival) *register {
	g := s.registers[a.hash]
	if g == nil && len(s.registers) < maxRegisters {
		return s.newRegister(a)
	}
	if g == nil || g.key != a.key {
		return nil
	}
	return g
}

func (s *shard) noteSettled(a *arrival, to fleet.ID) {
	if waiting := s.settled[to]; len(waiting) < maxSettled {
		s.settled[to] = append(waiting, a.hash)
	}
}

// noteAcceptor counts the acceptance as the record's first copy, so that the next packet
// takes a copy to another holder.
func (s *shard) noteAcceptor(a *arrival, r *record, acceptor fleet.ID) {
	rank := a.holders.Rank(acceptor)
	if rank < 0 {
		return
	}
	r.signature = a.view.signature(&a.holders)
	s.noteCopy(a, r, rank)
}

// learnSettled notes flows that the sender of a message knows to be decided as this VM
// proposed.
func (n *Node) learnSettled(now clock.Millis, m *steer.Message) {
	v := n.view.Load()
	for _, hash := range m.Settled[:m.SettledLength] {
		s := n.shardOf(hash)
		s.mutex.Lock()
		if g := s.registers[hash]; g != nil && g.proposed && g.accepted == g.promised {
			a := arrival{now: now, view: v, key: g.key, hash: hash, route: g.route}
			a.holders = v.epochs[0].ranking.Holders(hash, fleet.EachDomain)
			s.noteAcceptor(&a, s.settle(&a, g, g.target), m.From)
		}
		s.mutex.Unlock()
	}
}
