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
	for _, b := range e.byID {
		if isDrained := e.drained[b.target.Domain]; b.isDrained != isDrained {
			b.isDrained = isDrained
			e.load.recount(b.domainPool)
		}
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
		if p := e.pools[share.Service]; p != nil {
			domains = addDrainedDomains(domains, p.local)
			domains = addDrainedDomains(domains, p.remote)
		}
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
