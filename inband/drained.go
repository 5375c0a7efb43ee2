package inband

import "slices"

// SetDrainedDomains replaces the failure domains whose targets get no new flows. Open flows stay at their
// targets.
func (e *Engine) SetDrainedDomains(domains []string) {
	if e.hasDrained(domains) {
		return
	}
	e.drained = make(map[string]bool, len(domains))
	for _, domain := range domains {
		e.drained[domain] = true
	}
	for p := range e.allPools() { // targets outside of pools share a tag, and get no new flows anyway
		p.updateCandidates(e.options.Domain, e.drained)
	}
}

// hasDrained reports whether exactly the given domains are drained.
func (e *Engine) hasDrained(domains []string) bool {
	isOther := func(domain string) bool { return !e.drained[domain] }
	return len(domains) == len(e.drained) && !slices.ContainsFunc(domains, isOther)
}

// drainedDomainsOf returns the drained domains that have targets of the route, ordered by name.
func (e *Engine) drainedDomainsOf(route *Route) []string {
	var domains []string
	for _, share := range route.Shares {
		domains = addDrainedDomains(domains, e.poolFor(route, share.Service).backends)
	}
	slices.Sort(domains)
	return domains
}

// addDrainedDomains adds the domains of drained targets that have not left, each once.
func addDrainedDomains(domains []string, targets []*Backend) []string {
	for _, b := range targets {
		if b.isDrained && b.target.State != Gone && !slices.Contains(domains, b.target.Domain) {
			domains = append(domains, b.target.Domain)
		}
	}
	return domains
}
