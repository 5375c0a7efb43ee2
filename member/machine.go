// Package member tells a daemon which entry VMs of the published list can be reached,
// which versions its peers have in force, and whether it may place flows that must not
// be repeated. It is a deterministic state machine: time, messages and lists go in,
// messages and events come out, and the only randomness is the generator it is given.
package member

import (
	"math/rand/v2"
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
)

// Machine is the membership of one daemon. It is driven by one goroutine; the views it
// returns may be shared.
type Machine struct {
	options
	self        fleet.ID
	started     clock.Millis
	recovery    clock.Millis // age from which a process may be counted by others
	incarnation uint64
	run         uint64
	random      *rand.Rand
	sink        Sink

	list     *fleet.List
	listed   bool
	peers    map[fleet.ID]*peer
	suspects []fleet.ID
	rumors   rumors
	versions versions
	pulls    []pull
	lease    lease

	partners    []fleet.ID // members that are probed, in the order of a round
	next        int
	nextProbe   clock.Millis
	fastUntil   clock.Millis
	sequence    uint64
	outstanding []probe

	lastTick clock.Millis
	paused   bool
	pausedAt clock.Millis
	leaving  bool

	counts   []byte
	countsAt clock.Millis

	fresh map[fleet.ID]clock.Millis // end of the quarantine of young members
	view  *View
	dirty bool
}

// New returns the machine of a process that starts now. incarnation must be higher than
// that of the previous process on the VM, for example the wall clock in milliseconds.
func New(
	self fleet.ID, incarnation uint64, now clock.Millis, random *rand.Rand, sink Sink, settings ...Option,
) *Machine {
	m := &Machine{
		options: options{
			period:     DefaultProbePeriod,
			leaseSpan:  DefaultLease,
			quarantine: DefaultQuarantine,
		},
		self:        self,
		started:     now,
		incarnation: incarnation,
		run:         incarnation,
		random:      random,
		sink:        sink,
		peers:       make(map[fleet.ID]*peer),
		lease:       newLease(),
		sequence:    random.Uint64() >> 1,
		lastTick:    now,
		nextProbe:   now,
		fresh:       make(map[fleet.ID]clock.Millis),
		dirty:       true,
	}
	for _, option := range settings {
		option(&m.options)
	}
	m.recovery = prolong(m.leaseSpan)
	if m.budget == nil {
		m.budget = NewBudget(now, DefaultBudgetRate)
	}
	return m
}

// SetList puts a published list in force. Lists that are not newer are ignored.
func (m *Machine) SetList(now clock.Millis, list *fleet.List) {
	m.observe(now)
	if m.list != nil && list.Version() <= m.list.Version() {
		return
	}
	m.changeLeaseList(list)
	m.list = list
	_, m.listed = list.Find(m.self)
	m.replacePeers(list)
	m.choosePartners()
	m.fastUntil = now + fastSpan
	m.dirty = true
	m.versions.raise(Version{Name: ListName, Number: list.Version()})
	m.dropPull(ListName, list.Version())
	m.sink.Event(Event{At: now, Kind: VersionInForce, Name: ListName, Version: list.Version()})
}

// SetCounts sets the load counts that ride on messages. They are dropped when they
// exceed MaximumCountsBytes.
func (m *Machine) SetCounts(counts []byte) {
	if len(counts) > MaximumCountsBytes {
		counts = nil
	}
	m.counts = slices.Clone(counts)
}

// Tick lets time pass. It is called every 100 ms.
func (m *Machine) Tick(now clock.Millis) {
	m.observe(now)
	m.lastTick = now
	m.endFruitlessPause(now)
	m.expireProbes(now)
	m.expireSuspicions(now)
	m.remindSuspects(now)
	m.probeNext(now)
	m.pruneEvidence(now)
	m.establish(now)
	m.settle(now)
	m.anchor()
	m.requestPulls(now)
	m.expireQuarantines(now)
}

