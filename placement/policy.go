package placement

import (
	"math"

	"github.com/almondflow/almondflow/fleet"
)

// Candidate is a target that a Policy may choose.
type Candidate interface {
	// Rank identifies the candidate for rendezvous hashing.
	Rank() fleet.ID
	// Weight is the candidate's share of flows relative to the others, above zero.
	Weight() float64
	// Active is the number of open flows.
	Active() int64
}

// Policy chooses one of the candidates for the hash of a flow and returns its index.
// Callers pass at least one candidate. Policies keep no state.
type Policy[C Candidate] interface {
	Choose(hash uint64, candidates []C) int
}

// Naive takes the hash modulo the number of candidates. It ignores weights and load,
// and moves nearly every flow when a candidate comes or goes.
type Naive[C Candidate] struct{}

// Choose implements Policy.
func (Naive[C]) Choose(hash uint64, candidates []C) int {
	return int(hash % uint64(len(candidates)))
}

// RendezvousHash takes the candidate with the best weighted rendezvous score. Only the
// flows of a candidate that comes or goes move.
type RendezvousHash[C Candidate] struct{}

// Choose implements Policy.
func (RendezvousHash[C]) Choose(hash uint64, candidates []C) int {
	best, lowest := 0, math.Inf(1)
	for i, c := range candidates {
		if cost := rendezvousCost(hash, c.Rank(), c.Weight()); cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// TwoChoices takes the less loaded of the two candidates that rank first by weighted
// rendezvous.
type TwoChoices[C Candidate] struct{}

// Choose implements Policy.
func (TwoChoices[C]) Choose(hash uint64, candidates []C) int {
	first, second := -1, -1
	lowest, next := math.Inf(1), math.Inf(1)
	for i, c := range candidates {
		cost := rendezvousCost(hash, c.Rank(), c.Weight())
		switch {
		case cost < lowest:
			second, next = first, lowest
			first, lowest = i, cost
		case cost < next:
			second, next = i, cost
		}
	}
	if second >= 0 && loadAfter(candidates[second]) < loadAfter(candidates[first]) {
		return second
	}
	return first
}

// LeastLoaded takes the candidate with the fewest flows per unit of weight. The hash
// breaks ties, so that owners without counts do not all choose the same one.
type LeastLoaded[C Candidate] struct{}

// Choose implements Policy.
func (LeastLoaded[C]) Choose(hash uint64, candidates []C) int {
	best := 0
	lowest, score := math.Inf(1), uint64(0)
	for i, c := range candidates {
		after := loadAfter(c)
		if after > lowest {
			continue
		}
		own := fleet.Score(hash, c.Rank())
		if after < lowest || own > score {
			best, lowest, score = i, after, own
		}
	}
	return best
}

// BoundedLoad takes the first candidate in the order of weighted rendezvous whose load
// per weight stays within 1+Excess of the mean. A flow whose record is lost finds its
// old target again unless that one was full.
type BoundedLoad[C Candidate] struct {
	// Excess is the load above the mean that a candidate may have, such as 0.1.
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
		if cost := rendezvousCost(hash, c.Rank(), c.Weight()); cost < lowest {
			best, lowest = i, cost
		}
	}
	if best < 0 {
		return LeastLoaded[C]{}.Choose(hash, candidates)
	}
	return best
}

// loadAfter is the load per weight that the candidate has with one more flow.
func loadAfter[C Candidate](c C) float64 {
	return float64(c.Active()+1) / c.Weight()
}

// rendezvousCost orders candidates: the lowest wins, in proportion to weight. With equal
// weights the order is that of fleet.Score, highest first.
func rendezvousCost(hash uint64, id fleet.ID, weight float64) float64 {
	return unitCost(fleet.Score(hash, id)) / weight
}

// unitCost maps a score to an exponentially distributed number.
func unitCost(score uint64) float64 {
	return -math.Log(unit(score))
}

// unit maps a score to a number above 0 and below 1.
func unit(score uint64) float64 {
	const digits = 53
	return (float64(score>>(64-digits)) + 0.5) / (1 << digits)
}
