package placement

import (
	"math"

	"github.com/almondflow/almondflow/fleet"
)

// Candidate is a target that a Policy can select.
type Candidate interface {
	// HashID identifies the candidate in rendezvous hashing.
	HashID() fleet.ID
	// Weight returns the candidate's share of flows relative to the others. It is above
	// zero.
	Weight() float64
	// Active returns the number of open flows.
	Active() int64
}

// Policy selects a candidate for a flow. Choose returns the index of the candidate for the
// hash of the flow; candidates must not be empty. Policies are stateless.
type Policy[C Candidate] interface {
	Choose(hash uint64, candidates []C) int
}

// ModuloHash selects the candidate at the hash modulo the number of candidates. It ignores
// weights and load, and nearly all flows move when a candidate is added or removed.
type ModuloHash[C Candidate] struct{}

// Choose implements Policy.
func (ModuloHash[C]) Choose(hash uint64, candidates []C) int {
	return int(hash % uint64(len(candidates)))
}

// RendezvousHash selects the candidate with the best weighted rendezvous score. When a
// candidate is added or removed, only its own flows move.
type RendezvousHash[C Candidate] struct{}

// Choose implements Policy.
func (RendezvousHash[C]) Choose(hash uint64, candidates []C) int {
	best, lowest := 0, math.Inf(1)
	for i, c := range candidates {
		if cost := rendezvousCost(hash, c.HashID(), c.Weight()); cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// TwoChoices selects the less loaded of the two candidates with the best weighted
// rendezvous scores.
type TwoChoices[C Candidate] struct{}

// Choose implements Policy.
func (TwoChoices[C]) Choose(hash uint64, candidates []C) int {
	first, second := -1, -1
	lowest, next := math.Inf(1), math.Inf(1)
	for i, c := range candidates {
		cost := rendezvousCost(hash, c.HashID(), c.Weight())
		switch {
		case cost < lowest:
			second, next = first, lowest
			first, lowest = i, cost
		case cost < next:
			second, next = i, cost
		}
	}
	if second >= 0 && loadAfterPlacing(candidates[second]) < loadAfterPlacing(candidates[first]) {
		return second
	}
	return first
}

// LeastLoaded selects the candidate with the fewest flows per unit of weight. The hash
// breaks ties, so that owners that have counted no flows yet do not all select the same
// candidate.
type LeastLoaded[C Candidate] struct{}

// Choose implements Policy.
func (LeastLoaded[C]) Choose(hash uint64, candidates []C) int {
	best := 0
	lowest, bestScore := math.Inf(1), uint64(0)
	for i, c := range candidates {
		load := loadAfterPlacing(c)
		if load > lowest {
			continue
		}
		score := fleet.RendezvousScore(hash, c.HashID())
		if load < lowest || score > bestScore {
			best, lowest, bestScore = i, load, score
		}
	}
	return best
}

// BoundedLoad selects, in weighted rendezvous order, the first candidate whose load per
// unit of weight stays within 1+Excess times the mean. A flow whose record is lost is
// therefore placed on the same target again, unless that target was full.
type BoundedLoad[C Candidate] struct {
	// Excess is the fraction above the mean load that a candidate may reach, such as 0.1.
	Excess float64
}

// Choose implements Policy.
func (b BoundedLoad[C]) Choose(hash uint64, candidates []C) int {
	flows, weights := 1.0, 0.0
	for _, c := range candidates {
		flows += float64(c.Active())
		weights += c.Weight()
	}
	bound := (1 + b.Excess) * flows / weights
	best, lowest := -1, math.Inf(1)
	for i, c := range candidates {
		if float64(c.Active()+1) > math.Ceil(bound*c.Weight()) {
			continue
		}
		if cost := rendezvousCost(hash, c.HashID(), c.Weight()); cost < lowest {
			best, lowest = i, cost
		}
	}
	if best < 0 {
		return LeastLoaded[C]{}.Choose(hash, candidates)
	}
	return best
}

// loadAfterPlacing returns the load per unit of weight that the candidate would have with
// one more flow.
func loadAfterPlacing[C Candidate](c C) float64 {
	return float64(c.Active()+1) / c.Weight()
}

// rendezvousCost returns the cost of a candidate. The candidate with the lowest cost is
// selected, so each is selected in proportion to its weight. For equal weights the order
// is that of fleet.RendezvousScore, highest score first.
func rendezvousCost(hash uint64, id fleet.ID, weight float64) float64 {
	return exponentialCost(fleet.RendezvousScore(hash, id)) / weight
}

// exponentialCost maps a score to an exponentially distributed number.
func exponentialCost(score uint64) float64 {
	return -math.Log(unitInterval(score))
}

// unitInterval maps a score to a number above 0 and below 1.
func unitInterval(score uint64) float64 {
	const digits = 53
	return (float64(score>>(64-digits)) + 0.5) / (1 << digits)
}
