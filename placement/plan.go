package placement

import (
	"math"
	"sync"
	"sync/atomic"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/result"
)

const (
	// maxRecentShare limits the recent new flows of a target, relative to its fair share.
	// Without it a target that has no flows, or that ends them at once, would attract all
	// new flows.
	maxRecentShare = 1.4
	// recentShareSlack is the number of flows allowed above the limit, so that the limit
	// has no effect when there are few flows.
	recentShareSlack = 1
	// coldSalt makes the selection of cold targets independent of other uses of the flow
	// hash.
	coldSalt fleet.ID = 0x636f6c64
)

// candidate is a target that takes new flows under a plan.
type candidate struct {
	load   *targetLoad
	target flow.Target
	// baseWeight is the weight in the tables. weight is the effective weight after slow
	// start and corrections.
	baseWeight float64
	weight     float64
	// maxFlows and maxOpenings are this VM's share of the target's limits. Zero
	// means no limit.
	maxFlows    int64
	maxOpenings int64
}

// HashID implements Candidate.
func (c *candidate) HashID() fleet.ID { return fleet.ID(c.target.ID()) }

// Weight implements Candidate.
func (c *candidate) Weight() float64 { return c.weight }

// Active implements Candidate.
func (c *candidate) Active() int64 { return c.load.active.Load() }

// hasRoom reports whether the target's limits allow one more flow. The limit of openings
// only applies once the target has answered a flow, because without answers openings
// cannot be counted.
func (c *candidate) hasRoom(now clock.Millis) bool {
	if c.maxFlows > 0 && c.load.active.Load() >= c.maxFlows {
		return false
	}
	return c.maxOpenings == 0 || !c.load.hasAnswered.Load() || c.load.recentOpenings.count(now) < c.maxOpenings
}

// reserve counts a flow on the target. It returns false if the target has reached its
// flow limit or its load is retired.
func (c *candidate) reserve(now clock.Millis) bool {
	if !c.load.reserve(c.maxFlows) {
		return false
	}
	c.load.recentPlaced.add(now)
	c.load.recentOpenings.add(now)
	c.load.placedSinceCollect.Add(1)
	return true
}

// domainGroup holds the candidates of a pool in one failure domain.
type domainGroup struct {
	domain fleet.ID
	// capacity is the weight of the domain relative to the other domains.
	capacity float64
	// baseWeight is the sum of the base weights of the warm and cold candidates.
	baseWeight float64
	warm       []*candidate
	cold       []*candidate
	// coldBounds holds the cumulative shares of new flows that the cold candidates take.
	coldBounds []float64
}

// plan holds the precomputed candidates of one pool. Apart from its usage flag it is
// immutable.
type plan struct {
	groups      []domainGroup
	policy      Policy[*candidate]
	allowsSpill bool
	// loads holds the loads of all hosts of the plan, including ejected ones.
	loads []*targetLoad
	// generation is the Placer's generation when the plan was built.
	generation uint64
	// used is set when the plan places a flow and cleared by each sweep.
	used atomic.Bool
	// replanAt is when the plan is due to be rebuilt.
	replanAt clock.Millis
}

// scratch is a reusable list of candidates. A pool of them keeps placement free of
// allocations.
type scratch struct {
	candidates []*candidate
}

var scratches = sync.Pool{New: func() any {
	return &scratch{candidates: make([]*candidate, 0, 2*subsetSize)}
}}

// placeRequest holds the arguments of one placement.
type placeRequest struct {
	now      clock.Millis
	hash     uint64
	excluded flow.TargetID
}

// place selects a failure domain and a target in it, and counts the flow.
func (p *plan) place(request placeRequest) (flow.Target, result.Code) {
	if !p.used.Load() {
		p.used.Store(true)
	}
	code := result.RefusedNoTarget
	cost, index := math.Inf(-1), -1
	for {
		cost, index = p.nextDomain(request.hash, cost, index)
		if index < 0 {
			return flow.Target{}, code
		}
		target, groupCode := p.groups[index].place(request, p)
		if groupCode == result.Placed {
			return target, groupCode
		}
		if groupCode == result.RefusedFull {
			code = groupCode
		}
		if !p.allowsSpill {
			return flow.Target{}, code
		}
	}
}

