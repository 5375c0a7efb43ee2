package member

import (
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
)

// Share of the voting members that must meet the conditions of isColdStart.
const (
	coldStartNumerator   = 3
	coldStartDenominator = 4
)

// mergeSettled merges the settled version reported by an established member of the
// current list or of a predecessor. Once no daemon votes under lower versions, this
// remains true, so the report cannot be stale.
func (m *Machine) mergeSettled(now clock.Millis, from fleet.ID, message *Message) {
	if message.Established && (m.peers[from] != nil || m.lease.isFormerMember(from)) {
		m.advanceSettled(now, message.SettledVersion)
	}
}

func (m *Machine) advanceSettled(now clock.Millis, version uint64) {
	l := &m.lease
	if version <= l.settled {
		return
	}
	l.settled = version
	l.predecessors = slices.DeleteFunc(l.predecessors, func(p ListMembers) bool { return p.Version < version })
	m.chooseProbedMembers()
	m.sink.Event(Event{At: now, Kind: ListSettled, Name: ListName, Version: version})
}

// updateEstablished marks this process as one that other members may count. The previous
// process on the VM may have reported a newer list than this process was started with, so
// this process first waits for the recovery delay and for answers from half of its list.
func (m *Machine) updateEstablished(now clock.Millis) {
	l := &m.lease
	if l.established || m.list == nil || !m.selfListed || m.paused {
		return
	}
	if now-m.startTime < m.recoveryDelay {
		return
	}
	switch {
	case m.halfEstablished():
	case m.defects.noRecoveryDelay || m.isColdStart():
		if l.settled == 0 {
			m.advanceSettled(now, m.listVersion())
			l.anchor = m.listVersion()
		}
	default:
		return
	}
	l.established = true
	m.sink.Event(Event{At: now, Kind: Established, Version: m.listVersion()})
}

// halfEstablished reports whether at least half of the voting members, not counting this
// daemon, are established and none is on a newer list. Any daemon that counted a majority
// that included the previous process of this VM also counted one of these members. Only
// probes sent after the recovery delay count, because by then no lease rests on the
// previous process any more.
func (m *Machine) halfEstablished() bool {
	version := m.listVersion()
	count := 0
	for id, s := range m.lease.states {
		if s.list > version {
			return false
		}
		if s.established && m.isVotingMember(id) && s.sent >= m.startTime+m.recoveryDelay {
			count++
		}
	}
	return 2*count >= m.votingMemberCount() && count > 0
}

// isColdStart reports whether the fleet as a whole has just started: three quarters of
// the voting members are older than the recovery delay and on the same list, and none is
// on a newer list or has been established for long.
func (m *Machine) isColdStart() bool {
	version := m.listVersion()
	count := 1
	for id, s := range m.lease.states {
		switch {
		case s.list > version, s.established && s.age >= maxColdStartAge:
			return false
		case s.list == version && s.age >= m.recoveryDelay && m.isVotingMember(id):
			count++
		}
	}
	return count*coldStartDenominator >= m.votingMemberCount()*coldStartNumerator
}

// updateAnchor records the first settled list at which half of the members report that
// they are on no newer list. It follows that no earlier process of this VM can have been
// counted on a version that this process skips later.
func (m *Machine) updateAnchor() {
	l := &m.lease
	if l.anchor == 0 && l.established && m.selfListed && l.settled == m.listVersion() && m.halfEstablished() {
		l.anchor = l.settled
	}
}

// updateSettled marks the current list as settled once no daemon can vote under an older
// one: a majority of every older list has reported to be on the current list, and the
// leases that these members may have supported before have expired.
func (m *Machine) updateSettled(now clock.Millis) {
	l := &m.lease
	if m.list == nil || !l.established || m.paused || l.settled == 0 || l.settled >= m.listVersion() {
		return
	}
	if !l.moved {
		l.moved = m.predecessorsMoved()
		l.movedAt = now
	}
	wait := padForDrift(m.leaseDuration)
	if m.defects.noLeaseWait || m.allMembersMoved() {
		wait = 0
	}
	if l.moved && now-l.movedAt >= wait {
		m.advanceSettled(now, m.listVersion())
	}
}

// predecessorsMoved reports whether a majority of every list from the settled version up
// to the current one is on the current list. It is false while the members of a version
// that may have had voters are unknown.
func (m *Machine) predecessorsMoved() bool {
	l := &m.lease
	version := m.listVersion()
	if version-l.settled > maxPredecessors {
		return false
	}
	onList := func(s *memberState) bool { return s.list == version }
	for v := l.settled; v < version; v++ {
		p := l.findPredecessor(v)
		if p == nil && (v == l.settled || !m.neverVotedUnder(v)) {
			return false
		}
		if p != nil && !m.hasMajority(p, onList) {
			return false
		}
	}
	return true
}

// allMembersMoved reports whether every member of every older list under which daemons may
// still vote is on the current list. Members do not vote under lists they have left, so
// there are no leases to wait for. This is usually so in a planned change.
func (m *Machine) allMembersMoved() bool {
	l := &m.lease
	for v := l.settled; v < m.listVersion(); v++ {
		p := l.findPredecessor(v)
		if p == nil {
			return false
		}
		for _, id := range p.Members {
			s, found := l.states[id]
			if id != m.self && (!found || !s.established || s.list != m.listVersion()) {
				return false
			}
		}
	}
	return true
}

// neverVotedUnder reports whether no daemon can have voted under a version whose members
// are unknown: voting would have required a majority of every earlier list on that
// version, but a majority skipped it.
func (m *Machine) neverVotedUnder(unknown uint64) bool {
	if m.defects.ignoreSkippedLists {
		return true
	}
	version := m.listVersion()
	skipped := func(s *memberState) bool { return s.list == version && s.skippedList(unknown) }
	for i := range m.lease.predecessors {
		p := &m.lease.predecessors[i]
		if p.Version < unknown && !m.hasMajority(p, skipped) {
			return false
		}
	}
	return true
}

// hasMajority reports whether the states of more than half of the members of a list
// match. VMs that the operator marked lost do not count.
func (m *Machine) hasMajority(p *ListMembers, matches func(*memberState) bool) bool {
	total, count := m.countVotingMembers(p), 0
	if 2*(len(m.lease.states)+1) <= total {
		return false
	}
	for id, s := range m.lease.states {
		if p.contains(id) && !m.lease.isLost(id) && matches(&s) {
			count++
		}
	}
	if own := m.ownState(); p.contains(m.self) && matches(&own) {
		count++
	}
	return total == 0 || count > total/2
}

func (m *Machine) ownState() memberState {
	l := &m.lease
	return memberState{list: m.listVersion(), anchor: l.anchor, visited: l.visited, established: l.established}
}

func (l *lease) findPredecessor(version uint64) *ListMembers {
	for i := range l.predecessors {
		if l.predecessors[i].Version == version {
			return &l.predecessors[i]
		}
	}
	return nil
}

// isFormerMember reports whether a VM is a member of a predecessor.
func (l *lease) isFormerMember(id fleet.ID) bool {
	return slices.ContainsFunc(l.predecessors, func(p ListMembers) bool { return p.contains(id) })
}
