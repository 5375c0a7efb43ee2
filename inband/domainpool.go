package inband

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

// domainPool holds the targets of a pool in one failure domain, and what is believed of their work.
type domainPool struct {
	id            load.PoolID
	backends      []*Backend
	targets       int       // that accept new flows, as last counted
	slots         int       // of these targets
	isCounted     bool      // no target has changed since
	own           load.Work // of this VM, averaged
	heard         load.Work // of other VMs of this VM's failure domain, by the weights of their reports
	foreign       load.Work // of the VMs of other failure domains
	estimate      load.Estimate
	fromOwnDomain load.Work    // of this VM's failure domain
	age           clock.Millis // of the news
}

// in returns the part of the pool in a failure domain.
func (p *pool) in(id load.PoolID) *domainPool {
	for _, d := range p.domainPools {
		if d.id == id {
			return d
		}
	}
	d := &domainPool{id: id}
	p.domainPools = append(p.domainPools, d)
	return d
}

// keepEstimates takes over the estimates of a previous pool, which hold until the next update.
func (p *pool) keepEstimates(previous *pool) {
	for _, d := range p.domainPools {
		d.estimate = previous.in(d.id).estimate
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

// reset forgets what was added up.
func (d *domainPool) reset() {
	d.own, d.heard, d.foreign, d.age = load.Work{}, load.Work{}, load.Work{}, load.NewsLifetime
}
