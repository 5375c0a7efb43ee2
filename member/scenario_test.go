package member

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"pgregory.net/rapid"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
)

// chooser draws the decisions of a scenario.
type chooser func(label string, n int) int

func rapidChooser(t *rapid.T) chooser {
	return func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
}

func randomChooser(seed uint64) chooser {
	random := rand.New(rand.NewPCG(seed, 2))
	return func(_ string, n int) int { return random.IntN(n) }
}

const (
	scenarioVMs     = 6
	scenarioActions = 40
	scenarioLease   = clock.Second
)

// Processes that start afresh rely on lists that change by less than half meanwhile, so
// a scenario has either restarts and small edits, or no restarts and large edits.
const (
	listsWithRestarts    = 6
	listsWithoutRestarts = 7
)

// scenario is a world whose faults are drawn by a chooser.
type scenario struct {
	*world
	choose   chooser
	restarts bool
	trace    []string
	votes    int
	lost     map[int]bool
}

func newScenario(choose chooser, f faults) *scenario {
	settings := []Option{
		WithLease(scenarioLease), WithQuarantine(scenarioLease),
		WithProbePeriod(100 * clock.Millisecond), WithBudget(NewBudget(0, 1_000_000)), withFaults(f),
	}
	w := newWorld(uint64(choose("seed", 1<<20)), settings...)
	s := &scenario{world: w, choose: choose, lost: map[int]bool{}}
	s.restarts = choose("restarts", 2) == 0
	w.lists = append(w.lists, listOf(1, upTo(3+choose("size", 3))...))
	for i := range w.lists[0].Len() {
		w.start(i, w.lists[0])
		w.nodes[i].rate = 1000 + clock.Millis(choose("rate", MaximumDriftPerMille+1))
	}
	return s
}

func (s *scenario) note(format string, values ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%6d ", s.now)+fmt.Sprintf(format, values...))
}

func (s *scenario) check() error {
	for _, n := range s.nodes {
		if n.voting() > 0 {
			s.votes++
		}
	}
	return s.oneVote()
}

func (s *scenario) let(span clock.Millis) error { return s.run(span, s.check) }

// play runs the actions and returns the first breach.
func (s *scenario) play() error {
	s.weather()
	if err := s.let(4 * clock.Second); err != nil {
		return err
	}
	actions := []func(){
		s.edit, s.deliverList, s.deliverList, s.partition, s.heal, s.pause, s.wake, s.weather, s.splitUpdate,
	}
	if s.restarts {
		actions = append(actions, s.crash, s.restart, s.restart)
	}
	for range scenarioActions {
		actions[s.choose("action", len(actions))]()
		if err := s.let(clock.Millis(1+s.choose("wait", 16)) * 2 * step); err != nil {
			return err
		}
	}
	return nil
}

func (s *scenario) latest() *fleet.List { return s.lists[len(s.lists)-1] }

func (s *scenario) pick() (int, *node) {
	i := s.choose("node", len(s.nodes))
	return i, s.nodes[i]
}

func (s *scenario) edit() {
	if s.restarts {
		s.editSmall()
	} else {
		s.editLarge()
	}
}

// editLarge publishes a list with all VMs, or goes back to the first one.
func (s *scenario) editLarge() {
	if len(s.lists) == listsWithoutRestarts {
		return
	}
	if s.choose("back", 2) == 0 {
		s.publish(s.lists[0].VMs())
		return
	}
	known := len(s.nodes)
	s.publish(listOf(0, upTo(scenarioVMs)...).VMs())
	for i := known; i < scenarioVMs; i++ {
		s.start(i, s.latest())
	}
}

// editSmall publishes a list with one VM more, one fewer or one marked lost.
func (s *scenario) editSmall() {
	if len(s.lists) == listsWithRestarts {
		return
	}
	edit := s.choose("edit", 3)
	vms := slices.Clone(s.latest().VMs())
	i, n := s.pick()
	at := slices.IndexFunc(vms, func(v fleet.VM) bool { return v.ID() == n.id })
	switch {
	case edit == 0 && len(s.nodes) < scenarioVMs:
		s.publish(append(vms, listOf(0, len(s.nodes)).VMs()...))
		s.start(len(s.nodes), s.latest())
	case edit == 1 && at >= 0 && len(vms) > 3:
		s.publish(slices.Delete(vms, at, at+1))
	case edit == 2 && at >= 0 && !n.up:
		v := &vms[at]
		vms[at] = fleet.NewVM(v.Name(), v.Domain(), v.DataAddress(), v.PeerAddress(), fleet.Lost)
		s.lost[i] = true
		s.publish(vms)
	}
}

func (s *scenario) publish(vms []fleet.VM) {
	list := fleet.NewList(s.latest().Version()+1, vms)
	s.lists = append(s.lists, list)
	s.note("publish list %d with %d VMs", list.Version(), list.Len())
}

// splitUpdate cuts the fleet in two of which one side gets the latest list.
func (s *scenario) splitUpdate() {
	s.partition()
	s.edit()
	for _, n := range s.nodes {
		if n.up && !n.paused && n.side == 1 {
			n.machine.SetList(n.now(), s.latest())
		}
	}
}

func (s *scenario) deliverList() {
	i, n := s.pick()
	list := s.lists[s.choose("list", len(s.lists))]
	if n.up && !n.paused {
		s.note("%d gets list %d", i, list.Version())
		n.machine.SetList(n.now(), list)
	}
}

func (s *scenario) partition() {
	for _, n := range s.nodes {
		n.side = s.choose("side", 2)
		n.mute = s.choose("mute", 8) == 0
		s.note("%s on side %d, mute %v", n.name(), n.side, n.mute)
	}
}

func (s *scenario) heal() {
	s.note("heal")
	for _, n := range s.nodes {
		n.side, n.mute = 0, false
	}
}

func (s *scenario) crash() {
	i, n := s.pick()
	s.note("%d crashes", i)
	n.up = false
}

// restart begins a process on any published list, as a stale platform gives it. A VM
// that the operator declared lost stays away.
func (s *scenario) restart() {
	i, n := s.pick()
	if s.lost[i] {
		return
	}
	list := s.lists[s.choose("list", len(s.lists))]
	s.note("%d restarts on list %d", i, list.Version())
	n.side = s.choose("side", 2)
	s.start(i, list)
}

func (s *scenario) pause() {
	i, n := s.pick()
	s.note("%d pauses", i)
	n.paused = true
}

func (s *scenario) wake() {
	i, n := s.pick()
	s.note("%d wakes", i)
	n.paused = false
}

func (s *scenario) weather() {
	s.lossPer = 10 * s.choose("loss", 3)
	s.doublePer = 10 * s.choose("double", 3)
	s.delay = clock.Millis(s.choose("delay", 3)) * 8 * step
	s.note("loss %d%%, doubled %d%%, delay up to %d ms", s.lossPer, s.doublePer, s.delay)
}

func (n *node) name() string { return fmt.Sprint(slices.Index(n.world.nodes, n)) }
