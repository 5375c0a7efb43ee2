package member

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
)

// visitedBits is the number of versions that Message.Visited reaches back.
const visitedBits = 64

// visitedSinceSettled cuts the versions off that concern nobody any more, so that the
// field costs nothing while no list changes.
func (m *Machine) visitedSinceSettled() uint64 {
	l := &m.lease
	version := m.listVersion()
	if l.settled == 0 || l.settled > version || version-l.settled >= visitedBits {
		return l.visited
	}
	return l.visited & (1<<(version-l.settled) - 1)
}

// wanted returns the lowest version between the settled list and the one in force whose
// members this daemon does not know, or 0.
func (m *Machine) wanted() uint64 {
	l := &m.lease
	version := m.listVersion()
	if l.settled == 0 || l.settled >= version || version-l.settled > maximumStack {
		return 0
	}
	for v := l.settled; v < version; v++ {
		if l.find(v) == nil {
			return v
		}
	}
	return 0
}

// predecessor returns the members of a version that a peer wants to know.
func (m *Machine) predecessor(now clock.Millis, wanted uint64) Predecessor {
	var p Predecessor
	switch known := m.lease.find(wanted); {
	case wanted == 0:
	case known != nil:
		p = *known
	case m.listVersion() == wanted:
		p = m.lease.current
	}
	size := len(p.Members) * memberBytes
	if p.Version == 0 || len(p.Members) > MaximumPredecessor || !m.budget.Allow(now, ClassVersions, size) {
		return Predecessor{}
	}
	return p
}

// learnPredecessor takes the members of an older version that a peer named.
func (m *Machine) learnPredecessor(p *Predecessor) {
	l := &m.lease
	if p.Version == 0 || l.settled == 0 || p.Version >= m.listVersion() || len(p.Members) > MaximumPredecessor {
		return
	}
	l.remember(*p)
	l.rememberLost(m.list)
	m.choosePartners()
}

// formers returns the VMs that only older lists name, which still have a say until those
// are settled, in a fixed order. Large fleets, which have no leases, have none.
func (m *Machine) formers() []fleet.ID {
	if len(m.peers) > MaximumPredecessor {
		return nil
	}
	var ids []fleet.ID
	seen := make(map[fleet.ID]struct{})
	for i := range m.lease.stack {
		for _, id := range m.lease.stack[i].Members {
			_, isSeen := seen[id]
			if id == m.self || isSeen || m.lease.isLost(id) || m.peers[id] != nil {
				continue
			}
			seen[id] = struct{}{}
			ids = append(ids, id)
		}
	}
	return ids
}
