package member

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/seedtest"
)

func TestMain(m *testing.M) { seedtest.Main(m) }

// step is the resolution of virtual time.
const step = 50 * clock.Millisecond

func vmName(i int) string { return fmt.Sprintf("vm-%d", i) }

func newList(version uint64, vms ...int) *fleet.List {
	var all []fleet.VM
	for _, i := range vms {
		all = append(all, fleet.NewVM(vmName(i), "domain", netip.AddrPort{}, netip.AddrPort{}, fleet.Serving))
	}
	return fleet.NewList(version, all)
}

func firstVMs(n int) []int {
	var all []int
	for i := range n {
		all = append(all, i)
	}
	return all
}

type envelope struct {
	due      clock.Millis
	from, to fleet.ID
	message  *Message
}

// node is a process under test with a skewed clock.
type node struct {
	simulation   *simulation
	id           fleet.ID
	machine      *Machine
	rate         clock.Millis // clock rate in thousandths of true time
	up           bool
	paused       bool
	sendsLost    bool // all messages it sends are lost
	pullsSucceed bool // whether its pulls succeed
	side         int  // side of a partition; nodes on different sides cannot reach each other
	votingLease  VotingLease
	permission   Permission
	pendingPulls []Event
	events       []Event
	lastSent     envelope
	sent         int
	bytes        int
}

func (n *node) now() clock.Millis { return 1_000_000 + n.simulation.now*n.rate/1000 }

func (n *node) Send(to fleet.ID, m *Message) {
	n.lastSent = envelope{to: to, message: m}
	n.sent++
	n.bytes += m.Size()
	n.simulation.enqueue(n.id, to, m)
}

func (n *node) Event(e Event) {
	n.events = append(n.events, e)
	if e.Kind == PullRequested {
		n.pendingPulls = append(n.pendingPulls, e)
	}
}

func (n *node) votingList() uint64 {
	if !n.up || n.now() >= n.votingLease.ExpiresAt {
		return 0
	}
	return n.votingLease.ListVersion
}

// simulation connects machines by a lossy network in virtual time.
type simulation struct {
	now              clock.Millis
	random           *rand.Rand
	nodes            []*node
	byID             map[fleet.ID]*node
	queue            []envelope
	lists            []*fleet.List // published versions, ascending
	lossPercent      int           // percentage of lost messages
	duplicatePercent int           // percentage of duplicated messages
	delay            clock.Millis  // upper bound of the random delay
	omitPredecessors bool          // as if the rate limit never allowed sending predecessors
	options          []Option
}

func newSimulation(seed uint64, options ...Option) *simulation {
	return &simulation{random: rand.New(rand.NewPCG(seed, 1)), byID: map[fleet.ID]*node{}, options: options}
}

func (s *simulation) enqueue(from, to fleet.ID, m *Message) {
	if !s.isReachable(s.byID[from], s.byID[to]) {
		return
	}
	if s.omitPredecessors {
		m.Predecessor = ListMembers{}
	}
	copies := 1
	if s.random.IntN(100) < s.duplicatePercent {
		copies++
	}
	for range copies {
		if s.random.IntN(100) < s.lossPercent {
			continue
		}
		due := s.now
		if s.delay > 0 {
			due += clock.Millis(s.random.Int64N(int64(s.delay)))
		}
		s.queue = append(s.queue, envelope{due, from, to, m})
	}
}

// start starts a process of a VM with a list.
func (s *simulation) start(i int, list *fleet.List) {
	id := fleet.NewID(vmName(i))
	n := s.byID[id]
	if n == nil {
		n = &node{simulation: s, id: id, rate: 1000}
		s.byID[id] = n
		s.nodes = append(s.nodes, n)
	}
	incarnation := uint64(1)
	if n.machine != nil {
		incarnation = n.machine.Incarnation() + 1_000
	}
	n.up, n.pullsSucceed, n.paused, n.votingLease, n.pendingPulls = true, true, false, VotingLease{}, nil
	n.permission = Permission{}
	random := rand.New(rand.NewPCG(s.random.Uint64(), uint64(id)))
	n.machine = New(id, incarnation, n.now(), random, n, s.options...)
	n.machine.SetList(n.now(), list)
}

func (s *simulation) isReachable(from, to *node) bool {
	return from != nil && to != nil && from.up && to.up && !from.sendsLost && from.side == to.side
}

// run advances time and calls check after each step.
func (s *simulation) run(duration clock.Millis, check func() error) error {
	for end := s.now + duration; s.now < end; {
		s.now += step
		s.deliver()
		for i, n := range s.nodes {
			if n.up && !n.paused && (s.now/step+clock.Millis(i))%2 == 0 {
				n.machine.Tick(n.now())
				s.pull(n)
				n.votingLease = n.machine.VotingLease(n.now())
				n.permission = n.machine.Permission(n.now())
			}
		}
		if check == nil {
			continue
		}
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *simulation) deliver() {
	var due []envelope
	s.queue = slices.DeleteFunc(s.queue, func(e envelope) bool {
		to := s.byID[e.to]
		if e.due > s.now || (to != nil && to.up && to.paused) {
			return false
		}
		due = append(due, e)
		return true
	})
	slices.SortStableFunc(due, func(a, b envelope) int { return int(a.due - b.due) })
	for _, e := range due {
		if to := s.byID[e.to]; to.up {
			to.machine.Receive(to.now(), e.from, e.message)
		}
	}
}

// pull serves the pulls that a node requested.
func (s *simulation) pull(n *node) {
	pending := n.pendingPulls
	n.pendingPulls = nil
	for _, e := range pending {
		from := s.byID[e.Member]
		if !n.pullsSucceed || !s.isReachable(n, from) || s.random.IntN(100) < s.lossPercent {
			continue
		}
		if e.Name == ListName {
			n.machine.SetList(n.now(), from.machine.list)
		} else {
			n.machine.SetVersions(n.now(), from.machine.versions.digest(from.now()))
		}
	}
}

// checkVotes reports an error if daemons vote under two lists at the same true time, or
// if a daemon may act on a list that another one considers obsolete.
func (s *simulation) checkVotes() error {
	if err := s.checkPermissions(); err != nil {
		return err
	}
	var first *node
	for _, n := range s.nodes {
		switch {
		case n.votingList() == 0:
		case first == nil:
			first = n
		case first.votingList() != n.votingList():
			return fmt.Errorf("at %d ms: daemons vote under list %d and list %d at the same time",
				s.now, first.votingList(), n.votingList())
		}
	}
	return nil
}

// checkPermissions reports an error if one daemon considers a list settled while another
// may still act on a lower one.
func (s *simulation) checkPermissions() error {
	for _, a := range s.nodes {
		for _, b := range s.nodes {
			p, q := a.currentPermission(), b.currentPermission()
			if p.ListVersion != 0 && q.ListVersion != 0 && p.ListVersion < q.SettledVersion {
				return fmt.Errorf("at %d ms: a daemon may act on list %d although list %d is settled", s.now, p.ListVersion, q.SettledVersion)
			}
		}
	}
	return nil
}

func (n *node) currentPermission() Permission {
	if !n.up || n.now() >= n.permission.ExpiresAt {
		return Permission{}
	}
	return n.permission
}

func (s *simulation) voters() int {
	count := 0
	for _, n := range s.nodes {
		if n.votingList() > 0 {
			count++
		}
	}
	return count
}
