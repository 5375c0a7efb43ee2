package table

import (
	"errors"
	"slices"

	"github.com/almondflow/almondflow/strictjson"
)

// ErrNeedsAllParts means that the changed parts cannot be checked without the other parts.
var ErrNeedsAllParts = errors.New("changed parts modify routes or pools of other parts")

// ReplaceParts returns the version in which the added parts replace the removed ones. It
// applies the same checks as ParseParts. It returns ErrNeedsAllParts if the changed parts
// alone are not enough to check the result; any other error is a *ProblemsError.
func (s *Snapshot) ReplaceParts(version uint64, removed, added []strictjson.Part) (*Snapshot, error) {
	before, after := newDraft(), newDraft()
	before.readParts(removed)
	after.readParts(added)
	if before.problems.Len() > 0 || !after.replaceRoutes(s, before) || !after.replacePools(s, before) {
		return nil, ErrNeedsAllParts
	}
	return after.buildSnapshot(s, version)
}

// replaceRoutes marks routes for removal that are in the removed parts only. It returns
// false if an added route is also in a part that does not change.
func (d *draft) replaceRoutes(base *Snapshot, before *draft) bool {
	changed := make(map[string]bool, len(d.routes))
	for _, r := range d.routes {
		changed[r.route.name] = true
	}
	for _, r := range before.routes {
		if !changed[r.route.name] {
			d.removedRoutes[r.route.name] = true
		}
		delete(changed, r.route.name)
	}
	for name := range changed {
		if _, exists := base.route(name); exists {
			return false
		}
	}
	return true
}

// replacePools removes the hosts of the removed parts and adds to each changed pool its
// hosts in parts that do not change. It returns false if the changed parts are not enough
// to check the result.
func (d *draft) replacePools(base *Snapshot, before *draft) bool {
	changed := make(map[string]*poolDraft, len(d.pools))
	for _, p := range d.pools {
		changed[p.pool.name] = p
	}
	removed := make(map[string]map[string]bool, len(before.pools))
	for _, p := range before.pools {
		names := make(map[string]bool, len(p.pool.hosts))
		for i := range p.pool.hosts {
			names[p.pool.hosts[i].name] = true
		}
		removed[p.pool.name] = names
	}
	for name, names := range removed {
		if changed[name] == nil && !d.removePoolHosts(base, name, names) {
			return false
		}
	}
	for name, p := range changed {
		if !p.addKeptHosts(base, name, removed[name]) {
			return false
		}
	}
	return true
}

// removePoolHosts removes hosts from a pool, and the pool itself if no hosts are left. It
// returns false if the pool does not exist.
func (d *draft) removePoolHosts(base *Snapshot, name string, removed map[string]bool) bool {
	old, exists := base.pool(name)
	if !exists {
		return false
	}
	kept := keptHosts(old, removed)
	if len(kept) == 0 {
		d.removedPools[name] = true
		return true
	}
	path := `$.pools["` + name + `"]`
	d.pools = append(d.pools, &poolDraft{pool: old.withHosts(kept), path: path, hostSections: []hostSection{{path: path + ".hosts"}}})
	return true
}

// addKeptHosts adds the hosts of the pool in parts that do not change. It returns false if
// the attributes of the pool differ there, or if the pool was not in the removed parts but
// exists without hosts.
func (p *poolDraft) addKeptHosts(base *Snapshot, name string, removed map[string]bool) bool {
	old, exists := base.pool(name)
	if !exists {
		return true
	}
	kept := keptHosts(old, removed)
	if len(kept) == 0 {
		return removed != nil
	}
	if !old.hasSameAttributes(p.pool) {
		return false
	}
	p.hostSections = append(p.hostSections, hostSection{start: len(p.pool.hosts), path: `$.pools["` + name + `"].hosts`})
	p.pool.hosts = append(p.pool.hosts, kept...)
	return true
}

// keptHosts returns the hosts of a pool without those removed.
func keptHosts(p *Pool, removed map[string]bool) []Host {
	return slices.DeleteFunc(slices.Clone(p.hosts), func(h Host) bool { return removed[h.name] })
}
