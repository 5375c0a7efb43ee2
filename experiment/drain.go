package experiment

import "github.com/almondflow/almondflow/clock"

// drainDomain drains a domain for a while. A longer drain of the same domain goes on.
func (s *simulation) drainDomain(domain int, duration clock.Millis) {
	if !s.isDrained(domain) {
		s.drainedSince[domain] = s.now
	}
	s.drainedUntil[domain] = max(s.drainedUntil[domain], s.now+duration)
	s.publish()
	s.schedule(duration, s.publish)
}

func (s *simulation) isDrained(domain int) bool { return s.now < s.drainedUntil[domain] }

// drainedDomains returns the names of the drained domains.
func (s *simulation) drainedDomains() []string {
	var names []string
	for domain := range s.size.Domains {
		if s.isDrained(domain) {
			names = append(names, domainName(domain))
		}
	}
	return names
}

// countOpening counts a new flow at a target of a drained domain, unless it may come from a VM that has not
// learned of the drain yet, or from one that could not: while any partition lasts, none is counted.
func (s *simulation) countOpening(t *target) {
	knownBy := max(s.drainedSince[t.domain], s.healedAt) + maxViewLag + remoteLatency
	if s.isDrained(t.domain) && s.now > knownBy && s.partitioned == none {
		s.report.DrainedOpenings++
	}
}
