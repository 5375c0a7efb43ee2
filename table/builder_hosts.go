package table

import (
	"net/netip"
	"slices"
	"strings"
)

// indexHosts adds the hosts of the changed pools to the indexes and reports duplicate
// names, identities and endpoints.
func (b *builder) indexHosts() {
	for _, d := range b.pools {
		paths := b.sortHosts(d)
		names := make(map[string]string, len(paths))
		for i := range d.pool.hosts {
			h := &d.pool.hosts[i]
			h.protocol = d.pool.protocol
			reference := hostReference{d.pool, int32(i)}
			if h.name != "" {
				b.indexID(reference, paths[i], names)
			}
			if !isUnset(h.endpoint) {
				b.indexEndpoint(reference, paths[i])
			}
		}
	}
}

// sortHosts sorts the hosts of a pool by name and returns their paths in that order.
func (b *builder) sortHosts(d *poolDraft) []string {
	order := make([]int, len(d.pool.hosts))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int {
		return strings.Compare(d.pool.hosts[i].name, d.pool.hosts[j].name)
	})
	paths := make([]string, len(order))
	hosts := make([]Host, len(order))
	for i, from := range order {
		paths[i] = d.hostPath(from)
		hosts[i] = d.pool.hosts[from]
	}
	d.pool.hosts = hosts
	return paths
}

func (b *builder) indexID(reference hostReference, path string, names map[string]string) {
	h := reference.host()
	if first, exists := names[h.name]; exists {
		b.problems.Add(path+".name", h.name, "name is used already at %s", first)
		return
	}
	names[h.name] = path
	if other, exists := b.byID.get(h.id); exists {
		b.problems.Add(path+".name", h.name, "pool, name and generation have the same hash as %s of pool %s",
			other.host().name, other.pool.name)
		return
	}
	b.byID.set(h.id, reference)
}

func (b *builder) indexEndpoint(reference hostReference, path string) {
	p, h := reference.pool, reference.host()
	key := replyKey{h.endpoint, p.protocol}
	if other, exists := b.byEndpoint.get(key); exists {
		b.problems.Add(path+".address", h.endpoint.String(), "address, port and protocol belong to %s of pool %s already",
			other.host().name, other.pool.name)
		return
	}
	b.byEndpoint.set(key, reference)
	if p.protocol != 0 && p.destination.Is4() != h.endpoint.Is4() {
		b.problems.Add(path+".address", addressText(h.endpoint), "must be of the same address family as the destination of the pool")
	}
}

// checkAddressConflicts reports hosts that have the address of a destination: packets
// sent to such a host would return to the load balancer. Addresses that the old version
// has already are not checked again.
func (b *builder) checkAddressConflicts() {
	newHosts := make(map[netip.Addr]string)
	for _, d := range b.pools {
		for i := range d.pool.hosts {
			h := &d.pool.hosts[i]
			if _, isOld := b.old.byEndpoint.get(replyKey{h.endpoint, h.protocol}); !isOld && !isUnset(h.endpoint) {
				newHosts[h.endpoint.AddrPort().Addr()] = h.name + " of pool " + d.pool.name
			}
		}
	}
	newDestinations := make(map[netip.Addr]bool)
	for _, d := range b.routes {
		if isUnset(d.route.destination) {
			continue
		}
		address := d.route.destination.AddrPort().Addr()
		if host, exists := newHosts[address]; exists {
			b.addAddressConflict(d.route.name, d.fieldPath("destination"), address, host)
		}
		if _, isOld := b.old.byRoute.get(routeKey{d.route.destination, d.route.protocol}); !isOld {
			newDestinations[address] = true
		}
	}
	b.checkUnchangedRoutes(newHosts)
	b.checkUnchangedHosts(newDestinations)
}

// checkUnchangedRoutes reports unchanged routes whose destination is the address of a
// new host.
func (b *builder) checkUnchangedRoutes(newHosts map[netip.Addr]string) {
	if len(newHosts) == 0 {
		return
	}
	for _, r := range b.old.routes {
		if b.changedRoutes[r.name] != nil || b.removedRoutes[r.name] {
			continue
		}
		address := r.destination.AddrPort().Addr()
		if host, exists := newHosts[address]; exists {
			b.addAddressConflict(r.name, "$.routes[\""+r.name+"\"].destination", address, host)
		}
	}
}

// checkUnchangedHosts reports hosts whose address is a new destination.
func (b *builder) checkUnchangedHosts(newDestinations map[netip.Addr]bool) {
	if len(newDestinations) == 0 {
		return
	}
	for _, p := range b.old.pools {
		if b.removedPools[p.name] {
			continue
		}
		if d := b.changedPools[p.name]; d != nil {
			p = d.pool
		}
		for i := range p.hosts {
			address := p.hosts[i].endpoint.AddrPort().Addr()
			if newDestinations[address] {
				b.addAddressConflict("", "$.pools[\""+p.name+"\"]", address, p.hosts[i].name+" of pool "+p.name)
			}
		}
	}
}

func (b *builder) addAddressConflict(route, path string, address netip.Addr, host string) {
	if route == "" {
		b.problems.Add(path, address.String(), "a destination must not have the address of host %s", host)
		return
	}
	b.problems.Add(path, address.String(), "destination of route %s must not have the address of host %s", route, host)
}
