package table

import (
	"net/netip"

	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/strictjson"
)

// checkPools finds pools of the same name and returns the first of each.
func (b *builder) checkPools() map[string]*poolDraft {
	byName := make(map[string]*poolDraft, len(b.pools))
	for _, d := range b.pools {
		if d.pool.name == "" {
			continue
		}
		if first, exists := byName[d.pool.name]; exists {
			b.problems.Add(d.path, d.pool.name, "name is used already at %s", first.path)
			continue
		}
		byName[d.pool.name] = d
	}
	return byName
}

// joinRoutes joins routes to pools and finds routes that contradict each other.
func (b *builder) joinRoutes(byName map[string]*poolDraft) {
	names := make(map[string]string, len(b.routes))
	for _, d := range b.routes {
		name := d.route.name
		if first, exists := names[name]; exists && name != "" {
			b.problems.Add(d.field("name"), name, "name is used already at %s", first)
		}
		names[name] = d.field("name")
		if pool, exists := byName[d.poolName]; exists {
			d.route.pool = pool.pool
		} else if d.poolName != "" {
			b.problems.Add(d.field("pool"), d.poolName, "there is no pool of this name")
		}
	}
}

type sourceKey struct {
	routeKey

	source netip.Prefix
}

// checkDestinations finds routes for the same traffic, and pools that serve more than
// one destination, whose replies could not be told apart.
func (b *builder) checkDestinations() {
	sources := make(map[sourceKey]string, len(b.routes))
	served := make(map[*Pool]*routeDraft, len(b.pools))
	for _, d := range b.routes {
		r := d.route
		if isUnset(r.destination) || r.protocol == 0 {
			continue
		}
		key := sourceKey{routeKey{r.destination, r.protocol}, r.source}
		if first, exists := sources[key]; exists {
			b.problems.Add(d.field("destination"), r.destination.String(),
				"destination, port, protocol and source are routed already at %s", first)
		}
		sources[key] = d.field("destination")
		if r.pool == nil {
			continue
		}
		first, exists := served[r.pool]
		if exists && (first.route.destination != r.destination || first.route.protocol != r.protocol) {
			b.problems.Add(d.field("pool"), d.poolName,
				"pool serves another destination, port or protocol already at %s", first.field("pool"))
			continue
		}
		served[r.pool] = d
		setProtocol(r.pool, r.protocol)
	}
}

func setProtocol(p *Pool, protocol flow.Protocol) {
	for i := range p.hosts {
		p.hosts[i].protocol = protocol
	}
}

// hostCheck finds hosts that contradict each other or the routes.
type hostCheck struct {
	problems     *strictjson.Problems
	destinations map[netip.Addr]string
	families     map[*Pool]bool
	endpoints    map[replyKey]string
	ids          map[flow.TargetID]string
}

func (b *builder) checkHosts() {
	c := hostCheck{
		problems:     b.problems,
		destinations: make(map[netip.Addr]string, len(b.routes)),
		families:     make(map[*Pool]bool, len(b.pools)),
		endpoints:    make(map[replyKey]string),
		ids:          make(map[flow.TargetID]string),
	}
	for _, d := range b.routes {
		if isUnset(d.route.destination) {
			continue
		}
		c.destinations[d.route.destination.AddrPort().Addr()] = d.field("destination")
		if d.route.pool != nil {
			c.families[d.route.pool] = d.route.destination.Is4()
		}
	}
	for _, d := range b.pools {
		c.pool(d)
	}
}

func (c *hostCheck) pool(d *poolDraft) {
	names := make(map[string]string, len(d.pool.hosts))
	for i := range d.pool.hosts {
		h := &d.pool.hosts[i]
		if h.name != "" {
			c.identity(h, d.hostPath(i, "name"), names)
		}
		if !isUnset(h.endpoint) {
			c.endpoint(d.pool, h, d.hostPath(i, "address"))
		}
	}
}

func (c *hostCheck) identity(h *Host, path string, names map[string]string) {
	if first, exists := names[h.name]; exists {
		c.problems.Add(path, h.name, "name is used already at %s", first)
		return
	}
	names[h.name] = path
	if first, exists := c.ids[h.id]; exists {
		c.problems.Add(path, h.name, "pool, name and generation have the same hash as those at %s", first)
		return
	}
	c.ids[h.id] = path
}

func (c *hostCheck) endpoint(p *Pool, h *Host, path string) {
	key := replyKey{h.endpoint, h.protocol}
	if first, exists := c.endpoints[key]; exists {
		c.problems.Add(path, h.endpoint.String(), "address, port and protocol belong to the host at %s already", first)
	} else {
		c.endpoints[key] = path
	}
	address := h.endpoint.AddrPort().Addr()
	if first, exists := c.destinations[address]; exists {
		c.problems.Add(path, address.String(), "a host must not have the address of the destination at %s", first)
	}
	if is4, routed := c.families[p]; routed && is4 != h.endpoint.Is4() {
		c.problems.Add(path, address.String(), "must be of the same address family as the destination of the pool")
	}
}
