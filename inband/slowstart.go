package inband

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/slowstart"
)

// hasSlowStartRoom reports whether the target takes one more flow of this VM now. A target whose service
// limits requests during the slow start gets them from the VMs of its own failure domain only, which share
// the limit.
func (e *Engine) hasSlowStartRoom(now clock.Millis, b *Backend) bool {
	limit := e.slowStartRate(now, b)
	if limit == 0 {
		return true
	}
	if !e.isLocal(b) {
		return false
	}
	return e.slowStartShare(now, b, limit).HasRoom(now)
}

// slowStartShare returns the share of this VM, worked out anew if it has expired.
func (e *Engine) slowStartShare(now clock.Millis, b *Backend, limit float64) *slowstart.Share {
	if b.slowStart.IsExpired(now) {
		rank, vms := e.options.SlowStartRank(now, b.target.ID)
		b.slowStart.Renew(now, limit, rank, vms)
	}
	return &b.slowStart
}

// recordSlowStart counts a request of this VM at a target, the first of a new flow or one of an open flow, against
// its share of the slow start.
func (e *Engine) recordSlowStart(now clock.Millis, b *Backend) {
	if limit := e.slowStartRate(now, b); limit > 0 && e.isLocal(b) {
		e.slowStartShare(now, b, limit).Count(now)
	}
}

// slowStartRate returns the requests per second that the target bears now, from all VMs, or zero if there is
// no limit.
func (e *Engine) slowStartRate(now clock.Millis, b *Backend) float64 {
	if now >= b.slowStartUntil || e.options.SlowStartRank == nil || len(e.slowStartRates) == 0 {
		return 0
	}
	return e.slowStartRates[b.target.Service]
}

// setSlowStartRates keeps the limits that services set on the requests to targets in slow start.
func (e *Engine) setSlowStartRates(services []Service) {
	clear(e.slowStartRates)
	for _, s := range services {
		if s.SlowStartRate > 0 {
			e.slowStartRates[s.Name] = s.SlowStartRate
		}
	}
}
