package table

import (
	"cmp"
	"slices"
	"strings"

	"github.com/almondflow/almondflow/flow"
)

// builder applies a draft of changes to a Snapshot. A full document is a draft that is
// applied to empty tables, so that full documents and deltas pass the same checks.
type builder struct {
	*draft

	old           *Snapshot
	changedPools  map[string]*poolDraft
	changedRoutes map[string]*routeDraft
	byRoute       *indexBuilder[routeKey, []*Route]
	byEndpoint    *indexBuilder[replyKey, hostReference]
	byID          *indexBuilder[flow.TargetID, hostReference]
}

// buildSnapshot applies the draft to old, which may be nil, and returns the new version
// or an error that lists every problem. It does not change old.
func (d *draft) buildSnapshot(old *Snapshot, version uint64) (*Snapshot, error) {
	if old == nil {
		old = newSnapshot()
	}
	b := &builder{
		draft:         d,
		old:           old,
		changedPools:  make(map[string]*poolDraft, len(d.pools)),
		changedRoutes: make(map[string]*routeDraft, len(d.routes)),
		byRoute:       old.byRoute.newBuilder(),
		byEndpoint:    old.byEndpoint.newBuilder(),
		byID:          old.byID.newBuilder(),
	}
	b.registerNames()
	b.addAffectedPools()
	b.addAffectedRoutes()
	b.removeFromIndexes()
	b.linkRoutes()
	b.assignDestinations()
	b.indexHosts()
	b.checkAddressConflicts()
	if err := d.problems.Err(); err != nil {
		return nil, err
	}
	return b.snapshot(version), nil
}

// registerNames records the changed pools and routes by name and reports names
// that occur twice.
func (b *builder) registerNames() {
	for _, p := range b.pools {
		if first, exists := b.changedPools[p.pool.name]; exists && p.pool.name != "" {
			b.problems.Add(p.fieldPath("name"), p.pool.name, "name is used already at %s", first.path)
			continue
		}
		b.changedPools[p.pool.name] = p
	}
	for _, r := range b.routes {
		if first, exists := b.changedRoutes[r.route.name]; exists && r.route.name != "" {
			b.problems.Add(r.fieldPath("name"), r.route.name, "name is used already at %s", first.path)
			continue
		}
		b.changedRoutes[r.route.name] = r
	}
}

// addAffectedPools adds copies of the unchanged pools whose routes change, because the
// hosts of a pool depend on the destination that it serves.
func (b *builder) addAffectedPools() {
	for _, r := range b.routes {
		b.addAffectedPool(r.poolName)
		if before, exists := b.old.route(r.route.name); exists {
			b.addAffectedPool(before.pool.name)
		}
	}
	for name := range b.removedRoutes {
		if before, exists := b.old.route(name); exists {
			b.addAffectedPool(before.pool.name)
		}
	}
}

func (b *builder) addAffectedPool(name string) {
	before, exists := b.old.pool(name)
	if !exists || b.removedPools[name] || b.changedPools[name] != nil {
		return
	}
	b.addPoolCopy(before.withHosts(slices.Clone(before.hosts)))
}

// addPoolCopy adds a copy of a pool of the old version to the changed pools.
func (b *builder) addPoolCopy(pool *Pool) {
	path := `$.pools["` + pool.name + `"]`
	p := &poolDraft{pool: pool, path: path, hostSections: []hostSection{{path: path + ".hosts"}}}
	b.pools = append(b.pools, p)
	b.changedPools[pool.name] = p
}

// withHosts returns a copy of the pool with the given hosts, not linked to any route.
func (p *Pool) withHosts(hosts []Host) *Pool {
	return &Pool{name: p.name, preference: p.preference, allowsSpill: p.allowsSpill, slowStart: p.slowStart, hosts: hosts}
}

// addAffectedRoutes adds copies of the unchanged routes whose pool is changed or removed.
func (b *builder) addAffectedRoutes() {
	for _, r := range b.old.routes {
		if b.changedRoutes[r.name] != nil || b.removedRoutes[r.name] || !b.isAffected(r.pool.name) {
			continue
		}
		route := *r
		d := &routeDraft{route: &route, poolName: r.pool.name, path: `$.routes["` + r.name + `"]`}
		b.routes = append(b.routes, d)
		b.changedRoutes[r.name] = d
	}
}

