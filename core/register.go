package core

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
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

// read is the first phase of a proposal: it asks the holders what they have accepted.
type read struct {
	ballot   steer.Ballot
	sets     []answers
	accepted steer.Ballot
	target   flow.Target
	packet   []byte
	started  clock.Millis
}

// answers counts the promises of the holders under one list.
type answers struct {
	holders fleet.Holders
	heard   uint8 // by rank
}

func (s *answers) note(id fleet.ID) {
	if rank := s.holders.Rank(id); rank >= 0 {
		s.heard |= 1 << rank
	}
}

func (s *answers) isMajority() bool {
	count := 0
	for rank := range s.holders.Len() {
		if s.heard&(1<<rank) != 0 {
			count++
		}
	}
	return count >= s.holders.Majority()
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

// missUnique handles a packet without a record, of a flow that may not be repeated. While
// this VM may not decide, another may know what was decided before.
func (s *shard) missUnique(a *arrival) result.Code {
	if mayOpen(a) && s.mayPropose(a) {
		return s.propose(a)
	}
	trail, count := s.candidates(a)
	if count == 0 {
		return result.DroppedUnknownFlow
	}
	return s.ask(a, trail, count)
}

func (s *shard) mayPropose(a *arrival) bool { return s.canVote(a) && s.knowsHistory(a) }

// propose brings the target of a flow nearer to its decision.
func (s *shard) propose(a *arrival) result.Code {
	if !s.mayPropose(a) {
		return result.DroppedUndetermined
	}
	g := s.registers[a.hash]
	if g != nil && g.key != a.key {
		return result.DroppedUndetermined
	}
	if g == nil {
		if len(s.registers) >= maxRegisters || s.isFull() {
			return result.DroppedTableFull
		}
		g = s.newRegister(a)
		if a.holders.At(0) == s.self() && s.isUnchanged(a) {
			s.acceptOwn(a, g, steer.Ballot{}, s.choose(a, g))
		}
	}
	if g.proposed && g.holders == a.holders && g.accepted.Compare(g.promised) >= 0 {
		return s.offer(a, g)
	}
	return s.startRead(a, g)
}

func (s *shard) newRegister(a *arrival) *register {
	g := &register{key: a.key, route: a.route, touched: a.now}
	s.registers[a.hash] = g
	return g
}

// choose asks the Placer for a target. A flow without one gets the refusal, which is a
// value like any other, so that a refusal is answered only once it is decided.
func (s *shard) choose(a *arrival, g *register) flow.Target {
	target, code := s.node.options.Placer.Place(a.now, a.route, a.hash, 0)
	if code != result.Placed {
		return flow.NewTarget(refusal, flow.Endpoint{})
	}
	g.counted = true
	return target
}

func (s *shard) acceptOwn(a *arrival, g *register, ballot steer.Ballot, target flow.Target) {
	g.promised = ballot
	g.accepted = ballot
	g.target = target
	g.table = a.view.tables.Version()
	g.proposed = true
	g.holders = a.holders
	g.touched = a.now
}

// offer sends the packet with the proposal to another holder, whose acceptance decides.
func (s *shard) offer(a *arrival, g *register) result.Code {
	if a.holders.Majority() == 1 || s.node.options.Breakage == BreakMajority {
		return s.forward(a, s.settle(a, g, g.target))
	}
	to := s.acceptor(a, g)
	if to == 0 {
		return result.DroppedUndetermined
	}
	g.touched = a.now
	s.message = steer.Message{Kind: steer.Accept, Table: g.table, Target: g.target, Ballot: g.accepted}
	s.send(a, to, &s.message, a.packet.Bytes())
	return result.Asked
}

// acceptor picks a live holder, another one at each attempt.
func (s *shard) acceptor(a *arrival, g *register) fleet.ID {
	var usable []fleet.ID
	for i := range a.holders.Len() {
		id := a.holders.At(i)
		if id != s.self() && a.view.alive(id, s.self()) && !s.isQuarantined(a, id) {
			usable = append(usable, id)
		}
	}
	if len(usable) == 0 {
		return 0
	}
	g.attempts++
	return usable[(g.attempts-1)%len(usable)]
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

// startRead asks the holders under the list in force for a promise, and those under
// recent lists for what they have accepted.
func (s *shard) startRead(a *arrival, g *register) result.Code {
	if g.read != nil && a.now-g.read.started < readRetry {
		g.read.packet = append(g.read.packet[:0], a.packet.Bytes()...)
		return result.Asked
	}
	round := uint16(1)
	if g.promised.List == a.view.list().Version() {
		round = g.promised.Round + 1
	}
	g.promised = steer.Ballot{List: a.view.list().Version(), Round: round, VM: s.self()}
	g.proposed = false
	g.touched = a.now
	g.read = &read{ballot: g.promised, accepted: g.accepted, target: g.target, started: a.now}
	g.read.packet = append(g.read.packet, a.packet.Bytes()...)
	g.read.sets = s.readSets(a)
	s.sendPrepares(a, g)
	return s.finishRead(a, g)
}

func (s *shard) readSets(a *arrival) []answers {
	sets := []answers{{holders: a.holders}}
	for _, e := range s.decidable(a) {
		holders := e.ranking.Holders(a.hash, fleet.EachDomain)
		if holders != a.holders {
			sets = append(sets, answers{holders: holders})
		}
	}
	return sets
}

// sendPrepares asks the holders. The packet rides to one of those under the list in
// force, whose promise makes a majority with this VM. Only holders under other lists cost
// messages of their own.
func (s *shard) sendPrepares(a *arrival, g *register) {
	first := s.acceptor(a, g)
	asked := []fleet.ID{s.self()}
	for i := range g.read.sets {
		g.read.sets[i].note(s.self())
	}
	if first != 0 {
		asked = append(asked, first)
		s.sendPrepare(a, g, first, a.packet.Bytes())
	}
	for i := range g.read.sets[1:] {
		set := &g.read.sets[1+i]
		for rank := range set.holders.Len() {
			id := set.holders.At(rank)
			if !contains(asked, id) && a.view.alive(id, s.self()) {
				asked = append(asked, id)
				s.sendPrepare(a, g, id, nil)
			}
		}
	}
}

func (s *shard) sendPrepare(a *arrival, g *register, to fleet.ID, inner []byte) {
	s.message = steer.Message{Kind: steer.Prepare, Key: a.key, Ballot: g.promised}
	s.send(a, to, &s.message, inner)
}

// vote handles the messages of a read, with the packet or without it.
func (s *shard) vote(a *arrival, m *steer.Message) result.Code {
	switch m.Kind {
	case steer.Prepare:
		return s.prepare(a, m)
	case steer.Promise:
		return s.promise(a, m)
	default:
		return s.rejected(a, m)
	}
}

// prepare answers a proposer's read at a holder.
func (s *shard) prepare(a *arrival, m *steer.Message) result.Code {
	if r := s.flows.Get(a.hash, &a.key); r != nil && r.has(decided) {
		return s.reply(a, m.From, steer.Message{Kind: steer.Promise, Ballot: m.Ballot, Target: r.target, Decided: true})
	}
	if !s.sharesHolders(a, m) || s.isQuarantined(a, s.self()) {
		return s.reply(a, m.From, steer.Message{Kind: steer.Reject})
	}
	if a.holders.Rank(s.self()) >= 0 {
		return s.votePrepare(a, m)
	}
	answer := steer.Message{Kind: steer.Promise, Ballot: m.Ballot}
	if g := s.registers[a.hash]; g != nil && g.key == a.key {
		answer.Accepted, answer.Target, answer.Table = g.accepted, g.target, g.table
	}
	return s.reply(a, m.From, answer)
}

func (s *shard) votePrepare(a *arrival, m *steer.Message) result.Code {
	g := s.registerFor(a)
	if g == nil || !s.canVote(a) {
		return s.reply(a, m.From, steer.Message{Kind: steer.Reject})
	}
	if m.Ballot.Compare(g.promised) < 0 {
		return s.reply(a, m.From, steer.Message{Kind: steer.Reject, Ballot: g.promised})
	}
	g.promised = m.Ballot
	g.touched = a.now
	answer := steer.Message{Kind: steer.Promise, Ballot: m.Ballot}
	answer.Accepted, answer.Target, answer.Table = g.accepted, g.target, g.table
	return s.reply(a, m.From, answer)
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

// reply answers a message. A packet that rode on it rides back.
func (s *shard) reply(a *arrival, to fleet.ID, answer steer.Message) result.Code {
	s.message = answer
	s.message.Key = a.key
	var inner []byte
	if a.packet != nil {
		inner = a.packet.Bytes()
	}
	s.send(a, to, &s.message, inner)
	return result.Asked
}

// promise takes a holder's answer to a read.
func (s *shard) promise(a *arrival, m *steer.Message) result.Code {
	g := s.registers[a.hash]
	if g == nil || g.key != a.key || g.read == nil || g.read.ballot != m.Ballot {
		return result.Asked
	}
	if m.Decided {
		return s.settleRead(a, g, m.Target)
	}
	if !m.Target.IsZero() && (g.read.target.IsZero() || m.Accepted.Compare(g.read.accepted) > 0) {
		g.read.accepted, g.read.target = m.Accepted, m.Target
	}
	for i := range g.read.sets {
		g.read.sets[i].note(m.From)
	}
	return s.finishRead(a, g)
}

// finishRead proposes once a majority under each list has answered.
func (s *shard) finishRead(a *arrival, g *register) result.Code {
	for i := range g.read.sets {
		if !g.read.sets[i].isMajority() {
			return result.Asked
		}
	}
	r := g.read
	if r.ballot != g.promised || !s.canVote(a) || r.sets[0].holders != a.holders {
		return result.DroppedUndetermined
	}
	g.read = nil
	var p packet.Packet
	if err := p.Parse(r.packet); err != nil {
		return codeOf(err)
	}
	a.packet = &p
	target := r.target
	if target.IsZero() {
		target = s.choose(a, g)
	}
	s.acceptOwn(a, g, r.ballot, target)
	return s.offer(a, g)
}

func (s *shard) settleRead(a *arrival, g *register, target flow.Target) result.Code {
	waiting := g.read
	r := s.settle(a, g, target)
	if waiting == nil {
		return result.Asked
	}
	var p packet.Packet
	if err := p.Parse(waiting.packet); err != nil {
		return codeOf(err)
	}
	a.packet = &p
	s.own(r)
	return s.forward(a, r)
}

// accept votes for a proposal at a holder. With the proposer's own acceptance it is a
// majority of up to three, so that the target is decided and the packet forwarded.
func (s *shard) accept(a *arrival, m *steer.Message) result.Code {
	if r := s.flows.Get(a.hash, &a.key); r != nil && r.has(decided) {
		return s.acceptDecided(a, m, r)
	}
	g := s.registerFor(a)
	if g == nil || !s.mayAccept(a, m) {
		return s.reply(a, m.From, steer.Message{Kind: steer.Reject})
	}
	if m.Ballot.Compare(g.promised) < 0 || s.contradicts(g, m) {
		return s.reply(a, m.From, steer.Message{Kind: steer.Reject, Ballot: g.promised})
	}
	g.promised, g.accepted, g.target = m.Ballot, m.Ballot, m.Target
	s.noteSettled(a, m.From)
	return s.forward(a, s.settle(a, g, m.Target))
}

// contradicts reports whether a proposal of the round without reading meets another one.
func (s *shard) contradicts(g *register, m *steer.Message) bool {
	return m.Ballot.IsZero() && !g.target.IsZero() && g.target != m.Target
}

func (s *shard) mayAccept(a *arrival, m *steer.Message) bool {
	if !s.sharesHolders(a, m) || a.holders.Rank(s.self()) < 0 || !s.canVote(a) {
		return false
	}
	if m.Ballot.IsZero() && !s.isUnchanged(a) {
		return false
	}
	return s.isServed(a, m)
}

// isServed reports whether the proposed target belongs to the route, as far as the tables
// in force here can tell: a proposer with newer tables is believed.
func (s *shard) isServed(a *arrival, m *steer.Message) bool {
	if m.Target.ID() == refusal || m.Table > a.view.tables.Version() {
		return true
	}
	destination, ok := a.view.tables.Reply(m.Target.Endpoint(), a.key.Protocol())
	return ok && destination == a.key.Destination()
}

func (s *shard) acceptDecided(a *arrival, m *steer.Message, r *record) result.Code {
	if r.target == m.Target {
		s.noteSettled(a, m.From)
	} else {
		s.tell(a, r, m.From)
	}
	return s.forward(a, r)
}

func (s *shard) noteSettled(a *arrival, to fleet.ID) {
	if waiting := s.settled[to]; len(waiting) < maxSettled {
		s.settled[to] = append(waiting, a.hash)
	}
}

// rejected takes the refusal of a vote. The packet, or else the client's retransmission,
// starts over.
func (s *shard) rejected(a *arrival, m *steer.Message) result.Code {
	g := s.registers[a.hash]
	if g == nil || g.key != a.key {
		return result.Asked
	}
	if m.Decided {
		s.settleRead(a, g, m.Target)
		return result.Asked
	}
	if m.Ballot.Compare(g.promised) > 0 {
		g.promised = m.Ballot
		g.read = nil
	}
	if a.packet != nil && a.hops < maxHops {
		return s.propose(a)
	}
	return result.Asked
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
