package placement

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/table"
)

const (
	// replanSpan is how often the plan of a pool with cold targets is made anew.
	replanSpan = 250 * clock.Millisecond
	// coldFloor is the fraction of its share with which a cold target begins.
	coldFloor = 0.1
	// warmCap is the most that a warm target gets of the new flows, relative to its fair
	// share, because others are cold. Beyond it the cold ones start faster.
	warmCap = 1.5
	// openingsPerSlot is the number of flows that may be opening at once for each slot
	// of a target. Opening takes a small part of the work that a slot stands for.
	openingsPerSlot = 32
)

// part is the hosts of a pool in one domain that this VM places on.
type part struct {
	domain fleet.ID
	hosts  []*table.Host
	// whole is the number of hosts in the domain relative to those in hosts.
	whole float64
}

// parts splits the hosts of a pool that are not leaving by domain.
func (p *Placer) parts(spec *table.Pool) []part {
	var parts []part
	index := make(map[fleet.ID]int)
	for i := range spec.Hosts() {
		h := &spec.Hosts()[i]
		if h.Mark() == table.Leaving {
			continue
		}
		domain := fleet.NewID(h.Domain())
		at, ok := index[domain]
		if !ok {
			at = len(parts)
			index[domain] = at
			parts = append(parts, part{domain: domain})
		}
		parts[at].hosts = append(parts[at].hosts, h)
	}
	if spec.Spill() {
		parts = p.reachable(parts)
		parts = merge(spec, parts)
	}
	for i := range parts {
		d := &parts[i]
		d.hosts, d.whole = subset(p.fleet, d.domain, d.hosts, func(h *table.Host) uint64 { return uint64(h.ID()) })
	}
	return parts
}

// merge makes one part of all failure domains where balance weighs more than staying in
// the domain of the owner: a choice of the domain by hash alone leaves the domains as
// uneven as chance makes them.
func merge(spec *table.Pool, parts []part) []part {
	if spec.Prefer() != table.PreferBalance || len(parts) < 2 {
		return parts
	}
	whole := part{}
	for _, d := range parts {
		whole.hosts = append(whole.hosts, d.hosts...)
	}
	return []part{whole}
}

// reachable leaves out failure domains of which no listed entry VM is reached: a partition
// keeps packets from their hosts as well. Where none is left, all stay.
func (p *Placer) reachable(parts []part) []part {
	var kept []part
	for _, d := range parts {
		if !p.fleet.isDark(d.domain) {
			kept = append(kept, d)
		}
	}
	if len(kept) == 0 {
		return parts
	}
	return kept
}

// partsOf returns the parts of a pool, which are kept for a generation.
func (p *Placer) partsOf(s *pool) []part {
	if generation := p.generation.Load(); s.parts == nil || s.partsGeneration != generation {
		s.parts, s.partsGeneration = p.parts(s.spec), generation
	}
	return s.parts
}

// newPlan makes the plan of a pool anew. p.control is held.
func (p *Placer) newPlan(now clock.Millis, s *pool) *plan {
	parts := p.partsOf(s)
	useAll := p.allEjected(parts)
	fresh := &plan{
		policy:     p.policies.balance,
		spill:      s.spec.Spill(),
		until:      never,
		generation: p.generation.Load(),
	}
	if s.spec.Prefer() == table.PreferFlows {
		fresh.policy = p.policies.flows
	}
	for _, d := range parts {
		g := group{domain: d.domain}
		for _, h := range d.hosts {
			l := p.loadOf(h, s)
			fresh.loads = append(fresh.loads, l)
			if useAll || !p.ejected[h.ID()] {
				g.add(h, l)
			}
			g.capacity += float64(h.Weight())
		}
		g.capacity *= d.whole
		fresh.groups = append(fresh.groups, g)
	}
	if warmUp(now, s.spec.SlowStart(), fresh.groups) {
		fresh.until = now + replanSpan
	}
	weigh(fresh.groups, parts)
	p.limit(fresh.groups, parts)
	return fresh
}

