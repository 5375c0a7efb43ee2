// Package member tracks which entry VMs of the published list are reachable, which
// document versions they use, and whether this daemon may vote on the targets of
// non-repeatable flows. It is a deterministic state machine: its inputs are points in
// time, messages and lists, its outputs are messages and events, and its only source of
// randomness is the generator passed to New.
package member

import (
	"math/rand/v2"
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
)

// Machine is the membership state of one daemon. Its methods must be called from one
// goroutine at a time; the views it returns may be shared.
type Machine struct {
	options
	self             fleet.ID
	startTime        clock.Millis
	recoveryDelay    clock.Millis // age from which other members may count the process
	incarnation      uint64
	startIncarnation uint64
	random           *rand.Rand
	sink             Sink

	list       *fleet.List
	selfListed bool
	peers      map[fleet.ID]*peer
	suspects   []fleet.ID
	updates    updateQueue
	versions   versions
	pulls      []pull
	lease      lease

	probedMembers    []fleet.ID // members to probe periodically, in the order of a round
	nextMember       int
	nextProbeAt      clock.Millis
	fastProbingUntil clock.Millis
	sequence         uint64
	outstanding      []probe

	lastTick clock.Millis
	paused   bool
	pausedAt clock.Millis
	leaving  bool

	targetReports       []byte
	nextTargetReportsAt clock.Millis

	quarantinedUntil map[fleet.ID]clock.Millis // end of the quarantine of each young member
	view             *View
	dirty            bool
}

// New returns the Machine of a process that starts at now. incarnation must be higher
// than that of the previous process on the VM, for example the wall clock in
// milliseconds.
func New(
	self fleet.ID, incarnation uint64, now clock.Millis, random *rand.Rand, sink Sink, opts ...Option,
) *Machine {
	m := &Machine{
		options: options{
			probePeriod:   DefaultProbePeriod,
			leaseDuration: DefaultLease,
			quarantine:    DefaultQuarantine,
		},
		self:             self,
		startTime:        now,
		incarnation:      incarnation,
		startIncarnation: incarnation,
		random:           random,
		sink:             sink,
		peers:            make(map[fleet.ID]*peer),
		lease:            newLease(),
		sequence:         random.Uint64() >> 1,
		lastTick:         now,
		nextProbeAt:      now,
		quarantinedUntil: make(map[fleet.ID]clock.Millis),
		dirty:            true,
	}
	for _, option := range opts {
		option(&m.options)
	}
	m.recoveryDelay = padForDrift(m.leaseDuration)
	if m.rateLimiter == nil {
		m.rateLimiter = NewRateLimiter(now, DefaultControlRate)
	}
	return m
}

// SetList makes a published list the current one. Lists that are not newer are ignored.
func (m *Machine) SetList(now clock.Millis, list *fleet.List) {
	m.detectPause(now)
	if m.list != nil && list.Version() <= m.list.Version() {
		return
	}
	m.prepareListChange(list)
	m.list = list
	_, m.selfListed = list.Find(m.self)
	m.updatePeers(list)
	m.chooseProbedMembers()
	m.fastProbingUntil = now + fastProbingDuration
	m.dirty = true
	m.versions.advance(Version{Name: ListName, Number: list.Version()})
	m.cancelPull(ListName, list.Version())
	m.sink.Event(Event{At: now, Kind: VersionInUse, Name: ListName, Version: list.Version()})
}

// SetTargetReports sets the encoded target reports to attach to probes. If they are larger
// than MaxTargetReportBytes, probes carry no reports.
func (m *Machine) SetTargetReports(targetReports []byte) {
	if len(targetReports) > MaxTargetReportBytes {
		targetReports = nil
	}
	m.targetReports = slices.Clone(targetReports)
}

// Tick sends due probes and pulls and expires timeouts. It must be called every 100 ms.
func (m *Machine) Tick(now clock.Millis) {
	m.detectPause(now)
	m.lastTick = now
	m.expirePause(now)
	m.expireProbes(now)
	m.expireSuspicions(now)
	m.probeSuspects(now)
	m.probeNextMember(now)
	m.pruneStates(now)
	m.updateEstablished(now)
	m.updateSettled(now)
	m.updateAnchor()
	m.requestPulls(now)
	m.expireQuarantines(now)
}

