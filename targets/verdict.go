package targets

import (
	"cmp"
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/table"
)

const (
	// maxEjectedShare is the largest share of a pool's hosts that may be ejected. One host
	// may always be ejected, unless it is the only one.
	maxEjectedShare = 0.3
	// panicThreshold is the share of suspects above which none of them is ejected, because
	// faulty checks are then more likely than faulty hosts.
	panicThreshold = 0.5
	// minPartitionedHosts is the number of unresponsive hosts from which a domain is
	// considered partitioned. In a domain with fewer hosts, all of them must be
	// unresponsive.
	minPartitionedHosts = 3
)

// Reason is why a target is suspected of being down.
type Reason uint8

// Reasons, from the weakest to the strongest.
const (
	// NotSuspected means that the target is considered healthy.
	NotSuspected Reason = iota
	// ProbesFail means that most daemons that probe the target report it as down, and it has
	// not recently answered flows.
	ProbesFail
	// FlowsFail means that the target refuses flows or does not answer them.
	FlowsFail
	// Partitioned means that the flows fail because a whole failure domain is unresponsive
	// while another one answers.
	Partitioned
)

// String returns the name of the reason in logs and in the audit trail.
func (r Reason) String() string {
	switch r {
	case NotSuspected:
		return "trusted"
	case ProbesFail:
		return "probes_fail"
	case FlowsFail:
		return "flows_fail"
	case Partitioned:
		return "cut_off"
	default:
		return "unknown"
	}
}

// Verdict describes a suspected target.
type Verdict struct {
	id      flow.TargetID
	reason  Reason
	since   clock.Millis
	ejected bool
}

// ID returns the ID of the target.
func (v *Verdict) ID() flow.TargetID { return v.id }

// Reason returns why the target is suspected.
func (v *Verdict) Reason() Reason { return v.reason }

// Since returns the time from which on the target has been suspected.
func (v *Verdict) Since() clock.Millis { return v.since }

// IsEjected reports whether the target takes no new flows. A suspect is not ejected if its
// pool has reached the limit of ejections.
func (v *Verdict) IsEjected() bool { return v.ejected }

// domainCounts counts the hosts of one pool in one failure domain.
type domainCounts struct {
	hosts        int
	unresponsive int
	answering    int
}

// ejectSuspects ejects suspects of a pool within the limits. hosts is the number of hosts
// of the pool that may take new flows, suspects holds the verdicts of its suspects, and
// counts its hosts by domain.
func ejectSuspects(hosts int, suspects []*Verdict, domainOf func(flow.TargetID) string, counts map[string]*domainCounts) {
	remaining := ejectPartitioned(suspects, domainOf, counts)
	reachable := hosts - (len(suspects) - len(remaining))
	if float64(len(remaining)) > panicThreshold*float64(reachable) {
		return
	}
	slices.SortFunc(remaining, func(a, b *Verdict) int {
		return cmp.Or(cmp.Compare(b.reason, a.reason), cmp.Compare(a.since, b.since), cmp.Compare(a.id, b.id))
	})
	limit := max(1, int(maxEjectedShare*float64(hosts)))
	limit = min(limit, reachable-1, len(remaining))
	for _, v := range remaining[:max(0, limit)] {
		v.ejected = true
	}
}

// ejectPartitioned ejects the suspects in partitioned domains and returns the others.
func ejectPartitioned(suspects []*Verdict, domainOf func(flow.TargetID) string, counts map[string]*domainCounts) []*Verdict {
	var remaining []*Verdict
	for _, v := range suspects {
		domain := domainOf(v.id)
		if v.reason == FlowsFail && isPartitioned(domain, counts) {
			v.reason, v.ejected = Partitioned, true
			continue
		}
		remaining = append(remaining, v)
	}
	return remaining
}

// isPartitioned reports whether the domain is unresponsive while another one answers.
func isPartitioned(domain string, counts map[string]*domainCounts) bool {
	c := counts[domain]
	if c.answering > 0 || c.unresponsive < min(minPartitionedHosts, c.hosts) {
		return false
	}
	for other, o := range counts {
		if other != domain && o.answering > 0 {
			return true
		}
	}
	return false
}

// countDomains counts the hosts of a pool that may take new flows, by domain and in total.
func countDomains(p *table.Pool, targets map[flow.TargetID]*targetHealth, now clock.Millis) (map[string]*domainCounts, int) {
	counts := make(map[string]*domainCounts)
	total := 0
	for i := range p.Hosts() {
		h := &p.Hosts()[i]
		if h.State() == table.Leaving {
			continue
		}
		c, ok := counts[h.Domain()]
		if !ok {
			c = &domainCounts{}
			counts[h.Domain()] = c
		}
		c.hosts++
		total++
		t, ok := targets[h.ID()]
		if !ok {
			continue
		}
		if t.passive.isAnswering(now) {
			c.answering++
		}
		if t.passive.down && t.passive.mostlyUnanswered {
			c.unresponsive++
		}
	}
	return counts, total
}