func (p *Placer) allEjected(parts []part) bool {
	for _, d := range parts {
		for _, h := range d.hosts {
			if !p.ejected[h.ID()] {
				return false
			}
		}
	}
	return true
}

// loadOf returns the load of a host of the pool.
func (p *Placer) loadOf(h *table.Host, s *pool) *load {
	l := p.loads.ensure(h.ID())
	l.pool = s.spec.Name()
	return l
}

func (g *group) add(h *table.Host, l *load) {
	c := &candidate{
		load:        l,
		target:      h.Target(),
		base:        float64(h.Weight()),
		weight:      float64(h.Weight()) * l.correction,
		connections: int64(h.Connections()),
		openings:    int64(h.Slots()) * openingsPerSlot,
	}
	g.base += c.base
	g.warm = append(g.warm, c)
}

// chill begins a slow start.
func (l *load) chill(now clock.Millis) {
	l.cold, l.started = true, now
}

// warmth is the fraction of its share that a target has reached in its slow start.
func (l *load) warmth(now, slowStart clock.Millis) float64 {
	if l.cold && now-l.started >= slowStart {
		l.cold = false
	}
	if !l.cold {
		return 1
	}
	return max(coldFloor, float64(now-l.started)/float64(slowStart))
}

// warmUp moves the targets in slow start to the cold ones and lowers their weights. It
// reports whether there are any.
func warmUp(now, slowStart clock.Millis, groups []group) bool {
	var total, warm, cold float64
	for i := range groups {
		g := &groups[i]
		all := g.warm
		g.warm = nil
		for _, c := range all {
			total += c.base
			warmth := c.load.warmth(now, slowStart)
			if !c.load.cold {
				warm += c.base
				g.warm = append(g.warm, c)
				continue
			}
			cold += c.base * warmth
			c.weight *= warmth
			g.cold = append(g.cold, c)
		}
	}
	if cold == 0 {
		return false
	}
	raise := max(1, (total-warmCap*warm)/cold)
	for i := range groups {
		for _, c := range groups[i].cold {
			c.weight = min(c.weight*raise, c.base)
		}
	}
	return true
}

// weigh sets the capacities of the domains and the bounds of the cold candidates. Where
// all candidates of a domain are cold the policy chooses among them as if they were
// warm. A domain without usable hosts keeps the capacity of all its hosts, so that its flows
// spill or are refused, as the pool says.
func weigh(groups []group, parts []part) {
	for i := range groups {
		g := &groups[i]
		total := 0.0
		for _, c := range g.warm {
			total += c.weight
		}
		for _, c := range g.cold {
			total += c.weight
		}
		if total == 0 {
			continue
		}
		g.capacity = total * parts[i].whole
		if len(g.warm) == 0 {
			g.warm, g.cold = g.cold, nil
		}
		bound := 0.0
		for _, c := range g.cold {
			bound += c.weight / total
			g.bounds = append(g.bounds, bound)
		}
	}
}

// limit sets this VM's share of the limits of each candidate.
func (p *Placer) limit(groups []group, parts []part) {
	if !isLimited(groups) {
		return
	}
	shares := p.fleet.shares(groups)
	for i := range groups {
		share := min(1, shares[i]*parts[i].whole)
		groups[i].each(func(c *candidate) {
			c.connections = shareOf(c.connections, share)
			c.openings = shareOf(c.openings, share)
		})
	}
}

func isLimited(groups []group) bool {
	limited := false
	for i := range groups {
		groups[i].each(func(c *candidate) { limited = limited || c.connections > 0 || c.openings > 0 })
	}
	return limited
}

// shareOf returns the share of a limit, at least one. Zero stays without limit.
func shareOf(limit int64, share float64) int64 {
	if limit == 0 {
		return 0
	}
	return max(1, int64(float64(limit)*share))
}
