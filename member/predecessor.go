package member

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
)

// visitedBits is the number of versions that Message.VisitedVersions covers.
const visitedBits = 64

// visitedSinceSettled returns the visited versions without those below the settled one,
// which no daemon needs. The field is therefore empty on the wire while the list does not
// change.
func (m *Machine) visitedSinceSettled() uint64 {
	l := &m.lease
	version := m.listVersion()
	if l.settled == 0 || l.settled > version || version-l.settled >= visitedBits {
		return l.visited
	}
	return l.visited & (1<<(version-l.settled) - 1)
}

// missingPredecessor returns the lowest version from the settled list up to the current
// one whose members this daemon does not know, or 0.
func (m *Machine) missingPredecessor() uint64 {
	l := &m.lease
	version := m.listVersion()
	if l.settled == 0 || l.settled >= version || version-l.settled > maxPredecessors {
		return 0
	}
	for v := l.settled; v < version; v++ {
		if l.findPredecessor(v) == nil {
			return v
		}
	}
	return 0
}

// lookUpPredecessor returns the members of a version that a peer asked for, if they are
// known and the rate limit allows sending them.
func (m *Machine) lookUpPredecessor(now clock.Millis, version uint64) ListMembers {
	var p ListMembers
	switch known := m.lease.findPredecessor(version); {
	case version == 0:
	case known != nil:
		p = *known
	case m.listVersion() == version:
		p = m.lease.current
	}
	size := len(p.Members) * memberBytes
	if p.Version == 0 || len(p.Members) > MaxPredecessorMembers || !m.rateLimiter.Allow(now, ClassVersions, size) {
		return ListMembers{}
	}
	return p
}

// mergePredecessor stores the members of an older version that a peer reported.
func (m *Machine) mergePredecessor(p *ListMembers) {
	l := &m.lease
	if p.Version == 0 || l.settled == 0 || p.Version >= m.listVersion() || len(p.Members) > MaxPredecessorMembers {
		return
	}
	l.addPredecessor(*p)
	l.updateLost(m.list)
	m.chooseProbedMembers()
}

// formerMembers returns the VMs that only older lists name, in a fixed order. They count
// towards majorities as long as daemons may vote under these lists. It returns none for
// fleets with more than MaxPredecessorMembers peers, which have no leases.
func (m *Machine) formerMembers() []fleet.ID {
	if len(m.peers) > MaxPredecessorMembers {
		return nil
	}
	var ids []fleet.ID
	seen := make(map[fleet.ID]struct{})
	for i := range m.lease.predecessors {
		for _, id := range m.lease.predecessors[i].Members {
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
