package member

import (
	"github.com/almondflow/almondflow/seedtest"

	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
)

func TestMain(m *testing.M) { seedtest.Main(m) }

// step is the resolution of the world's virtual time.
const step = 50 * clock.Millisecond

func vmName(i int) string { return fmt.Sprintf("vm-%d", i) }

func listOf(version uint64, vms ...int) *fleet.List {
	var all []fleet.VM
	for _, i := range vms {
		all = append(all, fleet.NewVM(vmName(i), "domain", netip.AddrPort{}, netip.AddrPort{}, fleet.Serving))
	}
	return fleet.NewList(version, all)
}

func upTo(n int) []int {
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

// node is one process under test on its own skewed clock.
type node struct {
	world      *world
	id         fleet.ID
	machine    *Machine
	rate       clock.Millis // thousandths of true time
	up         bool
	paused     bool
	mute       bool // what it sends is lost
	pulls      bool // false for a node whose pulls fail
	side       int  // nodes on different sides of a partition do not reach each other
	held       Voting
	permission Permission
	wanted     []Event
	events     []Event
	last       envelope
	sent       int
	bytes      int
}

func (n *node) now() clock.Millis { return 1_000_000 + n.world.now*n.rate/1000 }

func (n *node) Send(to fleet.ID, m *Message) {
	n.last = envelope{to: to, message: m}
	n.sent++
	n.bytes += m.Size()
	n.world.post(n.id, to, m)
}

func (n *node) Event(e Event) {
	n.events = append(n.events, e)
	if e.Kind == PullWanted {
		n.wanted = append(n.wanted, e)
	}
}

func (n *node) voting() uint64 {
	if !n.up || n.now() >= n.held.Until {
		return 0
	}
	return n.held.List
}

// world joins machines by a lossy network in virtual time.
type world struct {
	now       clock.Millis
	random    *rand.Rand
	nodes     []*node
	byID      map[fleet.ID]*node
	queue     []envelope
	lists     []*fleet.List // published versions, ascending
	lossPer   int           // lost messages in a hundred
	doublePer int           // doubled messages in a hundred
	delay     clock.Millis  // longest delay
	reticent  bool          // the budget lets nobody name predecessors
	options   []Option
}

func newWorld(seed uint64, options ...Option) *world {
	return &world{random: rand.New(rand.NewPCG(seed, 1)), byID: map[fleet.ID]*node{}, options: options}
}

func (w *world) post(from, to fleet.ID, m *Message) {
	if !w.reach(w.byID[from], w.byID[to]) {
		return
	}
	if w.reticent {
		m.Predecessor = Predecessor{}
	}
	copies := 1
	if w.random.IntN(100) < w.doublePer {
		copies++
	}
	for range copies {
		if w.random.IntN(100) < w.lossPer {
			continue
		}
		due := w.now
		if w.delay > 0 {
			due += clock.Millis(w.random.Int64N(int64(w.delay)))
		}
		w.queue = append(w.queue, envelope{due, from, to, m})
	}
}

// start begins a process of a VM on a list.
func (w *world) start(i int, list *fleet.List) {
	id := fleet.NewID(vmName(i))
	n := w.byID[id]
	if n == nil {
		n = &node{world: w, id: id, rate: 1000}
		w.byID[id] = n
		w.nodes = append(w.nodes, n)
	}
	incarnation := uint64(1)
	if n.machine != nil {
		incarnation = n.machine.Incarnation() + 1_000
	}
	n.up, n.pulls, n.paused, n.held, n.wanted = true, true, false, Voting{}, nil
	n.permission = Permission{}
	random := rand.New(rand.NewPCG(w.random.Uint64(), uint64(id)))
	n.machine = New(id, incarnation, n.now(), random, n, w.options...)
	n.machine.SetList(n.now(), list)
}

func (w *world) reach(from, to *node) bool {
	return from != nil && to != nil && from.up && to.up && !from.mute && from.side == to.side
}

// run lets time pass and calls check after each step.
func (w *world) run(span clock.Millis, check func() error) error {
	for end := w.now + span; w.now < end; {
		w.now += step
		w.deliver()
		for i, n := range w.nodes {
			if n.up && !n.paused && (w.now/step+clock.Millis(i))%2 == 0 {
				n.machine.Tick(n.now())
				w.pull(n)
				n.held = n.machine.Voting(n.now())
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

func (w *world) deliver() {
	var due []envelope
	w.queue = slices.DeleteFunc(w.queue, func(e envelope) bool {
		to := w.byID[e.to]
		if e.due > w.now || (to != nil && to.up && to.paused) {
			return false
		}
		due = append(due, e)
		return true
	})
	slices.SortStableFunc(due, func(a, b envelope) int { return int(a.due - b.due) })
	for _, e := range due {
		if to := w.byID[e.to]; to.up {
			to.machine.Receive(to.now(), e.from, e.message)
		}
	}
}

// pull serves the pulls that a node asked for.
func (w *world) pull(n *node) {
	wanted := n.wanted
	n.wanted = nil
	for _, e := range wanted {
		from := w.byID[e.Member]
		if !n.pulls || !w.reach(n, from) || w.random.IntN(100) < w.lossPer {
			continue
		}
		if e.Name == ListName {
			n.machine.SetList(n.now(), from.machine.list)
		} else {
			n.machine.SetVersions(n.now(), from.machine.versions.digest(from.now()))
		}
	}
}

// oneVote reports an error when two lists are voted under at the same true time, or when
// a permission reaches back to a list that is not voted under any more.
func (w *world) oneVote() error {
	if err := w.permissionsAgree(); err != nil {
		return err
	}
	var first *node
	for _, n := range w.nodes {
		switch {
		case n.voting() == 0:
		case first == nil:
			first = n
		case first.voting() != n.voting():
			return fmt.Errorf("at %d ms: list %d and list %d are both voted under",
				w.now, first.voting(), n.voting())
		}
	}
	return nil
}

// permissionsAgree reports an error when a daemon takes a list for settled while another
// may still act on a lower one.
func (w *world) permissionsAgree() error {
	for _, a := range w.nodes {
		for _, b := range w.nodes {
			p, q := a.permitted(), b.permitted()
			if p.List != 0 && q.List != 0 && p.List < q.Settled {
				return fmt.Errorf("at %d ms: list %d is acted on and list %d is settled", w.now, p.List, q.Settled)
			}
		}
	}
	return nil
}

func (n *node) permitted() Permission {
	if !n.up || n.now() >= n.permission.Until {
		return Permission{}
	}
	return n.permission
}

func (w *world) voters() int {
	count := 0
	for _, n := range w.nodes {
		if n.voting() > 0 {
			count++
		}
	}
	return count
}
