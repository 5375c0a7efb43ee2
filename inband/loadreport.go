package inband

import (
	"cmp"
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

// TakeLoadReport returns the report for the VMs of the own failure domain: this VM's own work, and what it
// knows of the work of other failure domains.
func (e *Engine) TakeLoadReport(now clock.Millis) load.Report {
	return load.Report{Targets: e.targetWork(now), Remote: e.remoteWork(), Pools: e.load.news.All(now)}
}

// TakeDomainReport returns the report for VMs of other failure domains: the work of all VMs of the own one.
// It is empty while this VM has not measured its own work or has no news of the others.
func (e *Engine) TakeDomainReport(now clock.Millis) load.Report {
	var r load.Report
	if !e.HasMeasuredLoad() || e.localVMs > 1 && e.load.heard.VMs(now) == 0 {
		return r
	}
	for _, d := range e.load.working {
		r.Pools = append(r.Pools, load.PoolNews{Pool: d.id.Hash(), Source: e.load.ownDomain, Work: d.fromOwnDomain})
	}
	slices.SortStableFunc(r.Pools, func(a, b load.PoolNews) int { return compareWork(b.Work, a.Work) })
	return r
}

// targetWork returns this VM's work at targets of its own failure domain, most work first.
func (e *Engine) targetWork(now clock.Millis) []load.TargetWork {
	var all []load.TargetWork
	for _, b := range e.load.active {
		if b.target.Domain == e.options.Domain && e.byTag[b.tag] == b {
			work := load.TargetWork{Tag: uint32(b.tag), Start: startBits(b.target), Work: b.meter.Average(b.flows)}
			if b.countsInPool(now) {
				work.Pool = b.domainPool.hash
			}
			all = append(all, work)
		}
	}
	slices.SortFunc(all, func(a, b load.TargetWork) int {
		return cmp.Or(compareWork(b.Work, a.Work), cmp.Compare(a.Tag, b.Tag))
	})
	return all
}

// remoteWork returns this VM's work at pools in other failure domains, most work first.
func (e *Engine) remoteWork() []load.PoolWork {
	var all []load.PoolWork
	for _, d := range e.load.working {
		if !d.isLocal && d.own != (load.Work{}) {
			all = append(all, load.PoolWork{Pool: d.id.Hash(), Work: d.own})
		}
	}
	slices.SortStableFunc(all, func(a, b load.PoolWork) int { return compareWork(b.Work, a.Work) })
	return all
}

// compareWork orders by requests under way, then by finished ones, then by open flows.
func compareWork(a, b load.Work) int {
	return cmp.Or(cmp.Compare(a.Busy, b.Busy), cmp.Compare(a.Finished, b.Finished), cmp.Compare(a.Flows, b.Flows))
}
