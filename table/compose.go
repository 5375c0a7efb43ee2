package table

import (
	"cmp"
	"slices"
	"strings"

	"github.com/almondflow/almondflow/flow"
)

// composition makes a Snapshot of an old one and a draft of what differs. A whole
// document is a draft on top of empty tables, so that there is one set of checks.
type composition struct {
	*draft

	old        *Snapshot
	putPools   map[string]*poolDraft
	putRoutes  map[string]*routeDraft
	byRoute    *indexEdit[routeKey, []*Route]
	byEndpoint *indexEdit[replyKey, hostReference]
	byID       *indexEdit[flow.TargetID, hostReference]
}

// compose checks the draft on top of old, which may be nil, and returns the version or
// every fault. It does not change old.
func (d *draft) compose(old *Snapshot, version uint64) (*Snapshot, error) {
	if old == nil {
		old = newSnapshot()
	}
	c := &composition{
		draft:      d,
		old:        old,
		putPools:   make(map[string]*poolDraft, len(d.pools)),
		putRoutes:  make(map[string]*routeDraft, len(d.routes)),
		byRoute:    old.byRoute.edit(),
		byEndpoint: old.byEndpoint.edit(),
		byID:       old.byID.edit(),
	}
	c.checkNames()
	c.touchPools()
	c.touchRoutes()
	c.dropOld()
	c.joinRoutes()
	c.servePools()
	c.addHosts()
	c.checkAddresses()
	if err := d.problems.Err(); err != nil {
		return nil, err
	}
	return c.snapshot(version), nil
}

// checkNames finds routes and pools that occur twice.
func (c *composition) checkNames() {
	for _, p := range c.pools {
		if first, exists := c.putPools[p.pool.name]; exists && p.pool.name != "" {
			c.problems.Add(p.field("name"), p.pool.name, "name is used already at %s", first.path)
			continue
		}
		c.putPools[p.pool.name] = p
	}
	for _, r := range c.routes {
		if first, exists := c.putRoutes[r.route.name]; exists && r.route.name != "" {
			c.problems.Add(r.field("name"), r.route.name, "name is used already at %s", first.path)
			continue
		}
		c.putRoutes[r.route.name] = r
	}
}

// touchPools puts copies of the old pools whose routes change, since the hosts of a pool
// depend on the destination that it serves.
func (c *composition) touchPools() {
	for _, r := range c.routes {
		c.touchPool(r.poolName)
		if before, exists := c.old.route(r.route.name); exists {
			c.touchPool(before.pool.name)
		}
	}
	for name := range c.removedRoutes {
		if before, exists := c.old.route(name); exists {
			c.touchPool(before.pool.name)
		}
	}
}

func (c *composition) touchPool(name string) {
	before, exists := c.old.pool(name)
	if !exists || c.removedPools[name] || c.putPools[name] != nil {
		return
	}
	c.putPool(before.copyWith(slices.Clone(before.hosts)))
}

// putPool adds a pool that is derived from an old one.
func (c *composition) putPool(pool *Pool) {
	path := `$.pools["` + pool.name + `"]`
	p := &poolDraft{pool: pool, path: path, hostPaths: []hostPath{{path: path + ".hosts"}}}
	c.pools = append(c.pools, p)
	c.putPools[pool.name] = p
}

// copyWith returns an unjoined copy of a pool with other hosts.
func (p *Pool) copyWith(hosts []Host) *Pool {
	return &Pool{name: p.name, prefer: p.prefer, spill: p.spill, slowStart: p.slowStart, hosts: hosts}
}

// touchRoutes puts copies of the old routes whose pool is put or removed.
func (c *composition) touchRoutes() {
	for _, r := range c.old.routes {
		if c.putRoutes[r.name] != nil || c.removedRoutes[r.name] || !c.isTouched(r.pool.name) {
			continue
		}
		route := *r
		d := &routeDraft{route: &route, poolName: r.pool.name, path: `$.routes["` + r.name + `"]`}
		c.routes = append(c.routes, d)
		c.putRoutes[r.name] = d
	}
}

func (c *composition) isTouched(pool string) bool {
	return c.removedPools[pool] || c.putPools[pool] != nil
}

