package table

import (
	"net/netip"
	"slices"
	"strings"
)

// addHosts indexes the hosts of the pools that are put and finds hosts that contradict
// each other.
func (c *composition) addHosts() {
	for _, d := range c.pools {
		paths := c.hostPaths(d)
		names := make(map[string]string, len(paths))
		for i := range d.pool.hosts {
			h := &d.pool.hosts[i]
			h.protocol = d.pool.protocol
			reference := hostReference{d.pool, int32(i)}
			if h.name != "" {
				c.addIdentity(reference, paths[i], names)
			}
			if !isUnset(h.endpoint) {
				c.addEndpoint(reference, paths[i])
			}
		}
	}
}

// hostPaths sorts the hosts of a pool by name and returns the path of each.
func (c *composition) hostPaths(d *poolDraft) []string {
	order := make([]int, len(d.pool.hosts))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return strings.Compare(d.pool.hosts[a].name, d.pool.hosts[b].name)
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

func (c *composition) addIdentity(reference hostReference, path string, names map[string]string) {
	h := reference.host()
	if first, exists := names[h.name]; exists {
		c.problems.Add(path+".name", h.name, "name is used already at %s", first)
		return
	}
	names[h.name] = path
	if other, exists := c.byID.get(h.id); exists {
		c.problems.Add(path+".name", h.name, "pool, name and generation have the same hash as %s of pool %s",
			other.host().name, other.pool.name)
		return
	}
	c.byID.put(h.id, reference)
}

func (c *composition) addEndpoint(reference hostReference, path string) {
	p, h := reference.pool, reference.host()
	key := replyKey{h.endpoint, p.protocol}
	if other, exists := c.byEndpoint.get(key); exists {
		c.problems.Add(path+".address", h.endpoint.String(), "address, port and protocol belong to %s of pool %s already",
			other.host().name, other.pool.name)
		return
	}
	c.byEndpoint.put(key, reference)
	if p.protocol != 0 && p.destination.Is4() != h.endpoint.Is4() {
		c.problems.Add(path+".address", addressText(h.endpoint), "must be of the same address family as the destination of the pool")
	}
}

// checkAddresses finds hosts that have the address of a destination, to which packets
// would come back. Addresses that were there before are not looked at again.
func (c *composition) checkAddresses() {
	newHosts := make(map[netip.Addr]string)
	for _, d := range c.pools {
		for i := range d.pool.hosts {
			h := &d.pool.hosts[i]
			if _, isOld := c.old.byEndpoint.get(replyKey{h.endpoint, h.protocol}); !isOld && !isUnset(h.endpoint) {
				newHosts[h.endpoint.AddrPort().Addr()] = h.name + " of pool " + d.pool.name
			}
		}
	}
	newDestinations := make(map[netip.Addr]bool)
	for _, d := range c.routes {
		if isUnset(d.route.destination) {
			continue
		}
		address := d.route.destination.AddrPort().Addr()
		if host, exists := newHosts[address]; exists {
			c.addressProblem(d.route.name, d.field("destination"), address, host)
		}
		if _, isOld := c.old.byRoute.get(routeKey{d.route.destination, d.route.protocol}); !isOld {
			newDestinations[address] = true
		}
	}
	c.checkKeptRoutes(newHosts)
	c.checkKeptHosts(newDestinations)
}

func (c *composition) checkKeptRoutes(newHosts map[netip.Addr]string) {
	if len(newHosts) == 0 {
		return
	}
	for _, r := range c.old.routes {
		if c.putRoutes[r.name] != nil || c.removedRoutes[r.name] {
			continue
		}
		address := r.destination.AddrPort().Addr()
		if host, exists := newHosts[address]; exists {
			c.addressProblem(r.name, "$.routes[\""+r.name+"\"].destination", address, host)
		}
	}
}

func (c *composition) checkKeptHosts(newDestinations map[netip.Addr]bool) {
	if len(newDestinations) == 0 {
		return
	}
	for _, p := range c.old.pools {
		if c.removedPools[p.name] {
			continue
		}
		if d := c.putPools[p.name]; d != nil {
			p = d.pool
		}
		for i := range p.hosts {
			address := p.hosts[i].endpoint.AddrPort().Addr()
			if newDestinations[address] {
				c.addressProblem("", "$.pools[\""+p.name+"\"]", address, p.hosts[i].name+" of pool "+p.name)
			}
		}
	}
}

func (c *composition) addressProblem(route, path string, address netip.Addr, host string) {
	if route == "" {
		c.problems.Add(path, address.String(), "a destination must not have the address of host %s", host)
		return
	}
	c.problems.Add(path, address.String(), "destination of route %s must not have the address of host %s", route, host)
}
