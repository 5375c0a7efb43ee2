package placement

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/table"
)

const (
	// slowStartReplanInterval is how often the plan of a pool with cold targets is
	// rebuilt.
	slowStartReplanInterval = 250 * clock.Millisecond
	// minSlowStartFraction is the fraction of its weight with which a cold target begins.
	minSlowStartFraction = 0.1
	// maxWarmShare limits the share of new flows that warm targets get while others are
	// cold, relative to their fair share. The cold targets start faster if that is
	// necessary.
	maxWarmShare = 1.5
	// openingsPerSlot is the number of flows that may be opening at the same time for each
	// slot of a target. Opening a flow takes a small part of the work that a slot
	// represents.
	openingsPerSlot = 32
)

// domainSubset holds the hosts of a pool in one failure domain on which this VM places
// flows.
type domainSubset struct {
	domain fleet.ID
	hosts  []*table.Host
	// scale is the number of hosts of the domain that are not leaving, divided by
	// len(hosts).
	scale float64
}

// buildSubsets groups the hosts of a pool by domain and selects this VM's subset of each.
// Leaving hosts are left out.
func (p *Placer) buildSubsets(spec *table.Pool) []domainSubset {
	var subsets []domainSubset
	index := make(map[fleet.ID]int)
	for j := range spec.Hosts() {
		h := &spec.Hosts()[j]
		if h.State() == table.Leaving {
			continue
		}
		domain := fleet.NewID(h.Domain())
		i, ok := index[domain]
		if !ok {
			i = len(subsets)
			index[domain] = i
			subsets = append(subsets, domainSubset{domain: domain})
		}
		subsets[i].hosts = append(subsets[i].hosts, h)
	}
	if spec.AllowsSpill() {
		subsets = p.dropUnreachable(subsets)
		subsets = mergeDomains(spec, subsets)
	}
	for i := range subsets {
		d := &subsets[i]
		d.hosts, d.scale = subset(p.fleetShares, d.domain, d.hosts, func(h *table.Host) uint64 { return uint64(h.ID()) })
	}
	return subsets
}

// mergeDomains merges all failure domains into one if the pool prefers balance over
// placing flows in the domain of their owner. Selecting a domain by hash alone would leave
// the load of the domains uneven by chance.
func mergeDomains(spec *table.Pool, subsets []domainSubset) []domainSubset {
	if spec.Preference() != table.PreferBalance || len(subsets) < 2 {
		return subsets
	}
	merged := domainSubset{}
	for _, d := range subsets {
		merged.hosts = append(merged.hosts, d.hosts...)
	}
	return []domainSubset{merged}
}

// dropUnreachable leaves out the failure domains in which no listed entry VM can be
// reached, because a partition also blocks the packets of their hosts. If no domain is
// reachable, all are kept.
func (p *Placer) dropUnreachable(subsets []domainSubset) []domainSubset {
	var kept []domainSubset
	for _, d := range subsets {
		if !p.fleetShares.isUnreachable(d.domain) {
			kept = append(kept, d)
		}
	}
	if len(kept) == 0 {
		return subsets
	}
	return kept
}

// cachedSubsets returns the subsets of a pool. They are cached for a generation.
func (p *Placer) cachedSubsets(s *poolState) []domainSubset {
	if generation := p.generation.Load(); s.subsets == nil || s.subsetsGeneration != generation {
		s.subsets, s.subsetsGeneration = p.buildSubsets(s.spec), generation
	}
	return s.subsets
}

// newPlan builds the plan of a pool. The caller holds p.control.
func (p *Placer) newPlan(now clock.Millis, s *poolState) *plan {
	subsets := p.cachedSubsets(s)
	ignoreEjections := p.areAllEjected(subsets)
	built := &plan{
		policy:      p.policies.balance,
		allowsSpill: s.spec.AllowsSpill(),
		replanAt:    noReplan,
		generation:  p.generation.Load(),
	}
	if s.spec.Preference() == table.PreferFlows {
		built.policy = p.policies.flows
	}
	for _, d := range subsets {
		g := domainGroup{domain: d.domain}
		for _, h := range d.hosts {
			l := p.claimLoad(h, s)
			built.loads = append(built.loads, l)
			if ignoreEjections || !p.ejected[h.ID()] {
				g.add(h, l)
			}
			g.capacity += float64(h.Weight())
		}
		g.capacity *= d.scale
		built.groups = append(built.groups, g)
	}
	if applySlowStart(now, s.spec.SlowStart(), built.groups) {
		built.replanAt = now + slowStartReplanInterval
	}
	setCapacities(built.groups, subsets)
	p.applyLimits(built.groups, subsets)
	return built
}

