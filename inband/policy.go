package inband

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/overload"
)

// Policy controls the choice of targets for new flows.
type Policy interface {
	// Cost returns the cost of placing a new flow from an entry VM at a location on a target.
	// The target with the lowest cost is chosen. The draw is a random number with mean 1, drawn for each
	// target, for policies by which VMs with the same news choose different targets.
	Cost(now clock.Millis, from Location, b *Backend, draw float64) float64
	// AvoidsSuspects reports whether new flows avoid targets that are unresponsive, fail
	// requests or appear to be partitioned from this VM.
	AvoidsSuspects() bool
	// ResetsFlowsOfDeadTargets reports whether flows of dead targets are reset, so that their
	// clients go elsewhere.
	ResetsFlowsOfDeadTargets() bool
	// RefusesUnderOverload reports whether less urgent flows are refused while a pool is
	// overloaded.
	RefusesUnderOverload() bool
	// UsesSharedLoad reports whether targets are chosen by the load that the entry VMs share.
	UsesSharedLoad() bool
}

// Location is the position of an entry VM.
type Location struct {
	Domain string // failure domain
	VMs    int    // entry VMs in the domain, assumed to load its targets equally
}

// Naive is the baseline policy: it balances by this VM's own flow counts only.
type Naive struct{}

// Cost returns the number of open flows.
func (Naive) Cost(_ clock.Millis, _ Location, b *Backend, _ float64) float64 { return float64(b.flows) }

// AvoidsSuspects returns false.
func (Naive) AvoidsSuspects() bool { return false }

// ResetsFlowsOfDeadTargets returns false.
func (Naive) ResetsFlowsOfDeadTargets() bool { return false }

// RefusesUnderOverload returns false.
func (Naive) RefusesUnderOverload() bool { return false }

// UsesSharedLoad returns false.
func (Naive) UsesSharedLoad() bool { return false }

// Weights of the Local policy, in waiting requests.
const (
	idleWeight          = 0.05 // an idle flow
	remoteWeight        = 10.0 // a target in another failure domain
	slowStartWeight     = 1.0  // a target in slow start
	expiredWeight       = 4.0  // a fallback target, whose store entry has expired
	excessLatencyWeight = 0.2  // each millisecond of latency above what is accepted
	suspectWeight       = 1e6  // a suspected target, used only as a last resort
	failureWeight       = 60.0 // a target that fails all requests in a pool where few fail
)

// Local prefers targets of its own failure domain, then those with the least work.
type Local struct{}

// Cost combines load, distance, slow start, expiry and excess latency. The load that this VM puts
// on the target is multiplied by the number of VMs, as the domain's other VMs are assumed to add
// the same.
func (Local) Cost(now clock.Millis, from Location, b *Backend, _ float64) float64 {
	cost := b.ownLoad(from.VMs)
	if b.target.Domain != from.Domain {
		cost += remoteWeight
	}
	return cost + b.startPenalty(now) + b.latencyPenalty(now, overload.MaxLatency)
}

// ownLoad returns the load that this VM puts on the target, multiplied by the number of VMs, in waiting
// requests.
func (b *Backend) ownLoad(vms int) float64 {
	return float64(vms) * (float64(b.busy) + idleWeight*float64(b.flows-b.busy))
}

// latencyPenalty returns the cost of the latency of the target that this VM sees, as far as it is above what
// is accepted, in milliseconds.
func (b *Backend) latencyPenalty(now clock.Millis, accepted float64) float64 {
	return excessLatencyWeight * max(0, b.latency.Value(now)-accepted)
}

// startPenalty returns the cost of a target in slow start or with an expired store entry.
func (b *Backend) startPenalty(now clock.Millis) float64 {
	cost := 0.0
	if now < b.slowStartUntil {
		cost += slowStartWeight
	}
	if now < b.fallbackUntil {
		cost += expiredWeight
	}
	return cost
}

// AvoidsSuspects returns true.
func (Local) AvoidsSuspects() bool { return true }

// ResetsFlowsOfDeadTargets returns true.
func (Local) ResetsFlowsOfDeadTargets() bool { return true }

// RefusesUnderOverload returns true.
func (Local) RefusesUnderOverload() bool { return true }

// UsesSharedLoad returns false.
func (Local) UsesSharedLoad() bool { return false }
