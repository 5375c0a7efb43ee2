package member

import (
	"cmp"
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
	anchor      uint64
	visited     uint64
	established bool
}

// passedOver tells whether the member went to its list without ever being on a version.
func (e *evidence) passedOver(version uint64) bool {
	if e.anchor == 0 || e.anchor >= version || version >= e.list || e.list-version > visitedBits {
		return false
	}
	return !e.visitedList(version)
}

// visitedList tells whether the member was on an older version, at most visitedBits back.
func (e *evidence) visitedList(version uint64) bool {
	return version < e.list && e.visited&(1<<(e.list-1-version)) != 0
}

// lease is the state behind Voting. docs/decisions/lease.md gives the rules and why
// they hold.
type lease struct {
	evidence    map[fleet.ID]evidence
	established bool
	// settled is the highest version below which nobody votes any more, 0 if unknown.
	settled uint64
	anchor  uint64
	visited uint64
	// stack holds the older lists under which somebody may still vote, as far as they
	// are known, in ascending order of versions.
	stack []Predecessor
	// current is the list in force.
	current Predecessor
	lost    map[fleet.ID]struct{}
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
	until := m.majorityUntil(now, &m.lease.current, func(e *evidence) bool { return e.list == version })
	if until <= now {
		return Voting{}
	}
	return Voting{List: version, Until: until}
}

func (m *Machine) mayVote(now clock.Millis) bool {
	return m.mayTakePart(now) && m.lease.settled == m.listVersion()
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
		anchor:      message.Anchor,
		visited:     message.Visited,
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
	if m.list != nil {
		l.visited = shift(l.visited<<1|1, list.Version()-m.list.Version()-1)
		l.remember(l.current)
	}
	l.current = Predecessor{Version: list.Version(), Members: memberIDs(list)}
	l.rememberLost(list)
}

func shift(bits, by uint64) uint64 {
	if by >= visitedBits {
		return 0
	}
	return bits << by
}

// remember keeps the members of an older list.
func (l *lease) remember(p Predecessor) {
	at, found := slices.BinarySearchFunc(l.stack, p.Version, func(p Predecessor, v uint64) int {
		return cmp.Compare(p.Version, v)
	})
	if found || p.Version < l.settled {
		return
	}
	l.stack = slices.Insert(l.stack, at, p)
	if len(l.stack) > maximumStack {
		l.stack = slices.Delete(l.stack, 0, 1)
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
		if !slices.ContainsFunc(l.stack, func(p Predecessor) bool { return p.names(id) }) {
			delete(l.lost, id)
		}
	}
}

func (l *lease) isLost(id fleet.ID) bool {
	_, lost := l.lost[id]
	return lost
}
