package inband

import "github.com/almondflow/almondflow/clock"

// updateOverload updates the overload state of a pool from the best target, the one chosen for
// the next flow. It assumes that the domain's other VMs put the same load on it as this one.
func (e *Engine) updateOverload(now clock.Millis, p *pool, best *Backend) {
	waiting := float64(e.localVMs*best.busy) / float64(max(1, best.target.Slots))
	p.overload.Update(now, waiting, best.latency.Value(now))
}

// isRefusedByOwnCount reports whether an opening is refused as far as this VM's own requests show: the pool
// is overloaded and also serves a more urgent route.
func (e *Engine) isRefusedByOwnCount(now clock.Millis, route *Route, p *pool, best *Backend) bool {
	e.updateOverload(now, p, best)
	return p.overload.IsOverloaded() && e.options.Policy.RefusesUnderOverload() && route.Priority > p.topPriority
}

// OverloadedPools returns the number of pools that refuse, or would refuse, less urgent openings by either rule.
func (e *Engine) OverloadedPools() int {
	count := 0
	for p := range e.allPools() {
		if p.overload.IsOverloaded() || p.admission.IsRefusing() {
			count++
		}
	}
	return count
}