// dropOld takes what is put or removed out of the indexes.
func (c *composition) dropOld() {
	for _, r := range c.old.routes {
		if c.putRoutes[r.name] == nil && !c.removedRoutes[r.name] {
			continue
		}
		key := routeKey{r.destination, r.protocol}
		routes, _ := c.byRoute.get(key)
		rest := slices.DeleteFunc(slices.Clone(routes), func(other *Route) bool { return other == r })
		if len(rest) == 0 {
			c.byRoute.delete(key)
			continue
		}
		c.byRoute.put(key, rest)
	}
	for _, p := range c.old.pools {
		if !c.isTouched(p.name) {
			continue
		}
		for i := range p.hosts {
			c.byEndpoint.delete(replyKey{p.hosts[i].endpoint, p.protocol})
			c.byID.delete(p.hosts[i].id)
		}
	}
}

// joinRoutes joins the routes to their pools and finds routes for the same traffic.
func (c *composition) joinRoutes() {
	for _, d := range c.routes {
		if p, exists := c.putPools[d.poolName]; exists {
			d.route.pool = p.pool
		} else if d.poolName != "" {
			c.problems.Add(d.field("pool"), d.poolName, "there is no pool of this name")
		}
		if !isUnset(d.route.destination) && d.route.protocol != 0 {
			c.addToIndex(d)
		}
	}
}

func (c *composition) addToIndex(d *routeDraft) {
	key := routeKey{d.route.destination, d.route.protocol}
	routes, _ := c.byRoute.get(key)
	at := len(routes)
	for i, other := range routes {
		if other.source == d.route.source {
			c.problems.Add(d.field("destination"), d.route.destination.String(),
				"destination, port, protocol and source are routed already by %s", other.name)
			return
		}
		if at == len(routes) && other.source.Bits() < d.route.source.Bits() {
			at = i
		}
	}
	c.byRoute.put(key, slices.Insert(slices.Clone(routes), at, d.route))
}

// servePools sets what pools serve and finds pools that serve more than one
// destination, whose replies could not be told apart.
func (c *composition) servePools() {
	for _, d := range c.routes {
		p := d.route.pool
		if p == nil || isUnset(d.route.destination) || d.route.protocol == 0 {
			continue
		}
		if p.protocol == 0 {
			p.destination, p.protocol = d.route.destination, d.route.protocol
			continue
		}
		if p.destination != d.route.destination || p.protocol != d.route.protocol {
			c.problems.Add(d.field("pool"), d.poolName, "pool serves %s %s already", p.protocol, p.destination)
		}
	}
}

// snapshot assembles what was checked.
func (c *composition) snapshot(version uint64) *Snapshot {
	s := &Snapshot{
		version:    version,
		byRoute:    c.byRoute.index,
		byEndpoint: c.byEndpoint.index,
		byID:       c.byID.index,
	}
	routes := make([]*Route, 0, len(c.routes))
	for _, d := range c.routes {
		d.route.digest = digestOf(d.route.message())
		routes = append(routes, d.route)
	}
	pools := make([]*Pool, 0, len(c.pools))
	for _, d := range c.pools {
		d.pool.digest = digestOf(d.pool.message())
		pools = append(pools, d.pool)
	}
	s.routes = merge(c.old.routes, routes, func(r *Route) string { return r.name },
		func(r *Route) bool { return c.putRoutes[r.name] == nil && !c.removedRoutes[r.name] })
	s.pools = merge(c.old.pools, pools, func(p *Pool) string { return p.name },
		func(p *Pool) bool { return !c.isTouched(p.name) })
	s.digest = s.computeDigest()
	s.setHanded(c.retired)
	return s
}

// merge returns the kept elements of old, which is sorted by name, and those of added,
// sorted by name.
func merge[T any](old, added []T, name func(T) string, isKept func(T) bool) []T {
	slices.SortFunc(added, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	merged := make([]T, 0, len(old)+len(added))
	for _, element := range old {
		if !isKept(element) {
			continue
		}
		for len(added) > 0 && strings.Compare(name(added[0]), name(element)) < 0 {
			merged = append(merged, added[0])
			added = added[1:]
		}
		merged = append(merged, element)
	}
	return append(merged, added...)
}
