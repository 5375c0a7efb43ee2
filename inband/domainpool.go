package inband

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

// domainPool holds the targets of a pool in one failure domain.
type domainPool struct {
	id        load.DomainPoolID
	hash      uint32 // of the id
	pool      *pool
	backends  []*Backend
	isLocal   bool // in this VM's own failure domain
	isListed  bool // in loadState.pools
	isCounted bool // no target has changed since the last count
	domainEstimate
}

// domainEstimate is what this VM believes of the work at the targets of a domainPool.
type domainEstimate struct {
	targets       int       // that accept new flows, as last counted
	slots         int       // of these targets
	hasWork       bool      // as of the last update; if not, the fields below are not set
	own           load.Work // of this VM, averaged
	heard         load.Work // of other VMs of this VM's failure domain, by the weights of their reports
	heardSum      load.Work // the same, told in sum only
	foreign       load.Work // of the VMs of other failure domains
	fromOwnDomain load.Work // of all VMs of this VM's failure domain
	estimate      load.Estimate
	newsAge       clock.Millis // of what the VMs of the pool's failure domain told
}

// in returns the part of the pool in a failure domain.
func (p *pool) in(id load.DomainPoolID) *domainPool {
	for _, d := range p.domainPools {
		if d.id == id {
			return d
		}
	}
	d := &domainPool{id: id, hash: id.Hash(), pool: p}
	p.domainPools = append(p.domainPools, d)
	return d
}

// keepWork takes over what is believed of the work of a previous pool, which holds until the next update.
func (p *pool) keepWork(previous *pool) {
	for _, d := range p.domainPools {
		d.domainEstimate = previous.in(d.id).domainEstimate
	}
}

// count counts the targets that accept new flows.
func (d *domainPool) count(now clock.Millis) {
	d.targets, d.slots, d.isCounted = 0, 0, true
	for _, b := range d.backends {
		if b.acceptsNewFlows(now) {
			d.targets++
			d.slots += b.target.Slots
		}
	}
}

// countIfChanged counts the targets if they changed since the last sweep.
func (d *domainPool) countIfChanged(now clock.Millis) {
	if !d.isCounted {
		d.count(now)
	}
}

// reset forgets what was added up.
func (d *domainPool) reset() {
	d.domainEstimate = domainEstimate{targets: d.targets, slots: d.slots, newsAge: load.NewsLifetime}
}

// update estimates the work of all VMs at the pool's targets. Of the targets of this VM's own failure domain
// the others report each one that fits, of the rest only sums, which are taken to be spread evenly.
func (d *domainPool) update(sample load.Sample) {
	if d.isLocal {
		d.estimate = sample.ByTarget(d.heard, d.targets)
		d.estimate.AddEven(sample.PerTarget(d.heardSum, d.targets))
	} else {
		d.estimate = sample.BySum(d.heard, d.targets)
	}
	d.fromOwnDomain = d.estimate.Sum(d.own, d.heard, d.targets)
	if d.targets > 0 {
		d.estimate.AddEven(d.foreign.Scale(1 / float64(d.targets)))
	}
}
