package inband

import (
	"slices"

	"github.com/almondflow/almondflow/admission"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

// keep returns a target of this VM's own failure domain, or best if that is one or none there takes the opening.
func (e *Engine) keep(now clock.Millis, p *pool, best *Backend) *Backend {
	if best.target.Domain == e.options.Domain {
		return best
	}
	return e.cheapestOr(now, p.local, best)
}

// observeAnswer tells the admission of the target's pools of the answer to a request.
func (e *Engine) observeAnswer(now clock.Millis, f *flow) {
	for p := range e.poolsOf(f.backend) {
		p.admission.Observe(f.responseTime)
		if e.isElsewhere(f.backend) {
			p.admission.ObserveElsewhere(now, f.responseTime)
		}
	}
}

// observeShed tells the admission of the target's pools of a request that the target shed.
func (e *Engine) observeShed(f *flow) {
	for p := range e.poolsOf(f.backend) {
		p.admission.ObserveShed()
		if e.isElsewhere(f.backend) {
			p.admission.ObserveShedElsewhere(e.activeAt)
		}
	}
}

// isElsewhere reports whether a target is in another failure domain. Without news of these there is nothing to correct.
func (e *Engine) isElsewhere(b *Backend) bool {
	return e.options.SharesLoad && b.target.Domain != e.options.Domain
}

// present returns what is under way now at the pool's targets in this VM's own failure domain, or nothing if VMs do
// not tell each other.
func (e *Engine) present(now clock.Millis, p *pool) admission.Present {
	d := p.ownDomainPool()
	if !e.options.SharesLoad || d == nil {
		return admission.Present{}
	}
	if !d.isCounted { // targets changed since the last sweep
		d.count(now)
	}
	average, told := load.Work{}, 0.0
	if d.hasWork {
		average, told = d.own, d.fromOwnDomain.Busy
	}
	sample := load.Sample{Others: e.localVMs - 1}
	return admission.Present{
		Busy:        sample.Present(average, e.ownBusy(now, p), told),
		Slots:       d.slots,
		ServiceTime: p.load.summary(d).Work.ServiceTime(d.slots),
	}
}

// ownBusy returns the requests that this VM has under way now at the pool's targets in its own failure domain. While
// the other domains are full, too, those that it has there count as well: their VMs have as many here.
func (e *Engine) ownBusy(now clock.Millis, p *pool) float64 {
	countsElsewhere := p.admission.IsFullElsewhere(now)
	busy := 0
	for _, b := range e.load.active {
		if p.holds(b.domainPool) && b.countsInPool(now) && (b.domainPool.isLocal || countsElsewhere) {
			busy += b.meter.Busy()
		}
	}
	return float64(busy)
}

// ownDomainPool returns the part of the pool in this VM's own failure domain, or nil if there is none.
func (p *pool) ownDomainPool() *domainPool {
	i := slices.IndexFunc(p.domainPools, func(d *domainPool) bool { return d.isLocal })
	if i < 0 {
		return nil
	}
	return p.domainPools[i]
}
