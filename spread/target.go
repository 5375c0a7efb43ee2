package spread

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

// priorSlots is the number of slots that are assumed to have been occupied at the usual pace, in
// addition to what was seen, so that few finished requests do not make a target look slow.
const priorSlots = 0.5

// Target is what an entry VM believes of a target that accepts new flows.
type Target struct {
	Work           load.Work // of all entry VMs
	Slots          int       // requests that it processes concurrently
	MaxConnections int       // flows that it holds; zero is no limit
}

// Slowdown returns how many times as long as usual the target takes for a request, at least 1. The usual
// service time is in milliseconds; while it is zero, no target is known to be slow. A target that seems
// faster than usual may be one that refuses its requests.
func (t Target) Slowdown(usual float64) float64 {
	if usual <= 0 {
		return 1
	}
	occupied := min(t.Work.Busy, float64(t.Slots))
	finished := t.Work.Finished / float64(clock.Second)
	serviceTime := (occupied + priorSlots) / (finished + priorSlots/usual)
	return max(1, serviceTime/usual)
}

// ResponseTime returns the expected time until one more request is answered, in usual service times. It is
// the same for all targets that are not slow and have a free slot, however their work differs.
func (t Target) ResponseTime(usual float64) float64 {
	perSlot := (t.Work.Busy + 1) / float64(max(1, t.Slots))
	return t.Slowdown(usual) * max(1, perSlot)
}

// IsFull reports whether the target holds as many flows as it may.
func (t Target) IsFull() bool {
	return t.MaxConnections > 0 && t.Work.Flows >= float64(t.MaxConnections)
}

// Cost returns the cost of a new flow at a target with the given response time, in usual service times. The
// flows that this VM has there are weighted by the caller.
//
// If draw is exponentially distributed with mean 1, and drawn for each target, the target with the lowest
// cost is chosen with a probability in proportion to what it finishes, among those where this VM has the
// same number of flows. So VMs that have the same late news do not all choose the same target.
func Cost(responseTime, ownFlows, draw float64) float64 {
	return responseTime * (ownFlows + draw)
}