// nextDomain returns the cost and index of the domain that follows the given one in
// weighted rendezvous order. The index is -1 after the last domain. If all capacities are
// equal, this is also the order of the flow's home domains, so that most flows stay in the
// domain of their owner.
func (p *plan) nextDomain(hash uint64, after float64, last int) (cost float64, index int) {
	cost, index = math.Inf(1), -1
	for i := range p.groups {
		domainCost := rendezvousCost(hash, p.groups[i].domain, p.groups[i].capacity)
		isLater := domainCost > after || (domainCost == after && i > last)
		if isLater && domainCost < cost {
			cost, index = domainCost, i
		}
	}
	return cost, index
}

// forEach calls visit with every candidate.
func (g *domainGroup) forEach(visit func(*candidate)) {
	for _, c := range g.warm {
		visit(c)
	}
	for _, c := range g.cold {
		visit(c)
	}
}

func (g *domainGroup) place(request placeRequest, p *plan) (flow.Target, result.Code) {
	if len(g.warm)+len(g.cold) == 0 {
		return flow.Target{}, result.RefusedNoTarget
	}
	if c := g.selectCold(request.hash); c != nil && c.load.id != request.excluded && c.hasRoom(request.now) && c.reserve(request.now) {
		return c.target, result.Placed
	}
	s, _ := scratches.Get().(*scratch)
	defer scratches.Put(s)
	s.candidates = g.appendWarm(s.candidates[:0], request)
	if c := reserveOne(s.candidates, request, p.policy); c != nil {
		return c.target, result.Placed
	}
	s.candidates = g.appendAll(s.candidates[:0], request)
	if c := reserveOne(s.candidates, request, p.policy); c != nil {
		return c.target, result.Placed
	}
	return flow.Target{}, result.RefusedFull
}

// selectCold returns the cold candidate whose share of new flows contains the hash, or
// nil.
func (g *domainGroup) selectCold(hash uint64) *candidate {
	if len(g.cold) == 0 {
		return nil
	}
	point := unitInterval(fleet.RendezvousScore(hash, coldSalt))
	for i, bound := range g.coldBounds {
		if point < bound {
			return g.cold[i]
		}
	}
	return nil
}

// appendWarm appends the warm candidates that have room and whose recent flows are within
// their share.
func (g *domainGroup) appendWarm(candidates []*candidate, request placeRequest) []*candidate {
	recent := g.recentFlows(request.now)
	for _, c := range g.warm {
		share := maxRecentShare * c.baseWeight / g.baseWeight
		withinShare := float64(c.load.recentPlaced.count(request.now)) < share*recent+recentShareSlack
		if withinShare && c.load.id != request.excluded && c.hasRoom(request.now) {
			candidates = append(candidates, c)
		}
	}
	return candidates
}

// appendAll appends every candidate that has room, because an uneven distribution is
// better than refusing flows.
func (g *domainGroup) appendAll(candidates []*candidate, request placeRequest) []*candidate {
	for _, members := range [2][]*candidate{g.warm, g.cold} {
		for _, c := range members {
			if c.load.id != request.excluded && c.hasRoom(request.now) {
				candidates = append(candidates, c)
			}
		}
	}
	return candidates
}

// recentFlows returns the number of flows recently placed on the group.
func (g *domainGroup) recentFlows(now clock.Millis) float64 {
	total := int64(0)
	for _, members := range [2][]*candidate{g.warm, g.cold} {
		for _, c := range members {
			total += c.load.recentPlaced.count(now)
		}
	}
	return float64(total)
}

// reserveOne selects candidates with the policy until a flow is reserved on one of them.
// It returns nil if there is none. It reorders the list.
func reserveOne(candidates []*candidate, request placeRequest, policy Policy[*candidate]) *candidate {
	for len(candidates) > 0 {
		i := policy.Choose(request.hash, candidates)
		c := candidates[i]
		if c.reserve(request.now) {
			return c
		}
		last := len(candidates) - 1
		candidates[i] = candidates[last]
		candidates = candidates[:last]
	}
	return nil
}
