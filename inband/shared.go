package inband

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/overload"
	"github.com/almondflow/almondflow/spread"
)

// Shared chooses targets by the load that the entry VMs share. New flows stay in the VM's own failure domain
// but for the share that a spread.Spill sends to the others. Without news of other VMs it assumes, like
// Local, that they put the same load on the targets as this one.
type Shared struct{ Local }

// Cost combines the expected response time, this VM's own flows and latency, the limit on flows, distance,
// slow start and expiry.
func (Shared) Cost(now clock.Millis, from Location, b *Backend, draw float64) float64 {
	t := b.spreadTarget()
	cost := spread.Cost(t.ResponseTime(b.pool.serviceTime), b.ownLoad(from.VMs), draw)
	if t.IsFull() {
		cost += fullWeight
	}
	if b.target.Domain != from.Domain {
		cost += remoteWeight
	}
	return cost + b.startPenalty(now) + b.latencyPenalty(now, b.pool.acceptedLatency())
}

// maxServiceTimes is how many usual service times an answer may take before its latency speaks against the
// target: then a request waits longer than it is processed.
const maxServiceTimes = 2

// acceptedLatency returns the latency in milliseconds up to which it does not speak against a target. Requests
// that take long by nature are no reason to leave the failure domain, but waits are.
func (p *pool) acceptedLatency() float64 {
	return max(overload.MaxLatency, maxServiceTimes*p.serviceTime)
}

// UsesSharedLoad returns true.
func (Shared) UsesSharedLoad() bool { return true }

// spreadTarget returns what this VM believes of the target.
func (b *Backend) spreadTarget() spread.Target {
	return spread.Target{Work: b.work(), Slots: b.target.Slots, MaxConnections: b.pool.maxConnections}
}

// responseTime returns the expected time until one more request is answered, in the pool's usual service times.
func (b *Backend) responseTime() float64 { return b.spreadTarget().ResponseTime(b.pool.serviceTime) }
