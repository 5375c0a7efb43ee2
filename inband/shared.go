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
	t := b.spreadTarget(now)
	cost := t.Cost(b.domainPool.responseTime(), b.ownLoad(from.VMs), draw)
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
func (b *Backend) spreadTarget(now clock.Millis) spread.Target {
	return spread.Target{
		Work: b.work(), Slots: b.target.Slots, MaxConnections: b.pool.maxConnections,
		Slowdown: b.pace.Slowdown(now, b.pool.serviceTime),
	}
}

// responseTime returns the expected time until one more request is answered, in the pool's usual service times.
func (b *Backend) responseTime(now clock.Millis) float64 { return b.spreadTarget(now).ResponseTime() }

// responseTime returns the same of the targets of the pool, if requests are spread evenly and none is slow.
func (d *domainPool) responseTime() float64 {
	if !d.hasWork {
		return 1
	}
	busy := d.fromOwnDomain.Busy + d.foreign.Busy
	return max(1, (busy+float64(d.targets))/float64(max(1, d.slots)))
}

// observePaces observes how fast the targets with work finish requests.
func (e *Engine) observePaces(now clock.Millis) {
	if !e.options.Policy.UsesSharedLoad() {
		return
	}
	for _, b := range e.load.active {
		b.observePace(now)
	}
	for _, b := range e.load.reported {
		b.observePace(now)
	}
}

// observePace observes how fast the target finishes requests. Calls at the same time count once.
func (b *Backend) observePace(now clock.Millis) {
	seen := b.meter.Average(b.flows).Add(b.heard)
	b.pace.Add(now, seen, b.work(), b.target.Slots, b.pool.serviceTime)
}

// usualServiceTime returns the usual service time in milliseconds of the targets in use in the VM's own failure domain, or
// zero while it is unknown.
func (p *pool) usualServiceTime(now clock.Millis) float64 {
	return spread.UsualServiceTime(now, func(yield func(*spread.Pace) bool) {
		for _, b := range p.local {
			if b.acceptsNewFlows(now) && !yield(&b.pace) {
				return
			}
		}
	})
}
