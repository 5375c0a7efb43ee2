package inband

import (
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
// not tell each other. If the domain has no target in use, it is the same of the others, where the flows go then.
func (e *Engine) present(now clock.Millis, p *pool) admission.Present {
	if !e.options.SharesLoad {
		return admission.Present{}
	}
	domains, vms := e.domainsInUse(now, p)
	var own, told load.Work
	slots := 0
	for _, d := range domains {
		slots += d.slots
		told = told.Add(p.load.summary(d).Work)
		if d.hasWork {
			own = own.Add(d.own)
		}
	}
	local, elsewhere := e.ownBusy(now, p)
	busy := local
	if p.ownDomainPool(now) == nil || p.admission.IsFullElsewhere(now) { // VMs of full domains have as many here
		busy += elsewhere
	}
	sample := load.Sample{Others: vms - 1}
	return admission.Present{
		Busy:        sample.Present(own, float64(busy), told.Busy),
		Slots:       slots,
		ServiceTime: told.ServiceTime(slots),
		Elsewhere:   elsewhere,
	}
}

// domainsInUse returns the parts of the pool that the flows of this VM's failure domain go to, and the number of VMs
// with flows there. The other domains are taken to have as many VMs as this one.
func (e *Engine) domainsInUse(now clock.Millis, p *pool) (domains []*domainPool, vms int) {
	if d := p.ownDomainPool(now); d != nil {
		return []*domainPool{d}, e.localVMs
	}
	for _, d := range p.domainPools {
		d.countIfChanged(now)
		if d.targets > 0 && !e.IsPartitioned(now, d.id.Domain) {
			domains = append(domains, d)
		}
	}
	return domains, e.localVMs * (len(domains) + 1)
}

// ownBusy returns the requests that this VM has under way now at the pool's targets in its own failure domain, and in
// others.
func (e *Engine) ownBusy(now clock.Millis, p *pool) (local, elsewhere int) {
	for _, b := range e.load.active {
		switch {
		case !p.holds(b.domainPool) || !b.countsInPool(now):
		case b.domainPool.isLocal:
			local += b.meter.Busy()
		default:
			elsewhere += b.meter.Busy()
		}
	}
	return local, elsewhere
}

// ownDomainPool returns the part of the pool in this VM's own failure domain, or nil if that has no target in use.
func (p *pool) ownDomainPool(now clock.Millis) *domainPool {
	for _, d := range p.domainPools {
		if !d.isLocal {
			continue
		}
		d.countIfChanged(now)
		if d.targets > 0 {
			return d
		}
	}
	return nil
}
