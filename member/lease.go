package member

import (
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
)

// Voting says under which list and how long a daemon may place flows that must not be
// repeated.
type Voting struct {
	// List is the version of the list. It is 0 when the daemon may not vote.
	List uint64
	// Until is the end of the permission on the daemon's own clock, exclusive.
	Until clock.Millis
}

// evidence is what a member said in its last answer to this daemon's own probes.
type evidence struct {
	sent        clock.Millis // when the probe was sent
	age         clock.Millis // of the answering process
	list        uint64
	previous    uint64
	established bool
}

// predecessor is an older list under which somebody may still vote.
type predecessor struct {
	version uint64
	members []fleet.ID // sorted
}

// lease is the state behind Voting. docs/decisions/lease.md gives the rules and why
// they hold.
type lease struct {
	evidence    map[fleet.ID]evidence
	established bool
	// settled is the highest version below which nobody votes any more, 0 if unknown.
	settled  uint64
	previous uint64
	stack    []predecessor // ascending versions
	lost     map[fleet.ID]struct{}
	// moved tells that enough members of all predecessors were heard on the list.
	moved   bool
	movedAt clock.Millis
}

func newLease() lease {
	return lease{evidence: make(map[fleet.ID]evidence), lost: make(map[fleet.ID]struct{})}
}

// Voting returns under which list the daemon may vote. Every datum it rests on is
// younger than the lease, counted from when the probe was sent.
func (m *Machine) Voting(now clock.Millis) Voting {
	if !m.mayVote(now) {
		return Voting{}
	}
	version := m.listVersion()
	needed := m.electorate()/2 + 1 - 1 // this daemon is one of them
	if needed == 0 {
		return m.votingUntil(now, now+m.leaseSpan)
	}
	var sent []clock.Millis
	for id, e := range m.lease.evidence {
		if e.established && e.list == version && m.isElector(id) {
			sent = append(sent, e.sent)
		}
	}
	if len(sent) < needed {
		return Voting{}
	}
	slices.Sort(sent)
	return m.votingUntil(now, sent[len(sent)-needed]+m.leaseSpan)
}

// votingUntil ends the permission early when the daemon stops ticking, so that a process
// that wakes from a pause does not vote before it noticed.
func (m *Machine) votingUntil(now, until clock.Millis) Voting {
	until = min(until, m.lastTick+pauseGap)
	if until <= now {
		return Voting{}
	}
	return Voting{List: m.listVersion(), Until: until}
}

func (m *Machine) mayVote(now clock.Millis) bool {
	return m.list != nil && m.listed && m.isElector(m.self) &&
		m.lease.established && m.lease.settled == m.listVersion() &&
		now-m.started >= m.quarantine && !m.paused && !m.leaving && now-m.lastTick <= pauseGap
}

// isElector tells whether a VM counts under the list in force.
func (m *Machine) isElector(id fleet.ID) bool {
	vm, listed := m.list.Find(id)
	return listed && vm.State() != fleet.Lost
}

// electorate is the number of VMs that count under the list in force.
func (m *Machine) electorate() int {
	count := len(m.peers)
	if m.listed && m.isElector(m.self) {
		count++
	}
	return count
}

// record keeps what a member said in answer to a probe of this daemon. An answer to an
// earlier probe than the last recorded one says nothing new.
func (m *Machine) record(now clock.Millis, from fleet.ID, sent clock.Millis, message *Message) {
	if m.faults.leaseFromArrival {
		sent = now
	}
	if old, ok := m.lease.evidence[from]; ok && old.sent > sent {
		return
	}
	m.lease.evidence[from] = evidence{
		sent:        sent,
		age:         message.Age,
		list:        message.List,
		previous:    message.Previous,
		established: message.Established,
	}
}

func (m *Machine) pruneEvidence(now clock.Millis) {
	for id, e := range m.lease.evidence {
		if e.sent+m.leaseSpan <= now {
			delete(m.lease.evidence, id)
		}
	}
}

// changeLeaseList prepares the change to a newer list. Voting under the old one ends at
// once, since Voting only ever names the list in force.
func (m *Machine) changeLeaseList(list *fleet.List) {
	l := &m.lease
	l.moved = false
	if m.list == nil {
		l.rememberLost(list)
		return
	}
	l.previous = 0
	if l.established {
		l.previous = m.list.Version()
	}
	l.stack = append(l.stack, predecessor{version: m.list.Version(), members: memberIDs(m.list)})
	if len(l.stack) > maximumStack {
		l.stack = slices.Delete(l.stack, 0, 1)
	}
	l.rememberLost(list)
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

// rememberLost keeps the operator's word on lost VMs as long as an older list that is
// still of interest names them.
func (l *lease) rememberLost(list *fleet.List) {
	vms := list.VMs()
	for i := range vms {
		if vms[i].State() == fleet.Lost {
			l.lost[vms[i].ID()] = struct{}{}
		} else {
			delete(l.lost, vms[i].ID())
		}
	}
	for id := range l.lost {
		if !slices.ContainsFunc(l.stack, func(p predecessor) bool { return p.names(id) }) {
			delete(l.lost, id)
		}
	}
}

func (p *predecessor) names(id fleet.ID) bool {
	_, found := slices.BinarySearch(p.members, id)
	return found
}
