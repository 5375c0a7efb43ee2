package inband

import "github.com/almondflow/almondflow/clock"

// Limits for detecting an overloaded pool.
const (
	// overloadFactor is the number of waiting requests per slot of the best target at which a
	// pool may be overloaded.
	overloadFactor = 3.0
	// recoveryFraction is the fraction of either limit below which the overload is over. The
	// gap keeps the state from changing with each flow.
	recoveryFraction = 0.5
	// overloadTime is how long a pool must look overloaded before flows are refused. Refused
	// clients retry at once and only a few times, so a short burst is better spread over the
	// targets.
	overloadTime = 500 * clock.Millisecond
)

// updateOverload updates the overload state of a pool from the best target, the one chosen for
// the next flow. It assumes that the domain's other VMs put the same load on it as this one. As
// the VMs may be unequal, a high latency is required as a second sign.
func (e *Engine) updateOverload(now clock.Millis, p *pool, best *Backend) {
	load := float64(e.localVMs*best.busy) / float64(max(1, best.target.Slots))
	latency := best.latency.value(now)
	switch {
	case load >= overloadFactor && latency >= overloadLatency:
		if !p.looksOverloaded {
			p.looksOverloaded, p.overloadedSince = true, now
		}
		p.isOverloaded = now-p.overloadedSince >= overloadTime
	case load <= recoveryFraction*overloadFactor || latency <= recoveryFraction*overloadLatency:
		p.isOverloaded, p.looksOverloaded = false, false
	}
}

// isRefusedByOwnCount reports whether an opening is refused as far as this VM's own requests show: the pool
// is overloaded and also serves a more urgent route.
func (e *Engine) isRefusedByOwnCount(now clock.Millis, route *Route, p *pool, best *Backend) bool {
	e.updateOverload(now, p, best)
	return p.isOverloaded && e.options.Policy.RefusesUnderOverload() && route.Priority > p.topPriority
}

// OverloadedPools returns the number of pools that refuse, or would refuse, less urgent openings by either rule.
func (e *Engine) OverloadedPools() int {
	count := 0
	for p := range e.allPools() {
		if p.isOverloaded || p.admission.IsRefusing() {
			count++
		}
	}
	return count
}