func (b *builder) isAffected(pool string) bool {
	return b.removedPools[pool] || b.changedPools[pool] != nil
}

// removeFromIndexes removes changed and removed routes and hosts from the indexes.
func (b *builder) removeFromIndexes() {
	for _, r := range b.old.routes {
		if b.changedRoutes[r.name] == nil && !b.removedRoutes[r.name] {
			continue
		}
		key := routeKey{r.destination, r.protocol}
		routes, _ := b.byRoute.get(key)
		rest := slices.DeleteFunc(slices.Clone(routes), func(other *Route) bool { return other == r })
		if len(rest) == 0 {
			b.byRoute.delete(key)
			continue
		}
		b.byRoute.set(key, rest)
	}
	for _, p := range b.old.pools {
		if !b.isAffected(p.name) {
			continue
		}
		for i := range p.hosts {
			b.byEndpoint.delete(replyKey{p.hosts[i].endpoint, p.protocol})
			b.byID.delete(p.hosts[i].id)
		}
	}
}

// linkRoutes links the changed routes to their pools, adds them to the index and reports
// routes that match the same traffic.
func (b *builder) linkRoutes() {
	for _, d := range b.routes {
		if p, exists := b.changedPools[d.poolName]; exists {
			d.route.pool = p.pool
		} else if d.poolName != "" {
			b.problems.Add(d.fieldPath("pool"), d.poolName, "there is no pool of this name")
		}
		if !isUnset(d.route.destination) && d.route.protocol != 0 {
			b.indexRoute(d)
		}
	}
}

// indexRoute adds a route to the index. Routes with the same destination and protocol are
// sorted by source prefix, the longest first.
func (b *builder) indexRoute(d *routeDraft) {
	key := routeKey{d.route.destination, d.route.protocol}
	routes, _ := b.byRoute.get(key)
	position := len(routes)
	for i, other := range routes {
		if other.source == d.route.source {
			b.problems.Add(d.fieldPath("destination"), d.route.destination.String(),
				"destination, port, protocol and source are routed already by %s", other.name)
			return
		}
		if position == len(routes) && other.source.Bits() < d.route.source.Bits() {
			position = i
		}
	}
	b.byRoute.set(key, slices.Insert(slices.Clone(routes), position, d.route))
}

// assignDestinations sets the destination and protocol of each changed pool. It reports
// pools with more than one destination, because the source address of their replies would
// be ambiguous.
func (b *builder) assignDestinations() {
	for _, d := range b.routes {
		p := d.route.pool
		if p == nil || isUnset(d.route.destination) || d.route.protocol == 0 {
			continue
		}
		if p.protocol == 0 {
			p.destination, p.protocol = d.route.destination, d.route.protocol
			continue
		}
		if p.destination != d.route.destination || p.protocol != d.route.protocol {
			b.problems.Add(d.fieldPath("pool"), d.poolName, "pool serves %s %s already", p.protocol, p.destination)
		}
	}
}

// snapshot returns the new version. All checks must have passed.
func (b *builder) snapshot(version uint64) *Snapshot {
	s := &Snapshot{
		version:    version,
		byRoute:    b.byRoute.index,
		byEndpoint: b.byEndpoint.index,
		byID:       b.byID.index,
	}
	routes := make([]*Route, 0, len(b.routes))
	for _, d := range b.routes {
		d.route.digest = newDigest(d.route.toMessage())
		routes = append(routes, d.route)
	}
	pools := make([]*Pool, 0, len(b.pools))
	for _, d := range b.pools {
		d.pool.digest = newDigest(d.pool.toMessage())
		pools = append(pools, d.pool)
	}
	s.routes = mergeSorted(b.old.routes, routes, func(r *Route) string { return r.name },
		func(r *Route) bool { return b.changedRoutes[r.name] == nil && !b.removedRoutes[r.name] })
	s.pools = mergeSorted(b.old.pools, pools, func(p *Pool) string { return p.name },
		func(p *Pool) bool { return !b.isAffected(p.name) })
	s.digest = s.computeDigest()
	s.setReceivedRetired(b.retired)
	return s
}

// mergeSorted returns the kept elements of old and all elements of added, sorted by name.
// The elements of old must be sorted by name; added is sorted in place.
func mergeSorted[T any](old, added []T, name func(T) string, isKept func(T) bool) []T {
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
