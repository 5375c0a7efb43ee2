package member

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"pgregory.net/rapid"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
)

// chooser makes the random choices of a scenario.
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

// Restarted processes are only safe if the list changes by less than half in the
// meantime. A scenario therefore has either restarts and small changes, or no restarts
// and large changes.
const (
	listsWithRestarts    = 6
	listsWithoutRestarts = 7
)

// scenario is a simulation with faults and changes of the list that a chooser selects.
type scenario struct {
	*simulation
	choose   chooser
	restarts bool
	trace    []string
	votes    int
	lost     map[int]bool
}

func newScenario(choose chooser, d defects) *scenario {
	opts := []Option{
		WithLease(scenarioLease), WithQuarantine(scenarioLease),
		WithProbePeriod(100 * clock.Millisecond), WithRateLimiter(NewRateLimiter(0, 1_000_000)), withDefects(d),
	}
	sim := newSimulation(uint64(choose("seed", 1<<20)), opts...)
	s := &scenario{simulation: sim, choose: choose, lost: map[int]bool{}}
	s.restarts = choose("restarts", 2) == 0
	sim.lists = append(sim.lists, newList(1, firstVMs(3+choose("size", 3))...))
	for i := range sim.lists[0].Len() {
		sim.start(i, sim.lists[0])
		sim.nodes[i].rate = 1000 + clock.Millis(choose("rate", MaxDriftPerMille+1))
	}
	return s
}

func (s *scenario) logf(format string, values ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%6d ", s.now)+fmt.Sprintf(format, values...))
}

func (s *scenario) check() error {
	for _, n := range s.nodes {
		if n.votingList() > 0 {
			s.votes++
		}
	}
	return s.checkVotes()
}

func (s *scenario) runFor(duration clock.Millis) error { return s.run(duration, s.check) }

// runActions performs random actions and returns the first violation.
func (s *scenario) runActions() error {
	s.setNetworkFaults()
	if err := s.runFor(4 * clock.Second); err != nil {
		return err
	}
	actions := []func(){
		s.changeList, s.deliverList, s.deliverList, s.partition, s.heal, s.pause, s.resume, s.setNetworkFaults, s.updateOneSide,
	}
	if s.restarts {
		actions = append(actions, s.crash, s.restart, s.restart)
	}
	for range scenarioActions {
		actions[s.choose("action", len(actions))]()
		if err := s.runFor(clock.Millis(1+s.choose("wait", 16)) * 2 * step); err != nil {
			return err
		}
	}
	return nil
}

func (s *scenario) latest() *fleet.List { return s.lists[len(s.lists)-1] }

func (s *scenario) chooseNode() (int, *node) {
	i := s.choose("node", len(s.nodes))
	return i, s.nodes[i]
}

func (s *scenario) changeList() {
	if s.restarts {
		s.changeListSmall()
	} else {
		s.changeListLarge()
	}
}

// changeListLarge publishes a list of all VMs, or returns to the members of the first
// list.
func (s *scenario) changeListLarge() {
	if len(s.lists) == listsWithoutRestarts {
		return
	}
	if s.choose("back", 2) == 0 {
		s.publish(s.lists[0].VMs())
		return
	}
	known := len(s.nodes)
	s.publish(newList(0, firstVMs(scenarioVMs)...).VMs())
	for i := known; i < scenarioVMs; i++ {
		s.start(i, s.latest())
	}
}

// changeListSmall publishes a list with one VM added, removed or marked lost.
func (s *scenario) changeListSmall() {
	if len(s.lists) == listsWithRestarts {
		return
	}
	change := s.choose("change", 3)
	vms := slices.Clone(s.latest().VMs())
	i, n := s.chooseNode()
	at := slices.IndexFunc(vms, func(v fleet.VM) bool { return v.ID() == n.id })
	switch {
	case change == 0 && len(s.nodes) < scenarioVMs:
		s.publish(append(vms, newList(0, len(s.nodes)).VMs()...))
		s.start(len(s.nodes), s.latest())
	case change == 1 && at >= 0 && len(vms) > 3:
		s.publish(slices.Delete(vms, at, at+1))
	case change == 2 && at >= 0 && !n.up:
		v := &vms[at]
		vms[at] = fleet.NewVM(v.Name(), v.Domain(), v.DataAddress(), v.PeerAddress(), fleet.Lost)
		s.lost[i] = true
		s.publish(vms)
	}
}

func (s *scenario) publish(vms []fleet.VM) {
	list := fleet.NewList(s.latest().Version()+1, vms)
	s.lists = append(s.lists, list)
	s.logf("publish list %d with %d VMs", list.Version(), list.Len())
}

// updateOneSide partitions the fleet and gives the latest list to one side.
func (s *scenario) updateOneSide() {
	s.partition()
	s.changeList()
	for _, n := range s.nodes {
		if n.up && !n.paused && n.side == 1 {
			n.machine.SetList(n.now(), s.latest())
		}
	}
}

func (s *scenario) deliverList() {
	i, n := s.chooseNode()
	list := s.lists[s.choose("list", len(s.lists))]
	if n.up && !n.paused {
		s.logf("%d gets list %d", i, list.Version())
		n.machine.SetList(n.now(), list)
	}
}

func (s *scenario) partition() {
	for _, n := range s.nodes {
		n.side = s.choose("side", 2)
		n.sendsLost = s.choose("sends lost", 8) == 0
		s.logf("%s on side %d, sends lost %v", n.name(), n.side, n.sendsLost)
	}
}

func (s *scenario) heal() {
	s.logf("partition heals")
	for _, n := range s.nodes {
		n.side, n.sendsLost = 0, false
	}
}

func (s *scenario) crash() {
	i, n := s.chooseNode()
	s.logf("%d crashes", i)
	n.up = false
}

// restart starts a process with any published list, since a stale platform may return an
// old one. VMs that the operator marked lost stay down.
func (s *scenario) restart() {
	i, n := s.chooseNode()
	if s.lost[i] {
		return
	}
	list := s.lists[s.choose("list", len(s.lists))]
	s.logf("%d restarts on list %d", i, list.Version())
	n.side = s.choose("side", 2)
	s.start(i, list)
}

func (s *scenario) pause() {
	i, n := s.chooseNode()
	s.logf("%d pauses", i)
	n.paused = true
}

func (s *scenario) resume() {
	i, n := s.chooseNode()
	s.logf("%d resumes", i)
	n.paused = false
}

func (s *scenario) setNetworkFaults() {
	s.lossPercent = 10 * s.choose("loss", 3)
	s.duplicatePercent = 10 * s.choose("duplicate", 3)
	s.delay = clock.Millis(s.choose("delay", 3)) * 8 * step
	s.logf("loss %d%%, duplicated %d%%, delay up to %d ms", s.lossPercent, s.duplicatePercent, s.delay)
}

func (n *node) name() string { return fmt.Sprint(slices.Index(n.simulation.nodes, n)) }
