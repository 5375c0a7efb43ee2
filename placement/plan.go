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
	// shareCap is the most that a target gets of the new flows of the last windows,
	// relative to its fair share. It keeps a target without flows, or one that ends
	// them at once, from drawing all new ones.
	shareCap = 1.4
	// shareSlack is the number of flows that the cap allows on top, so that it does not
	// bind where flows are few.
	shareSlack = 1
	// coldSalt keeps the choice of a cold target independent of other uses of the hash.
	coldSalt fleet.ID = 0x636f6c64
)

// candidate is a target that takes new flows under a plan.
type candidate struct {
	load   *load
	target flow.Target
	// base is the weight of the tables, weight the one that slow start and corrections
	// leave of it.
	base   float64
	weight float64
	// connections and openings are this VM's share of the target's limits, or zero.
	connections int64
	openings    int64
}

// Rank implements Candidate.
func (c *candidate) Rank() fleet.ID { return fleet.ID(c.target.ID()) }

// Weight implements Candidate.
func (c *candidate) Weight() float64 { return c.weight }

// Active implements Candidate.
func (c *candidate) Active() int64 { return c.load.active.Load() }

// hasRoom reports whether the target's limits allow one more flow. Openings bind only
// once an answer of the target was seen, since without answers they cannot be counted.
func (c *candidate) hasRoom(now clock.Millis) bool {
	if c.connections > 0 && c.load.active.Load() >= c.connections {
		return false
	}
	return c.openings == 0 || !c.load.answers.Load() || c.load.opening.count(now) < c.openings
}

// take counts a flow on the target unless its connections are used up.
func (c *candidate) take(now clock.Millis) bool {
	if !c.load.reserve(c.connections) {
		return false
	}
	c.load.placed.add(now)
	c.load.opening.add(now)
	c.load.fresh.Add(1)
	return true
}

// group is the part of a pool in one failure domain.
type group struct {
	domain fleet.ID
	// capacity weighs the domain against the others.
	capacity float64
	// base is the sum of the weights of the tables over warm and cold.
	base float64
	warm []*candidate
	cold []*candidate
	// bounds are the cumulative shares of new flows that the cold candidates take.
	bounds []float64
}

// plan is how the flows of one pool are placed until it is made anew. It is immutable but for its
// mark of use.
type plan struct {
	groups []group
	policy Policy[*candidate]
	spill  bool
	// loads are those of all hosts of the plan, ejected ones too.
	loads []*load
	// generation is that of the Placer when the plan was made.
	generation uint64
	// used says that a flow was placed by the plan since the last sweep.
	used atomic.Bool
	// until is when the plan is due to be made anew.
	until clock.Millis
}

// scratch is the list of candidates of one decision. It is pooled, so that decisions
// allocate nothing.
type scratch struct {
	candidates []*candidate
}

var scratches = sync.Pool{New: func() any {
	return &scratch{candidates: make([]*candidate, 0, 2*subsetSize)}
}}

// decision is what a plan is asked: a target for the hash of a flow at a time.
type decision struct {
	now      clock.Millis
	hash     uint64
	excluded flow.TargetID
}

// place chooses the failure domain and in it a target, and counts the flow.
func (p *plan) place(d decision) (flow.Target, result.Code) {
	if !p.used.Load() {
		p.used.Store(true)
	}
	code := result.RefusedNoTarget
	cost, at := math.Inf(-1), -1
	for {
		cost, at = p.next(d.hash, cost, at)
		if at < 0 {
			return flow.Target{}, code
		}
		target, answer := p.groups[at].place(d, p)
		if answer == result.Placed {
			return target, answer
		}
		if answer == result.RefusedFull {
			code = answer
		}
		if !p.spill {
			return flow.Target{}, code
		}
	}
}

// next returns the domain that follows the given one in the order of weighted
// rendezvous, or -1 after the last. The order is that of the flow's home domains where
// the capacities are equal, so that most flows stay in the domain of their owner.
func (p *plan) next(hash uint64, after float64, last int) (cost float64, at int) {
	cost, at = math.Inf(1), -1
	for i := range p.groups {
		own := rendezvousCost(hash, p.groups[i].domain, p.groups[i].capacity)
		isLater := own > after || (own == after && i > last)
		if isLater && own < cost {
			cost, at = own, i
		}
	}
	return cost, at
}

// each calls visit with every candidate.
func (g *group) each(visit func(*candidate)) {
	for _, c := range g.warm {
		visit(c)
	}
	for _, c := range g.cold {
		visit(c)
	}
}

func (g *group) place(d decision, p *plan) (flow.Target, result.Code) {
	if len(g.warm)+len(g.cold) == 0 {
		return flow.Target{}, result.RefusedNoTarget
	}
	if c := g.pickCold(d.hash); c != nil && c.load.id != d.excluded && c.hasRoom(d.now) && c.take(d.now) {
		return c.target, result.Placed
	}
	s, _ := scratches.Get().(*scratch)
	defer scratches.Put(s)
	s.candidates = g.appendWarm(s.candidates[:0], d)
	if c := choose(s.candidates, d, p.policy); c != nil {
		return c.target, result.Placed
	}
	s.candidates = g.appendAll(s.candidates[:0], d)
	if c := choose(s.candidates, d, p.policy); c != nil {
		return c.target, result.Placed
	}
	return flow.Target{}, result.RefusedFull
}

// pickCold returns the cold candidate whose share the hash falls into, or nil.
func (g *group) pickCold(hash uint64) *candidate {
	if len(g.cold) == 0 {
		return nil
	}
	at := unit(fleet.Score(hash, coldSalt))
	for i, bound := range g.bounds {
		if at < bound {
			return g.cold[i]
		}
	}
	return nil
}

// appendWarm lists the warm candidates with room that are within their share of the
// recent flows.
func (g *group) appendWarm(to []*candidate, d decision) []*candidate {
	recent := g.recent(d.now)
	for _, c := range g.warm {
		share := shareCap * c.base / g.base
		withinShare := float64(c.load.placed.count(d.now)) < share*recent+shareSlack
		if withinShare && c.load.id != d.excluded && c.hasRoom(d.now) {
			to = append(to, c)
		}
	}
	return to
}

// appendAll lists every candidate with room. Refusing is worse than an uneven share.
func (g *group) appendAll(to []*candidate, d decision) []*candidate {
	for _, part := range [2][]*candidate{g.warm, g.cold} {
		for _, c := range part {
			if c.load.id != d.excluded && c.hasRoom(d.now) {
				to = append(to, c)
			}
		}
	}
	return to
}

// recent returns the flows placed on the group in the last windows.
func (g *group) recent(now clock.Millis) float64 {
	total := int64(0)
	for _, part := range [2][]*candidate{g.warm, g.cold} {
		for _, c := range part {
			total += c.load.placed.count(now)
		}
	}
	return float64(total)
}

// choose asks the policy until a candidate can be taken. It consumes the list.
func choose(candidates []*candidate, d decision, policy Policy[*candidate]) *candidate {
	for len(candidates) > 0 {
		i := policy.Choose(d.hash, candidates)
		c := candidates[i]
		if c.take(d.now) {
			return c
		}
		last := len(candidates) - 1
		candidates[i] = candidates[last]
		candidates = candidates[:last]
	}
	return nil
}
