package inband

import (
	"cmp"
	"iter"
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/region"
)

// A route with allowed regions has pools of its own, which hold the targets of its services in these regions. So
// whatever is decided by a pool (the choice of a target, the share that leaves the failure domain, what is refused
// for lack of room) is decided by these targets only.

// SetRegions replaces the regions of the failure domains.
func (e *Engine) SetRegions(regions region.Map) {
	e.regions = regions
	e.setRegionalPools(e.pools)
}

// mayUse reports whether new flows of a route may go to a target's region.
func (e *Engine) mayUse(route *Route, b *Backend) bool {
	return e.regions.Allows(route.AllowedRegions, b.target.Domain)
}

// poolFor returns the targets of a service that new flows of a route may go to.
func (e *Engine) poolFor(route *Route, service string) *pool {
	p := e.poolOf(service)
	if len(route.AllowedRegions) == 0 {
		return p
	}
	return cmp.Or(findPool(p.regional, route.AllowedRegions), p)
}

// findPool returns the pool for allowed regions, or nil if there is none, because they hold all targets of the service.
func findPool(pools []*pool, allowed []string) *pool {
	i := slices.IndexFunc(pools, func(p *pool) bool { return slices.Equal(p.allowedRegions, allowed) })
	if i < 0 {
		return nil
	}
	return pools[i]
}

// setRegionalPools forms the pools for routes with allowed regions anew. Those that there were among the previous
// pools, by service, keep their state.
func (e *Engine) setRegionalPools(previous map[string]*pool) {
	known := map[string][]*pool{}
	for service, p := range previous {
		known[service] = p.regional
	}
	for _, p := range e.pools {
		p.regional = nil
	}
	for _, route := range e.routes {
		if len(route.AllowedRegions) == 0 {
			continue
		}
		for _, share := range route.Shares {
			e.addRegionalPool(e.poolOf(share.Service), route.AllowedRegions, known[share.Service])
		}
	}
	e.setPoolLimits()
	e.setLevels()
	e.listCompared()
}

// addRegionalPool adds the pool of the targets of p in the allowed regions, unless there is one or these are all.
func (e *Engine) addRegionalPool(p *pool, allowed []string, known []*pool) {
	if findPool(p.regional, allowed) != nil {
		return
	}
	isOutside := func(d *domainPool) bool { return !e.regions.Allows(allowed, d.id.Domain) }
	domains := slices.DeleteFunc(slices.Clone(p.domainPools), isOutside)
	if len(domains) == len(p.domainPools) {
		return
	}
	r := findPool(known, allowed)
	if r == nil || !slices.Equal(r.domainPools, domains) {
		r = e.newRegionalPool(p, allowed, domains, r)
	}
	p.regional = append(p.regional, r)
}

// newRegionalPool returns the pool of the targets of p in some failure domains. It keeps the state of a previous one,
// unless there is none.
func (e *Engine) newRegionalPool(p *pool, allowed []string, domains []*domainPool, previous *pool) *pool {
	r := &pool{service: p.service, load: p.load, allowedRegions: allowed, domainPools: domains}
	for _, b := range p.backends {
		if e.regions.Allows(allowed, b.target.Domain) {
			r.addBackend(b, e.options.Domain)
		}
	}
	if previous != nil {
		r.keepState(previous)
	}
	return r
}

// addToRegionalPools adds a new target to the pools of the regions that hold it. isNewDomain is set if it is the first
// one of its service in its failure domain.
func (e *Engine) addToRegionalPools(b *Backend, isNewDomain bool) {
	if isNewDomain && e.hasBoundRoutes() {
		e.setRegionalPools(e.pools)
		return
	}
	for _, r := range b.pool.regional {
		if r.holds(b.domainPool) {
			r.addBackend(b, e.options.Domain)
		}
	}
}

func (e *Engine) hasBoundRoutes() bool {
	for _, route := range e.routes {
		if len(route.AllowedRegions) > 0 {
			return true
		}
	}
	return false
}

// holds reports whether the targets of a domainPool are in the pool.
func (p *pool) holds(d *domainPool) bool { return slices.Contains(p.domainPools, d) }

// allPools returns the pools of all services and those for routes with allowed regions, in no particular order.
func (e *Engine) allPools() iter.Seq[*pool] {
	return func(yield func(*pool) bool) {
		for _, p := range e.pools {
			for q := range p.withRegional() {
				if !yield(q) {
					return
				}
			}
		}
	}
}

// withRegional returns the pool of a service, and those of its targets in some regions.
func (p *pool) withRegional() iter.Seq[*pool] {
	return func(yield func(*pool) bool) {
		if !yield(p) {
			return
		}
		for _, r := range p.regional {
			if !yield(r) {
				return
			}
		}
	}
}

// sharedPools returns the pools of a service whose targets may get flows of a route, too.
func (e *Engine) sharedPools(route *Route, service string) iter.Seq[*pool] {
	return func(yield func(*pool) bool) {
		for p := range e.poolOf(service).withRegional() {
			if region.Overlap(p.allowedRegions, route.AllowedRegions) && !yield(p) {
				return
			}
		}
	}
}

// poolsOf returns the pools that hold a target.
func (e *Engine) poolsOf(b *Backend) iter.Seq[*pool] {
	return func(yield func(*pool) bool) {
		for p := range b.pool.withRegional() {
			if (p == b.pool || p.holds(b.domainPool)) && !yield(p) {
				return
			}
		}
	}
}

// noticeCaller counts an opening that is decided by one pool in the others whose targets may get it.
func (e *Engine) noticeCaller(now clock.Millis, route *Route, decided *pool) {
	if len(e.poolOf(decided.service).regional) == 0 {
		return // most deployments have no other pools
	}
	for p := range e.sharedPools(route, decided.service) {
		if p != decided {
			p.admission.Notice(now, route.Priority)
		}
	}
}
