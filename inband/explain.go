package inband

import (
	"cmp"
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

// Candidate is a target that accepts new flows, with the cost of placing a new flow on it.
type Candidate struct {
	ID          string  `json:"id"`
	Domain      string  `json:"domain"`
	Cost        float64 `json:"cost"` // in waiting requests; plus 1e6 if suspected, and again if partitioned
	Flows       int     `json:"flows"`
	Busy        int     `json:"busy"`
	Suspect     bool    `json:"suspect"`
	Partitioned bool    `json:"cut"`       // its failure domain appears to be partitioned from this VM
	FailureRate float64 `json:"bad_share"` // fraction of its recent requests that failed
	// Work is what all VMs are believed to have there; nil if VMs do not share their load.
	Work *load.Work `json:"work,omitempty"`
	// ResponseMS is the expected time until one more request is answered; zero if VMs do not share their load.
	ResponseMS float64 `json:"response_ms,omitempty"`
}

// Explanation describes where a flow goes and why.
type Explanation struct {
	Route      string      `json:"route"`  // empty if no route matches
	Target     string      `json:"target"` // target of a flow tracked by this VM, else empty
	State      string      `json:"state"`  // state of that flow
	Candidates []Candidate `json:"candidates"`
	// DrainedDomains holds the failure domains whose targets are no candidates because they are drained.
	DrainedDomains []string          `json:"drained_domains,omitempty"`
	AllowedRegions []string          `json:"allowed_regions,omitempty"` // whose targets may get the route's new flows; all if empty
	Priority       int               `json:"priority"`                  // of the route
	Admissions     []AdmissionStatus `json:"admissions,omitempty"`      // of the route's pools, if openings to them may be refused
}

var phaseNames = [...]string{"opening", "open", "ended"}

// Explain returns where the packets of a flow go, and the candidates for a new flow, cheapest
// first. In large pools each new flow considers only a sample of the candidates. Explain does
// not change the engine.
func (e *Engine) Explain(now clock.Millis, key Key) Explanation {
	var x Explanation
	if f := e.flows.find(key); f != nil {
		x.Target, x.State = f.backend.target.ID, phaseNames[f.phase]
	}
	route := e.routes[key.Destination]
	if route == nil {
		return x
	}
	x.Route, x.DrainedDomains = route.Name, e.drainedDomainsOf(route)
	x.Priority = route.Priority
	x.AllowedRegions = route.AllowedRegions
	x.Admissions = slices.DeleteFunc(e.AdmissionStatuses(), func(a AdmissionStatus) bool {
		return !route.leadsTo(a.Service) || !slices.Equal(a.AllowedRegions, e.poolFor(route, a.Service).allowedRegions)
	})
	for _, share := range route.Shares {
		p := e.poolFor(route, share.Service)
		x.Candidates = e.addCandidates(now, x.Candidates, p.local)
		x.Candidates = e.addCandidates(now, x.Candidates, p.remote)
	}
	slices.SortStableFunc(x.Candidates, func(a, b Candidate) int { return cmp.Compare(a.Cost, b.Cost) })
	return x
}

func (e *Engine) addCandidates(now clock.Millis, all []Candidate, targets []*Backend) []Candidate {
	for _, b := range targets {
		if b.acceptsNewFlows(now) && e.hasSlowStartRoom(now, b) {
			all = append(all, e.candidate(now, b))
		}
	}
	return all
}

func (e *Engine) candidate(now clock.Millis, b *Backend) Candidate {
	c := Candidate{
		ID:          b.target.ID,
		Domain:      b.target.Domain,
		Cost:        e.cost(now, b, false, 1),
		Flows:       b.flows,
		Busy:        b.busy,
		Suspect:     b.evidence.isSuspect(now),
		Partitioned: e.IsPartitioned(now, b.target.Domain),
		FailureRate: b.stats.FailureRate(now),
	}
	if e.load.isShared {
		work := b.work()
		c.Work = &work
	}
	if e.options.Policy.UsesSharedLoad() {
		c.ResponseMS = b.responseTime(now) * b.pool.serviceTime
	}
	return c
}