// Receive takes a message that the transport has authenticated as being from a VM.
func (m *Machine) Receive(now clock.Millis, from fleet.ID, message *Message) {
	m.observe(now)
	if from == m.self {
		return
	}
	if _, known := m.peers[from]; known {
		m.hear(now, from, message)
	}
	m.hearSettled(now, from, message)
	switch message.Kind {
	case Probe:
		answer := m.compose(now, Answer, from, message.Sequence)
		answer.Predecessor = m.predecessor(now, message.Wanted)
		m.send(now, from, answer)
	case Answer:
		m.receiveAnswer(now, from, message)
	case ProbeRequest:
		m.probeFor(now, from, message)
	case ProbeReport:
		m.receiveReport(message)
	case Notice:
	default:
	}
}

// Leave tells the peers that this daemon goes. It is called after the flows were handed
// over; from then on the peers count it as not alive.
func (m *Machine) Leave(now clock.Millis) {
	m.observe(now)
	m.leaving = true
	m.dirty = true
	m.rumors.add(Update{ID: m.self, Status: Left, Incarnation: m.incarnation})
	if m.list == nil {
		return
	}
	for range noticesOnLeave {
		if to, ok := m.nextTarget(); ok {
			m.send(now, to, m.compose(now, Notice, to, 0))
		}
	}
}

// PausedUntilHeard tells whether the process was paused and has heard no peer since, so
// that nothing it believes may be acted on.
func (m *Machine) PausedUntilHeard() bool { return m.paused }

// Incarnation returns the number that the daemon currently goes by.
func (m *Machine) Incarnation() uint64 { return m.incarnation }

// hear takes what every message of a listed member carries.
func (m *Machine) hear(now clock.Millis, from fleet.ID, message *Message) {
	m.hearMember(now, from, message)
	for _, u := range message.Updates[:min(len(message.Updates), MaximumUpdates)] {
		m.applyUpdate(now, u)
	}
	m.hearVersions(now, from, message)
}

// compose builds a message with everything that the budget lets ride on it.
func (m *Machine) compose(now clock.Millis, kind Kind, to fleet.ID, sequence uint64) *Message {
	message := &Message{
		Kind:        kind,
		Sequence:    sequence,
		Incarnation: m.incarnation,
		Run:         m.run,
		Age:         now - m.started,
		List:        m.listVersion(),
		Anchor:      m.lease.anchor,
		Visited:     m.visitedSinceSettled(),
		Settled:     m.lease.settled,
		Established: m.lease.established,
		Versions:    m.versions.digest(now),
	}
	m.attachUpdates(now, to, message)
	if kind == Probe && len(m.counts) > 0 && now >= m.countsAt {
		if m.budget.Allow(now, ClassCounts, len(m.counts)) {
			message.Counts = m.counts
			m.countsAt = now + countsInterval
		}
	}
	return message
}

// attachUpdates adds what the receiver must know about itself, then the updates sent
// least so far.
func (m *Machine) attachUpdates(now clock.Millis, to fleet.ID, message *Message) {
	if p := m.peers[to]; p != nil && p.status != Alive {
		if m.budget.Allow(now, ClassSuspicion, updateBytes) {
			message.Updates = append(message.Updates, Update{ID: to, Status: p.status, Incarnation: p.incarnation})
		}
	}
	most := MaximumUpdates - len(message.Updates)
	for m.rumors.waiting(most) > 0 {
		n := m.rumors.waiting(most)
		if m.budget.Allow(now, ClassSuspicion, n*updateBytes) {
			message.Updates = append(message.Updates, m.rumors.pick(n, m.transmissions())...)
			return
		}
		most = n - 1
	}
}

// send hands a message over if the budget allows its base; what rides on it was already
// paid for.
func (m *Machine) send(now clock.Millis, to fleet.ID, message *Message) bool {
	class := ClassVersions
	if message.Kind == ProbeRequest || message.Kind == ProbeReport {
		class = ClassSuspicion
	}
	base := message.Size() - len(message.Counts) - len(message.Updates)*updateBytes -
		len(message.Predecessor.Members)*memberBytes
	if !m.budget.Allow(now, class, base) {
		return false
	}
	m.sink.Send(to, message)
	return true
}

func (m *Machine) listVersion() uint64 {
	if m.list == nil {
		return 0
	}
	return m.list.Version()
}
