package table

import (
	"errors"
	"slices"

	"github.com/almondflow/almondflow/strictjson"
)

// ErrNeedsWhole means that only the whole of the parts can be checked.
var ErrNeedsWhole = errors.New("changed parts touch what stands in other parts")

// ReplaceParts returns the version in which the removed parts give way to the added ones.
// It accepts what ParseParts accepts. Where the changed parts alone do not tell, it
// returns ErrNeedsWhole; any other error is a *ProblemsError.
func (s *Snapshot) ReplaceParts(version uint64, removed, added []strictjson.Part) (*Snapshot, error) {
	before, after := newDraft(), newDraft()
	before.readParts(removed)
	after.readParts(added)
	if before.problems.Len() > 0 || !after.replaceRoutes(s, before) || !after.replacePools(s, before) {
		return nil, ErrNeedsWhole
	}
	return after.compose(s, version)
}

// replaceRoutes removes the routes of the parts that are gone. It reports false when a
// route that is put stands in another part as well.
func (d *draft) replaceRoutes(base *Snapshot, before *draft) bool {
	put := make(map[string]bool, len(d.routes))
	for _, r := range d.routes {
		put[r.route.name] = true
	}
	for _, r := range before.routes {
		if !put[r.route.name] {
			d.removedRoutes[r.route.name] = true
		}
		delete(put, r.route.name)
	}
	for name := range put {
		if _, exists := base.route(name); exists {
			return false
		}
	}
	return true
}

// replacePools removes the pools of the parts that are gone, and joins what is put with
// the hosts that stand in other parts. It reports false when the attributes differ.
func (d *draft) replacePools(base *Snapshot, before *draft) bool {
	put := make(map[string]*poolDraft, len(d.pools))
	for _, p := range d.pools {
		put[p.pool.name] = p
	}
	gone := make(map[string]map[string]bool, len(before.pools))
	for _, p := range before.pools {
		names := make(map[string]bool, len(p.pool.hosts))
		for i := range p.pool.hosts {
			names[p.pool.hosts[i].name] = true
		}
		gone[p.pool.name] = names
	}
	for name, names := range gone {
		if put[name] == nil && !d.shrinkPool(base, name, names) {
			return false
		}
	}
	for name, p := range put {
		if !p.joinKept(base, name, gone[name]) {
			return false
		}
	}
	return true
}

// shrinkPool takes hosts out of a pool, and the pool away when none is left.
func (d *draft) shrinkPool(base *Snapshot, name string, gone map[string]bool) bool {
	old, exists := base.pool(name)
	if !exists {
		return false
	}
	kept := keptHosts(old, gone)
	if len(kept) == 0 {
		d.removedPools[name] = true
		return true
	}
	path := `$.pools["` + name + `"]`
	d.pools = append(d.pools, &poolDraft{pool: old.copyWith(kept), path: path, hostPaths: []hostPath{{path: path + ".hosts"}}})
	return true
}

// joinKept adds the hosts of the pool that stand in other parts.
func (p *poolDraft) joinKept(base *Snapshot, name string, gone map[string]bool) bool {
	old, exists := base.pool(name)
	if !exists {
		return true
	}
	kept := keptHosts(old, gone)
	if len(kept) == 0 {
		return gone != nil
	}
	if !old.hasAttributesOf(p.pool) {
		return false
	}
	p.hostPaths = append(p.hostPaths, hostPath{start: len(p.pool.hosts), path: `$.pools["` + name + `"].hosts`})
	p.pool.hosts = append(p.pool.hosts, kept...)
	return true
}

func keptHosts(p *Pool, gone map[string]bool) []Host {
	return slices.DeleteFunc(slices.Clone(p.hosts), func(h Host) bool { return gone[h.name] })
}
