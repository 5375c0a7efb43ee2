package targets

import (
	"cmp"
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/table"
)

const (
	// maxEjectedShare is the largest share of a pool's hosts that is ejected. One host
	// may always be, unless it is the only one.
	maxEjectedShare = 0.3
	// panicShare is the share of suspects above which none is ejected: the checks are
	// then more likely to be wrong than the hosts.
	panicShare = 0.5
	// cutOffHosts is the number of silent hosts that make a domain cut off. All hosts
	// will do where a domain has fewer.
	cutOffHosts = 3
)

// Reason says why a target is suspected.
type Reason uint8

// Reasons, the weakest first.
const (
	// Trusted targets are not suspected.
	Trusted Reason = iota
	// ProbesFail means that most daemons that probe the target found it down, and no
	// flow speaks against it.
	ProbesFail
	// FlowsFail means that the target leaves flows unanswered or refuses them.
	FlowsFail
	// CutOff means FlowsFail by silence of a whole failure domain while another answers.
	CutOff
)

// String returns the name used in logs and the audit trail.
func (r Reason) String() string {
	switch r {
	case Trusted:
		return "trusted"
	case ProbesFail:
		return "probes_fail"
	case FlowsFail:
		return "flows_fail"
	case CutOff:
		return "cut_off"
	default:
		return "unknown"
	}
}

// Verdict is the judgment of one target.
type Verdict struct {
	id      flow.TargetID
	reason  Reason
	since   clock.Millis
	ejected bool
}

// ID returns the target.
func (v *Verdict) ID() flow.TargetID { return v.id }

// Reason returns why the target is suspected.
func (v *Verdict) Reason() Reason { return v.reason }

// Since returns when the target came under suspicion.
func (v *Verdict) Since() clock.Millis { return v.since }

// IsEjected reports whether the target takes no new flows. A suspect is not ejected
// where the bound of its pool is reached.
func (v *Verdict) IsEjected() bool { return v.ejected }

// domainCount is what is known of the hosts of one pool in one failure domain.
type domainCount struct {
	hosts   int
	silent  int
	answers int
}

// judgePool marks which suspects of a pool are ejected. suspects holds the verdicts of
// the pool's suspects, and count the hosts of each domain.
func judgePool(hosts int, suspects []*Verdict, domainOf func(flow.TargetID) string, counts map[string]*domainCount) {
	rest := cutOff(suspects, domainOf, counts)
	reachable := hosts - (len(suspects) - len(rest))
	if float64(len(rest)) > panicShare*float64(reachable) {
		return
	}
	slices.SortFunc(rest, func(a, b *Verdict) int {
		return cmp.Or(cmp.Compare(b.reason, a.reason), cmp.Compare(a.since, b.since), cmp.Compare(a.id, b.id))
	})
	limit := max(1, int(maxEjectedShare*float64(hosts)))
	limit = min(limit, reachable-1, len(rest))
	for _, v := range rest[:max(0, limit)] {
		v.ejected = true
	}
}

// cutOff ejects the suspects of domains that are cut off and returns the others.
func cutOff(suspects []*Verdict, domainOf func(flow.TargetID) string, counts map[string]*domainCount) []*Verdict {
	var rest []*Verdict
	for _, v := range suspects {
		domain := domainOf(v.id)
		if v.reason == FlowsFail && isCutOff(domain, counts) {
			v.reason, v.ejected = CutOff, true
			continue
		}
		rest = append(rest, v)
	}
	return rest
}

// isCutOff reports whether the domain is silent while another one answers.
func isCutOff(domain string, counts map[string]*domainCount) bool {
	c := counts[domain]
	if c.answers > 0 || c.silent < min(cutOffHosts, c.hosts) {
		return false
	}
	for other, o := range counts {
		if other != domain && o.answers > 0 {
			return true
		}
	}
	return false
}

// countDomains counts the hosts of a pool that may take new flows.
func countDomains(p *table.Pool, tracks map[flow.TargetID]*track, now clock.Millis) (map[string]*domainCount, int) {
	counts := make(map[string]*domainCount)
	total := 0
	for i := range p.Hosts() {
		h := &p.Hosts()[i]
		if h.Mark() == table.Leaving {
			continue
		}
		c, ok := counts[h.Domain()]
		if !ok {
			c = &domainCount{}
			counts[h.Domain()] = c
		}
		c.hosts++
		total++
		t, ok := tracks[h.ID()]
		if !ok {
			continue
		}
		if t.passive.answers(now) {
			c.answers++
		}
		if t.passive.down && t.passive.silent {
			c.silent++
		}
	}
	return counts, total
}
