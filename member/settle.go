package member

import (
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
)

// A cold start needs coldNumerator of coldDenominator parts of the list to be new.
const (
	coldNumerator   = 3
	coldDenominator = 4
)

// hearSettled takes over what an established member, also of an older list, found out:
// that nobody votes under lower lists stays true for good, so it may be passed on.
func (m *Machine) hearSettled(now clock.Millis, from fleet.ID, message *Message) {
	if message.Established && (m.peers[from] != nil || m.lease.isFormer(from)) {
		m.raiseSettled(now, message.Settled)
	}
}

func (m *Machine) raiseSettled(now clock.Millis, version uint64) {
	l := &m.lease
	if version <= l.settled {
		return
	}
	l.settled = version
	l.stack = slices.DeleteFunc(l.stack, func(p Predecessor) bool { return p.Version < version })
	m.choosePartners()
	m.sink.Event(Event{At: now, Kind: ListSettled, Name: ListName, Version: version})
}

// establish ends the time in which this process must not be counted by others. Its
// predecessor on the VM may have said that it is on a newer list than the one that this
// process was given, so it first hears half of its list.
func (m *Machine) establish(now clock.Millis) {
	l := &m.lease
	if l.established || m.list == nil || !m.listed || m.paused {
		return
	}
	if now-m.started < m.recovery {
		return
	}
	switch {
	case m.heardEstablished():
	case m.faults.noRecovery || m.heardColdStart():
		if l.settled == 0 {
			m.raiseSettled(now, m.listVersion())
			l.anchor = m.listVersion()
		}
	default:
		return
	}
	l.established = true
	m.sink.Event(Event{At: now, Kind: Established, Version: m.listVersion()})
}

// heardEstablished tells whether at least half of the list, this daemon not counted, are
// established and on no newer list. Whoever counted more than half of the list, with the
// previous process of this VM among them, counted one of these, too. Only probes sent
// after the recovery span count: by then, the counting is over.
func (m *Machine) heardEstablished() bool {
	version := m.listVersion()
	count := 0
	for id, e := range m.lease.evidence {
		if e.list > version {
			return false
		}
		if e.established && m.isElector(id) && e.sent >= m.started+m.recovery {
			count++
		}
	}
	return 2*count >= m.electorate() && count > 0
}

// heardColdStart tells whether the fleet as a whole has just started: three quarters of
// the list are past their recovery span on the same list and remember no other.
func (m *Machine) heardColdStart() bool {
	version := m.listVersion()
	count := 1
	for id, e := range m.lease.evidence {
		switch {
		case e.list > version, e.established && e.age >= coldSpan:
			return false
		case e.list == version && e.age >= m.recovery && m.isElector(id):
			count++
		}
	}
	return count*coldDenominator >= m.electorate()*coldNumerator
}

// anchor notes the first settled list on which half of the members were heard on no newer
// one. No earlier process of this VM can have been counted on a version that this process
// passes over later.
func (m *Machine) anchor() {
	l := &m.lease
	if l.anchor == 0 && l.established && m.listed && l.settled == m.listVersion() && m.heardEstablished() {
		l.anchor = l.settled
	}
}

// settle finds out that nobody votes under an older list any more: enough members of
// every older list were heard on this one, and the leases that they may have supported
// before have run out.
func (m *Machine) settle(now clock.Millis) {
	l := &m.lease
	if m.list == nil || !l.established || m.paused || l.settled == 0 || l.settled >= m.listVersion() {
		return
	}
	if !l.moved {
		l.moved = m.predecessorsMoved()
		l.movedAt = now
	}
	wait := prolong(m.leaseSpan)
	if m.faults.noChangeWait || m.allMoved() {
		wait = 0
	}
	if l.moved && now-l.movedAt >= wait {
		m.raiseSettled(now, m.listVersion())
	}
}

// predecessorsMoved checks every version from the settled one up to the list in force.
func (m *Machine) predecessorsMoved() bool {
	l := &m.lease
	version := m.listVersion()
	if version-l.settled > maximumStack {
		return false
	}
	onList := func(e *evidence) bool { return e.list == version }
	for v := l.settled; v < version; v++ {
		p := l.find(v)
		if p == nil && (v == l.settled || !m.neverSettled(v)) {
			return false
		}
		if p != nil && !m.mostOf(p, onList) {
			return false
		}
	}
	return true
}

// allMoved tells whether every member of every older list that may still be voted under
// was heard on the list in force. No member votes under a list that it has left, so that
// there are no leases to wait for. It is the usual case of a planned change.
func (m *Machine) allMoved() bool {
	l := &m.lease
	for v := l.settled; v < m.listVersion(); v++ {
		p := l.find(v)
		if p == nil {
			return false
		}
		for _, id := range p.Members {
			e, heard := l.evidence[id]
			if id != m.self && (!heard || !e.established || e.list != m.listVersion()) {
				return false
			}
		}
	}
	return true
}

// neverSettled tells whether a version whose members are unknown cannot have been voted
// under. Whoever wanted to would have needed more than half of each earlier list on it,
// but more than half passed it over.
func (m *Machine) neverSettled(skipped uint64) bool {
	if m.faults.ignoreSkipped {
		return true
	}
	version := m.listVersion()
	passedOver := func(e *evidence) bool { return e.list == version && e.passedOver(skipped) }
	for i := range m.lease.stack {
		p := &m.lease.stack[i]
		if p.Version < skipped && !m.mostOf(p, passedOver) {
			return false
		}
	}
	return true
}

// mostOf tells whether more than half of an older list said something. VMs that the
// operator marked lost are left out.
func (m *Machine) mostOf(p *Predecessor, said func(*evidence) bool) bool {
	total, count := m.electors(p), 0
	if 2*(len(m.lease.evidence)+1) <= total {
		return false
	}
	for id, e := range m.lease.evidence {
		if p.names(id) && !m.lease.isLost(id) && said(&e) {
			count++
		}
	}
	if own := m.ownEvidence(); p.names(m.self) && said(&own) {
		count++
	}
	return total == 0 || count > total/2
}

func (m *Machine) ownEvidence() evidence {
	l := &m.lease
	return evidence{list: m.listVersion(), anchor: l.anchor, visited: l.visited, established: l.established}
}

func (l *lease) find(version uint64) *Predecessor {
	for i := range l.stack {
		if l.stack[i].Version == version {
			return &l.stack[i]
		}
	}
	return nil
}

// isFormer tells whether a VM is named by an older list that is not settled.
func (l *lease) isFormer(id fleet.ID) bool {
	return slices.ContainsFunc(l.stack, func(p Predecessor) bool { return p.names(id) })
}
