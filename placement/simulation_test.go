package placement_test

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/placement"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/table"
)

// The lifetimes of flows have a Pareto distribution with a mean of 30 s. Most flows are
// short, but the few long ones make up half of the open flows.
const (
	tailShape    = 1.5
	shortestFlow = 10 * clock.Second
	longestFlow  = clock.Hour
	tick         = 100 * clock.Millisecond
)

// openFlow is an open flow of the simulation.
type openFlow struct {
	hash   uint64
	owner  int
	target flow.TargetID
}

// simulation drives the placers of 8 owners in 4 domains in virtual time.
type simulation struct {
	tb          testing.TB
	random      *rand.Rand
	now         clock.Millis
	tables      *tables
	snapshot    *table.Snapshot
	ranking     *fleet.Ranking
	list        *fleet.List
	owners      []*placement.Placer
	index       map[fleet.ID]int
	crashed     []bool
	deadTargets map[flow.TargetID]bool
	endings     map[clock.Millis][]*openFlow
	open        map[*openFlow]bool
	flows       int
	refused     int
	placed      map[flow.TargetID]int
	// externalLoad is the load of the first host from outside the fleet, relative to the
	// mean load of all hosts.
	externalLoad float64
}

func newSimulation(tb testing.TB, t *tables, options ...placement.Option) *simulation {
	s := &simulation{
		tb: tb, random: rand.New(rand.NewPCG(1, 2)), tables: t, list: newList(tb, 8, 4),
		index: make(map[fleet.ID]int), crashed: make([]bool, 8), deadTargets: make(map[flow.TargetID]bool),
		endings: make(map[clock.Millis][]*openFlow), open: make(map[*openFlow]bool),
		placed: make(map[flow.TargetID]int),
	}
	s.ranking = fleet.NewRanking(s.list)
	for i := range 8 {
		s.index[fleet.NewID(vmName(i))] = i
		s.owners = append(s.owners, placement.New(options...))
	}
	s.setFleet()
	s.setTables()
	return s
}

func (s *simulation) setTables() {
	s.snapshot = s.tables.parse(s.tb)
	for _, p := range s.owners {
		p.SetTables(s.now, s.snapshot)
	}
}

func (s *simulation) setFleet() {
	alive := func(id fleet.ID) bool { return !s.crashed[s.index[id]] }
	for id, i := range s.index {
		s.owners[i].SetFleet(s.now, placement.NewFleetShares(s.list, id, alive))
	}
}

func (s *simulation) setEjected(ejected ...flow.TargetID) {
	for _, p := range s.owners {
		p.SetEjected(s.now, ejected)
	}
}

// run opens flows at a rate per second and calls each once per second.
func (s *simulation) run(span clock.Millis, rate int, each func()) {
	for end := s.now + span; s.now < end; s.now += tick {
		for range rate * int(tick) / int(clock.Second) {
			s.arrive()
		}
		for _, f := range s.endings[s.now] {
			s.end(f)
		}
		delete(s.endings, s.now)
		if each != nil && s.now%clock.Second == 0 {
			each()
		}
	}
}

func (s *simulation) arrive() {
	s.flows++
	f := &openFlow{hash: flowHash(s.flows)}
	f.owner = s.ownerOf(f.hash)
	p := s.owners[f.owner]
	target, code := p.Place(s.now, s.snapshot.Routes()[0], f.hash, 0)
	if code == result.Placed && s.deadTargets[target.ID()] {
		p.RemoveFlow(target.ID())
		target, code = p.Place(s.now, s.snapshot.Routes()[0], f.hash, target.ID())
	}
	if code != result.Placed || s.deadTargets[target.ID()] {
		s.refused++
		return
	}
	p.Observe(s.now, target.ID(), placement.Answered)
	f.target = target.ID()
	s.placed[f.target]++
	s.open[f] = true
	lifetime := float64(shortestFlow) * math.Pow(1-s.random.Float64(), -1/tailShape)
	end := s.now + tick + clock.Millis(min(lifetime, float64(longestFlow)))
	s.endings[end/tick*tick] = append(s.endings[end/tick*tick], f)
}

func (s *simulation) ownerOf(hash uint64) int {
	holders := s.ranking.Holders(hash, fleet.TwoInHomeDomain)
	for i := range holders.Len() {
		if owner := s.index[holders.At(i)]; !s.crashed[owner] {
			return owner
		}
	}
	s.tb.Fatal("no holder is alive")
	return 0
}

func (s *simulation) end(f *openFlow) {
	if s.open[f] {
		delete(s.open, f)
		s.owners[f.owner].RemoveFlow(f.target)
	}
}

// crashOwner moves the flows of an owner to the next of their holders.
func (s *simulation) crashOwner(owner int) {
	s.crashed[owner] = true
	s.setFleet()
	for f := range s.open {
		if f.owner == owner {
			f.owner = s.ownerOf(f.hash)
			s.owners[f.owner].AddFlow(f.target)
		}
	}
}

// crashTarget ends the flows of a target. Their clients reconnect at once.
func (s *simulation) crashTarget(id flow.TargetID) {
	s.deadTargets[id] = true
	reconnecting := 0
	for f := range s.open {
		if f.target == id {
			s.end(f)
			reconnecting++
		}
	}
	for range reconnecting {
		s.arrive()
	}
}

// imbalance returns the largest number of flows per weight of the hosts that take new
// flows, relative to the mean.
func (s *simulation) imbalance() float64 {
	largest, flows, weights := 0.0, 0.0, 0.0
	for i, h := range s.tables.hosts {
		if h.Mark == "leaving" || s.deadTargets[h.id()] {
			continue
		}
		active := s.total(i)
		largest = max(largest, active/float64(h.Weight))
		flows += active
		weights += float64(h.Weight)
	}
	return largest * weights / flows
}

// total returns the number of flows on a host, including its external load.
func (s *simulation) total(host int) float64 {
	active := float64(s.active(s.tables.hosts[host].id()))
	if host == 0 {
		active += s.externalLoad * float64(len(s.open)) / float64(len(s.tables.hosts))
	}
	return active
}

func (s *simulation) active(id flow.TargetID) int64 {
	total := int64(0)
	for i, p := range s.owners {
		if !s.crashed[i] {
			total += p.Active(id)
		}
	}
	return total
}

// worstImbalance returns the largest imbalance within a span.
func (s *simulation) worstImbalance(span clock.Millis, rate int) float64 {
	worst := 0.0
	s.run(span, rate, func() { worst = max(worst, s.imbalance()) })
	return worst
}

// sameTargetShare returns the share of the flows of an owner that their next holder would
// place on the same target. It leaves out the flows of the first host, which takes no new
// flows.
func (s *simulation) sameTargetShare(owner int) float64 {
	s.crashed[owner] = true
	flows, same := 0.0, 0.0
	byHash := func(a, b *openFlow) int { return cmp.Compare(a.hash, b.hash) }
	for _, f := range slices.SortedFunc(maps.Keys(s.open), byHash) {
		if f.owner != owner || f.target == s.tables.hosts[0].id() {
			continue
		}
		next := s.owners[s.ownerOf(f.hash)]
		target, _ := next.Place(s.now, s.snapshot.Routes()[0], f.hash, 0)
		next.RemoveFlow(target.ID())
		flows++
		if target.ID() == f.target {
			same++
		}
	}
	return same / flows
}
