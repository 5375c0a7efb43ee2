package member

import (
	"cmp"
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
)

// VotingLease allows a daemon to vote on all non-repeatable flows under a settled list.
type VotingLease struct {
	// ListVersion is the version of the list that the lease is for, or 0 if there is no
	// lease.
	ListVersion uint64
	// ExpiresAt is the end of the lease on the daemon's own clock, exclusive.
	ExpiresAt clock.Millis
}

// memberState is the state that a member reported in its last answer to a probe of this
// daemon.
type memberState struct {
	sent        clock.Millis // when the probe was sent
	age         clock.Millis // of the member's process
	list        uint64
	anchor      uint64
	visited     uint64
	established bool
}

// skippedList reports whether the member moved to its list without ever being on a
// version.
func (s *memberState) skippedList(version uint64) bool {
	if s.anchor == 0 || s.anchor >= version || version >= s.list || s.list-version > visitedBits {
		return false
	}
	return !s.visitedList(version)
}

// visitedList reports whether the member was on an older version, at most visitedBits
// back.
func (s *memberState) visitedList(version uint64) bool {
	return version < s.list && s.visited&(1<<(s.list-1-version)) != 0
}

// lease is the state on which voting leases and permissions are based. The rules, and why
// they hold, are in docs/decisions/lease.md.
type lease struct {
	states      map[fleet.ID]memberState
	established bool
	// settled is the highest version below which no daemon votes any more, or 0 if
	// unknown.
	settled uint64
	anchor  uint64
	visited uint64
	// predecessors holds the known older lists under which a daemon may still vote, in
	// ascending order of versions.
	predecessors []ListMembers
	// current holds the voting members of the current list.
	current ListMembers
	lost    map[fleet.ID]struct{}
	// moved is set once a majority of every predecessor has moved to the current list, and
	// movedAt is when it was set.
	moved   bool
	movedAt clock.Millis
}

func newLease() lease {
	return lease{states: make(map[fleet.ID]memberState), lost: make(map[fleet.ID]struct{})}
}

// VotingLease returns the lease of this daemon for the current list, or the zero value if it
// has none. The lease rests only on answers to probes sent less than the lease duration ago.
func (m *Machine) VotingLease(now clock.Millis) VotingLease {
	if !m.canVote(now) {
		return VotingLease{}
	}
	version := m.listVersion()
	until := m.majorityExpiresAt(now, &m.lease.current, func(s *memberState) bool { return s.list == version })
	if until <= now {
		return VotingLease{}
	}
	return VotingLease{ListVersion: version, ExpiresAt: until}
}

func (m *Machine) canVote(now clock.Millis) bool {
	return m.canParticipate(now) && m.lease.settled == m.listVersion()
}

// isVotingMember reports whether a VM counts towards majorities of the current list.
func (m *Machine) isVotingMember(id fleet.ID) bool {
	vm, listed := m.list.Find(id)
	return listed && vm.State() != fleet.Lost
}

// votingMemberCount returns the number of VMs that count towards majorities of the
// current list.
func (m *Machine) votingMemberCount() int {
	count := len(m.peers)
	if m.selfListed && m.isVotingMember(m.self) {
		count++
	}
	return count
}

// recordState stores what a member reported in an answer to a probe of this daemon.
// Answers to probes older than the last recorded one are ignored.
func (m *Machine) recordState(now clock.Millis, from fleet.ID, sent clock.Millis, message *Message) {
	if m.defects.leaseFromAnswerArrival {
		sent = now
	}
	if old, ok := m.lease.states[from]; ok && old.sent > sent {
		return
	}
	m.lease.states[from] = memberState{
		sent:        sent,
		age:         message.ProcessAge,
		list:        message.ListVersion,
		anchor:      message.AnchorVersion,
		visited:     message.VisitedVersions,
		established: message.Established,
	}
}

func (m *Machine) pruneStates(now clock.Millis) {
	for id, s := range m.lease.states {
		if s.sent+m.leaseDuration <= now {
			delete(m.lease.states, id)
		}
	}
}

// prepareListChange updates the lease state for a newer list. Voting under the old list
// ends at once, because a voting lease is always for the current list.
func (m *Machine) prepareListChange(list *fleet.List) {
	l := &m.lease
	l.moved = false
	if m.list != nil {
		l.visited = shiftVisited(l.visited<<1|1, list.Version()-m.list.Version()-1)
		l.addPredecessor(l.current)
	}
	l.current = ListMembers{Version: list.Version(), Members: memberIDs(list)}
	l.updateLost(list)
}

func shiftVisited(bits, by uint64) uint64 {
	if by >= visitedBits {
		return 0
	}
	return bits << by
}

// addPredecessor stores the members of an older list unless it is known or below the
// settled version.
func (l *lease) addPredecessor(p ListMembers) {
	at, found := slices.BinarySearchFunc(l.predecessors, p.Version, func(p ListMembers, v uint64) int {
		return cmp.Compare(p.Version, v)
	})
	if found || p.Version < l.settled {
		return
	}
	l.predecessors = slices.Insert(l.predecessors, at, p)
	if len(l.predecessors) > maxPredecessors {
		l.predecessors = slices.Delete(l.predecessors, 0, 1)
	}
}

func memberIDs(list *fleet.List) []fleet.ID {
	vms := list.VMs()
	ids := make([]fleet.ID, 0, len(vms))
	for i := range vms {
		if vms[i].State() != fleet.Lost {
			ids = append(ids, vms[i].ID())
		}
	}
	slices.Sort(ids)
	return ids
}

// updateLost records which VMs the operator marked lost. A mark is kept as long as a
// predecessor names the VM.
func (l *lease) updateLost(list *fleet.List) {
	vms := list.VMs()
	for i := range vms {
		if vms[i].State() == fleet.Lost {
			l.lost[vms[i].ID()] = struct{}{}
		} else {
			delete(l.lost, vms[i].ID())
		}
	}
	for id := range l.lost {
		if !slices.ContainsFunc(l.predecessors, func(p ListMembers) bool { return p.contains(id) }) {
			delete(l.lost, id)
		}
	}
}

func (l *lease) isLost(id fleet.ID) bool {
	_, lost := l.lost[id]
	return lost
}