func (p *Placer) areAllEjected(subsets []domainSubset) bool {
	for _, d := range subsets {
		for _, h := range d.hosts {
			if !p.ejected[h.ID()] {
				return false
			}
		}
	}
	return true
}

// claimLoad returns the load of a host and assigns it to the pool.
func (p *Placer) claimLoad(h *table.Host, s *poolState) *targetLoad {
	l := p.loads.ensure(h.ID())
	l.pool = s.spec.Name()
	return l
}

func (g *domainGroup) add(h *table.Host, l *targetLoad) {
	c := &candidate{
		load:        l,
		target:      h.Target(),
		baseWeight:  float64(h.Weight()),
		weight:      float64(h.Weight()) * l.correction,
		maxFlows:    int64(h.MaxFlows()),
		maxOpenings: int64(h.MaxRequests()) * openingsPerSlot,
	}
	g.baseWeight += c.baseWeight
	g.warm = append(g.warm, c)
}

// beginSlowStart marks the target as cold.
func (l *targetLoad) beginSlowStart(now clock.Millis) {
	l.cold, l.coldSince = true, now
}

// slowStartFraction returns the fraction of its weight that a target has reached in its
// slow start. It ends the slow start when its time is over.
func (l *targetLoad) slowStartFraction(now, slowStart clock.Millis) float64 {
	if l.cold && now-l.coldSince >= slowStart {
		l.cold = false
	}
	if !l.cold {
		return 1
	}
	return max(minSlowStartFraction, float64(now-l.coldSince)/float64(slowStart))
}

// applySlowStart moves the targets that are in slow start to the cold candidates and
// lowers their weights. It reports whether there are any.
func applySlowStart(now, slowStart clock.Millis, groups []domainGroup) bool {
	var total, warm, cold float64
	for i := range groups {
		g := &groups[i]
		candidates := g.warm
		g.warm = nil
		for _, c := range candidates {
			total += c.baseWeight
			fraction := c.load.slowStartFraction(now, slowStart)
			if !c.load.cold {
				warm += c.baseWeight
				g.warm = append(g.warm, c)
				continue
			}
			cold += c.baseWeight * fraction
			c.weight *= fraction
			g.cold = append(g.cold, c)
		}
	}
	if cold == 0 {
		return false
	}
	boost := max(1, (total-maxWarmShare*warm)/cold)
	for i := range groups {
		for _, c := range groups[i].cold {
			c.weight = min(c.weight*boost, c.baseWeight)
		}
	}
	return true
}

// setCapacities sets the capacities of the domains and the bounds of the cold candidates.
// If all candidates of a domain are cold, the policy selects among them as if they were
// warm. A domain without usable hosts keeps the capacity of all its hosts, so that its
// flows spill over or are refused as the pool specifies.
func setCapacities(groups []domainGroup, subsets []domainSubset) {
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
		g.capacity = total * subsets[i].scale
		if len(g.warm) == 0 {
			g.warm, g.cold = g.cold, nil
		}
		cumulative := 0.0
		for _, c := range g.cold {
			cumulative += c.weight / total
			g.coldBounds = append(g.coldBounds, cumulative)
		}
	}
}

// applyLimits sets this VM's share of the limits of each candidate.
func (p *Placer) applyLimits(groups []domainGroup, subsets []domainSubset) {
	if !hasAnyLimit(groups) {
		return
	}
	shares := p.fleetShares.shares(groups)
	for i := range groups {
		share := min(1, shares[i]*subsets[i].scale)
		groups[i].forEach(func(c *candidate) {
			c.maxFlows = shareOf(c.maxFlows, share)
			c.maxOpenings = shareOf(c.maxOpenings, share)
		})
	}
}

func hasAnyLimit(groups []domainGroup) bool {
	hasLimits := false
	for i := range groups {
		groups[i].forEach(func(c *candidate) { hasLimits = hasLimits || c.maxFlows > 0 || c.maxOpenings > 0 })
	}
	return hasLimits
}

// shareOf returns the share of a limit, which is at least one. A limit of zero means no
// limit and stays zero.
func shareOf(limit int64, share float64) int64 {
	if limit == 0 {
		return 0
	}
	return max(1, int64(float64(limit)*share))
}
