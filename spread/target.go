package spread

import (
	"github.com/almondflow/almondflow/load"
)

// Target is what an entry VM believes of a target that accepts new flows.
type Target struct {
	Work           load.Work // of all entry VMs
	Slots          int       // requests that it processes concurrently
	MaxConnections int       // flows that it holds; zero is no limit
	Slowdown       float64   // how many times as long as usual it takes for a request
}

// ResponseTime returns the expected time until one more request is answered, in usual service times. It is
// the same for all targets that are not slow and have a free slot, however their work differs.
func (t Target) ResponseTime() float64 {
	perSlot := (t.Work.Busy + 1) / float64(max(1, t.Slots))
	return max(1, t.Slowdown) * max(1, perSlot)
}

// IsFull reports whether the target holds as many flows as it may.
func (t Target) IsFull() bool {
	return t.MaxConnections > 0 && t.Work.Flows >= float64(t.MaxConnections)
}

// Cost returns the cost of a new flow at the target. The flows that this VM has there are weighted by the caller.
// The mean is the response time in usual service times over the targets of its failure domain.
//
// If draw is exponentially distributed with mean 1, and drawn for each target, the target with the lowest
// cost is chosen with a probability in proportion to what it finishes, among those where this VM has the
// same number of flows. So VMs that have the same late news do not all choose the same target. A slow target gets
// less: callers are answered sooner by a usual one, until that is as busy as the other is slow.
func (t Target) Cost(mean, ownFlows, draw float64) float64 {
	excess := max(1, t.Slowdown/mean)
	return t.ResponseTime() * excess * excess * (ownFlows + draw)
}