// Receive handles a message whose sender the transport has authenticated.
func (m *Machine) Receive(now clock.Millis, from fleet.ID, message *Message) {
	m.detectPause(now)
	if from == m.self {
		return
	}
	if _, known := m.peers[from]; known {
		m.mergeMessage(now, from, message)
	}
	m.mergeSettled(now, from, message)
	switch message.Kind {
	case Probe:
		answer := m.newMessage(now, Answer, from, message.Sequence)
		answer.Predecessor = m.lookUpPredecessor(now, message.WantedPredecessor)
		m.send(now, from, answer)
	case Answer:
		m.handleAnswer(now, from, message)
	case ProbeRequest:
		m.handleProbeRequest(now, from, message)
	case ProbeReport:
		m.handleProbeReport(message)
	case Notice:
	default:
	}
}

// Leave announces to peers that this daemon leaves, after which they no longer consider it
// alive. It must be called after the daemon has handed over its flows.
func (m *Machine) Leave(now clock.Millis) {
	m.detectPause(now)
	m.leaving = true
	m.dirty = true
	m.updates.add(Update{ID: m.self, Status: Left, Incarnation: m.incarnation})
	if m.list == nil {
		return
	}
	for range leaveNoticeCount {
		if to, ok := m.nextProbedMember(); ok {
			m.send(now, to, m.newMessage(now, Notice, to, 0))
		}
	}
}

// Paused reports whether the process was paused and its state may still be stale, because no
// peer has answered since. The pause ends without an answer if there are no peers, and after
// 2 s otherwise.
func (m *Machine) Paused() bool { return m.paused }

// Incarnation returns the daemon's current incarnation.
func (m *Machine) Incarnation() uint64 { return m.incarnation }

// mergeMessage merges the state that every message from a listed member carries.
func (m *Machine) mergeMessage(now clock.Millis, from fleet.ID, message *Message) {
	m.mergeSenderState(now, from, message)
	for _, u := range message.Updates[:min(len(message.Updates), MaxUpdates)] {
		m.applyUpdate(now, u)
	}
	m.compareVersions(now, from, message)
}

// newMessage builds a message with as many updates and target reports as the rate limit
// allows.
func (m *Machine) newMessage(now clock.Millis, kind Kind, to fleet.ID, sequence uint64) *Message {
	message := &Message{
		Kind:             kind,
		Sequence:         sequence,
		Incarnation:      m.incarnation,
		StartIncarnation: m.startIncarnation,
		ProcessAge:       now - m.startTime,
		ListVersion:      m.listVersion(),
		AnchorVersion:    m.lease.anchor,
		VisitedVersions:  m.visitedSinceSettled(),
		SettledVersion:   m.lease.settled,
		Established:      m.lease.established,
		Versions:         m.versions.digest(now),
	}
	m.attachUpdates(now, to, message)
	if kind == Probe && len(m.targetReports) > 0 && now >= m.nextTargetReportsAt {
		if m.rateLimiter.Allow(now, ClassTargetReports, len(m.targetReports)) {
			message.TargetReports = m.targetReports
			m.nextTargetReportsAt = now + targetReportInterval
		}
	}
	return message
}

// attachUpdates adds the receiver's own status unless it is alive, so that the receiver
// can refute it, then the updates sent the fewest times so far.
func (m *Machine) attachUpdates(now clock.Millis, to fleet.ID, message *Message) {
	if p := m.peers[to]; p != nil && p.status != Alive {
		if m.rateLimiter.Allow(now, ClassSuspicion, updateBytes) {
			message.Updates = append(message.Updates, Update{ID: to, Status: p.status, Incarnation: p.incarnation})
		}
	}
	limit := MaxUpdates - len(message.Updates)
	for m.updates.available(limit) > 0 {
		n := m.updates.available(limit)
		if m.rateLimiter.Allow(now, ClassSuspicion, n*updateBytes) {
			message.Updates = append(message.Updates, m.updates.takeLeastSent(n, m.maxTransmissions())...)
			return
		}
		limit = n - 1
	}
}

// send passes a message to the transport if the rate limit allows its fixed part, and
// reports whether it did. The optional parts were charged when they were attached.
func (m *Machine) send(now clock.Millis, to fleet.ID, message *Message) bool {
	class := ClassVersions
	if message.Kind == ProbeRequest || message.Kind == ProbeReport {
		class = ClassSuspicion
	}
	baseBytes := message.Size() - len(message.TargetReports) - len(message.Updates)*updateBytes -
		len(message.Predecessor.Members)*memberBytes
	if !m.rateLimiter.Allow(now, class, baseBytes) {
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
