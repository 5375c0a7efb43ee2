package inband

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/slowstart"
)

// slowStartShareLifetime is how long a VM's share of a target's slow start is used before it is worked out
// again from the VMs that are known then.
const slowStartShareLifetime = 250 * clock.Millisecond

// maxSlowStartWait limits how long new flows wait for requests that came before, so that they do not long after those
// ended.
const maxSlowStartWait = clock.Second

// slowStartShare is what this VM may open at a target during its slow start.
type slowStartShare struct {
	interval  clock.Millis // least time between two requests
	mayOpen   bool
	expiresAt clock.Millis // of this share
	nextAt    clock.Millis // when the next flow may be opened
}

// hasSlowStartRoom reports whether the target takes one more flow of this VM now. A target whose service
// limits new flows during the slow start gets them from the VMs of its own failure domain only, which share
// the limit.
func (e *Engine) hasSlowStartRoom(now clock.Millis, b *Backend) bool {
	limit := e.slowStartRate(now, b)
	if limit == 0 {
		return true
	}
	if !e.isLocal(b) {
		return false
	}
	s := &b.slowStart
	if now >= s.expiresAt {
		rank, vms := e.options.SlowStartRank(now, b.target.ID)
		s.interval, s.mayOpen = slowstart.Interval(limit, rank, vms)
		s.expiresAt = now + slowStartShareLifetime
	}
	return s.mayOpen && now >= s.nextAt
}

// recordSlowStart counts a request of this VM at a target, the first of a new flow or one of an open flow, against
// its share of the slow start. Open flows are not held up, so new ones wait for what those take beyond the share.
func (e *Engine) recordSlowStart(now clock.Millis, b *Backend) {
	if e.slowStartRate(now, b) == 0 {
		return
	}
	s := &b.slowStart
	s.nextAt = min(max(s.nextAt, now), now+maxSlowStartWait) + s.interval
}

// slowStartRate returns the requests per second that the target bears now, from all VMs, or zero if there is
// no limit.
func (e *Engine) slowStartRate(now clock.Millis, b *Backend) float64 {
	if now >= b.slowStartUntil || e.options.SlowStartRank == nil || len(e.slowStartRates) == 0 {
		return 0
	}
	return e.slowStartRates[b.target.Service]
}

// setSlowStartRates keeps the limits that services set on the new flows of targets in slow start.
func (e *Engine) setSlowStartRates(services []Service) {
	clear(e.slowStartRates)
	for _, s := range services {
		if s.SlowStartRate > 0 {
			e.slowStartRates[s.Name] = s.SlowStartRate
		}
	}
}
