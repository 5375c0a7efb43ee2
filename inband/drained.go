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
		b.isDrained = e.drained[b.target.Domain]
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
	for _, b := range e.byID {
		isOfRoute := slices.ContainsFunc(route.Shares, func(s Share) bool { return s.Service == b.target.Service })
		if isOfRoute && b.isDrained && b.target.State != Gone {
			domains = append(domains, b.target.Domain)
		}
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}
