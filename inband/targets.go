package inband

import (
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/outcome"
)

// Published is a target with the state of its store entry.
type Published struct {
	Target         *Target
	FallbackUntil  clock.Millis // end of its use as a fallback after its entry expired
	MayReturnUntil clock.Millis // until when the target may still be running after its entry ended
	SlowStartUntil clock.Millis // end of its slow start
}

// ReplaceView replaces the tables, unless tables is nil, and the set of targets. Observations of a
// target are kept unless the target has restarted.
func (e *Engine) ReplaceView(tables *Tables, published []Published) {
	if tables != nil {
		e.SetTables(tables)
	}
	e.setTargets(published)
}

// SetTables replaces the tables, unless the given ones are older than the current ones.
func (e *Engine) SetTables(tables *Tables) {
	if tables.Version < e.version {
		return
	}
	e.version = tables.Version
	e.idle = clock.Millis(tables.IdleMS)
	routes := make(map[netip.AddrPort]*Route, len(tables.Routes))
	services := map[string]bool{}
	for i := range tables.Routes {
		routes[tables.Routes[i].Address] = &tables.Routes[i]
		for _, s := range tables.Routes[i].Shares {
			services[s.Service] = true
		}
	}
	e.routes, e.routedServices = routes, services
	maps.DeleteFunc(e.sizes, func(service netip.AddrPort, _ *outcome.Sizes) bool { return routes[service] == nil })
	e.setMaxConnections(tables.Services)
	e.setSlowStartRates(tables.Services)
	e.setRegionalPools(e.pools)
}

// UpdateTargets updates the given targets and leaves the others unchanged.
func (e *Engine) UpdateTargets(changed []Published) {
	for _, p := range changed {
		if !e.changeInPlace(p) {
			e.setTargets(e.mergeChanged(changed))
			return
		}
	}
}

// changeInPlace updates one target if no other target is affected. It reports false if targets
// share a tag, or if the target moved to another pool or failure domain.
func (e *Engine) changeInPlace(p Published) bool {
	b := e.byID[p.Target.ID]
	if b == nil {
		b = &Backend{tag: TagOf(p.Target.ID)}
		if e.byTag[b.tag] != nil {
			return false
		}
		b.applyPublished(p)
		b.isDrained = e.drained[p.Target.Domain]
		b.pool = e.poolOf(p.Target.Service)
		e.byID[p.Target.ID], e.byTag[b.tag] = b, b
		domains := len(b.pool.domainPools)
		e.addToPool(b)
		e.addToRegionalPools(b, len(b.pool.domainPools) > domains)
		return true
	}
	if b.sharesTag || b.target.Service != p.Target.Service || b.target.Domain != p.Target.Domain {
		return false
	}
	b.applyPublished(p)
	e.load.recount(b.domainPool)
	return true
}

// mergeChanged returns all targets, including the changed ones, ordered by id.
func (e *Engine) mergeChanged(changed []Published) []Published {
	all := make(map[string]Published, len(e.byID)+len(changed))
	for id, b := range e.byID {
		all[id] = Published{Target: b.target, FallbackUntil: b.fallbackUntil, MayReturnUntil: b.mayReturnUntil, SlowStartUntil: b.slowStartUntil}
	}
	for _, p := range changed {
		all[p.Target.ID] = p
	}
	return slices.SortedFunc(maps.Values(all), func(a, b Published) int { return strings.Compare(a.Target.ID, b.Target.ID) })
}

func (e *Engine) poolOf(service string) *pool {
	if e.pools[service] == nil {
		e.pools[service] = &pool{service: service, load: e.load}
	}
	return e.pools[service]
}

// addToPool adds a new target to its pool and, if it is of this VM's failure domain, to the local targets.
func (e *Engine) addToPool(b *Backend) {
	b.pool.add(b, e.options.Domain)
	e.load.add(b.domainPool)
	if b.target.Domain == e.options.Domain {
		e.local = append(e.local, b)
	}
}

// keepsTagBefore reports whether the flows with a tag are this target's and not the other's, which has
// the same tag. It is the same at every VM: targets get no new flows once they share a tag, so the
// flows are those of the one that started first, unless only the other one has not left.
func (b *Backend) keepsTagBefore(other *Backend) bool {
	if hasLeft := b.target.State == Gone; hasLeft != (other.target.State == Gone) {
		return !hasLeft
	}
	if b.target.StartedAtMS != other.target.StartedAtMS {
		return b.target.StartedAtMS < other.target.StartedAtMS
	}
	return b.target.ID < other.target.ID
}

func (e *Engine) setTargets(published []Published) {
	byID := make(map[string]*Backend, len(published))
	byTag := make(map[Tag]*Backend, len(published))
	previousPools := e.pools
	e.pools, e.local = map[string]*pool{}, nil
	e.load.removePools()
	for _, p := range published {
		b := e.byID[p.Target.ID]
		if b == nil {
			b = &Backend{tag: TagOf(p.Target.ID)}
		}
		b.applyPublished(p)
		b.sharesTag, b.isDrained, b.pool = false, e.drained[p.Target.Domain], e.poolOf(p.Target.Service)
		byID[p.Target.ID] = b
		if other := byTag[b.tag]; other != nil {
			other.sharesTag, b.sharesTag = true, true
			if !b.keepsTagBefore(other) {
				continue
			}
		}
		byTag[b.tag] = b
		e.addToPool(b)
	}
	e.byID, e.byTag = byID, byTag
	e.load.removeTargets(byID)
	e.watchlist.backends = slices.DeleteFunc(e.watchlist.backends, func(b *Backend) bool { return byID[b.target.ID] != b })
	for service, p := range e.pools {
		if previous := previousPools[service]; previous != nil {
			p.keepState(previous)
			p.keepWork(previous)
		}
	}
	e.load.listWorking()
	e.setRegionalPools(previousPools)
}
