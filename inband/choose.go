package inband

import (
	"math/rand/v2"

	"github.com/almondflow/almondflow/admission"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
	"github.com/almondflow/almondflow/outcome"
	"github.com/almondflow/almondflow/overload"
)

// Limits on the candidates considered for one new flow.
const (
	// maxFullScan is the size of the largest pool that is scanned fully.
	maxFullScan = 256
	// localSamples and remoteSamples are the numbers of random candidates from a larger pool,
	// in the VM's own failure domain and in the others. The best of a small sample is close to
	// the best of all, and VMs that sample do not all choose the same target.
	localSamples  = 32
	remoteSamples = 8
	// maxSharedScan and sharedSamples take the place of the others where VMs share their load. Each candidate
	// takes longer then, and costs are drawn at random anyway, so that a smaller sample serves.
	maxSharedScan = 32
	sharedSamples = 16
)

// pool holds the targets of a service.
type pool struct {
	service        string
	allowedRegions []string          // of the routes that it is for; none in the pool of the whole service
	regional       []*pool           // of the same service, for routes with allowed regions
	backends       []*Backend        // all of them
	local          []*Backend        // in the VM's own failure domain, unless that is drained
	remote         []*Backend        // in other domains that are not drained
	domainPools    []*domainPool     // the backends by failure domain, drained and leaving ones included
	load           *loadState        // of the engine, shared by all pools
	overload       overload.Detector // by this VM's own requests
	admission      admission.Controller
	stats          outcome.PoolStats // of the requests that this VM forwarded to its targets
	poolLimits
	spillState
}

func (p *pool) add(b *Backend, domain string) {
	b.domainPool = p.in(load.DomainPoolID{Service: b.target.Service, Domain: b.target.Domain})
	b.domainPool.backends = append(b.domainPool.backends, b)
	p.addBackend(b, domain)
}

func (p *pool) addBackend(b *Backend, domain string) {
	p.backends = append(p.backends, b)
	p.addCandidate(b, domain)
}

// keepState takes over what a previous pool of the same targets has come to.
func (p *pool) keepState(previous *pool) {
	p.overload = previous.overload
	p.stats.Stats = previous.stats.Stats
	p.spillState = previous.spillState
	p.admission = previous.admission
}

// unavailable returns the reason why no target of the pool accepts a flow.
func (p *pool) unavailable() Reason {
	if len(p.allowedRegions) > 0 {
		return NoTargetInRegion
	}
	return NoTarget
}

// addCandidate adds a target to those that new flows may go to, unless it is drained.
func (p *pool) addCandidate(b *Backend, domain string) {
	if b.isDrained {
		return
	}
	if b.target.Domain == domain {
		p.local = append(p.local, b)
		return
	}
	p.remote = append(p.remote, b)
}

// updateCandidates lists the targets that new flows may go to again, as other domains are drained.
func (p *pool) updateCandidates(domain string, drained map[string]bool) {
	p.local, p.remote = p.local[:0], p.remote[:0]
	for _, b := range p.backends {
		if isDrained := drained[b.target.Domain]; b.isDrained != isDrained {
			b.isDrained = isDrained
			p.load.recount(b.domainPool)
		}
		p.addCandidate(b, domain)
	}
}

// selection tracks the cheapest target seen so far. Ties are broken at random.
type selection struct {
	best *Backend
	cost float64
	ties int
}

func (s *selection) consider(b *Backend, cost float64, random *rand.Rand) {
	switch {
	case s.best == nil || cost < s.cost:
		s.best, s.cost, s.ties = b, cost, 1
	case cost == s.cost:
		s.ties++
		if random.IntN(s.ties) == 0 {
			s.best = b
		}
	}
}

// chooseTarget returns the target for a new flow to a pool, or nil if no target accepts it. The
// target avoid, which may be nil, is only a last resort.
func (e *Engine) chooseTarget(now clock.Millis, p *pool, avoid *Backend) *Backend {
	if e.options.Policy.UsesSharedLoad() {
		return e.chooseByDomain(now, p, avoid)
	}
	var s selection
	if len(p.local)+len(p.remote) > maxFullScan {
		e.considerSample(now, &s, p.local, localSamples, avoid)
		e.considerSample(now, &s, p.remote, remoteSamples, avoid)
		if s.best != nil && s.cost < suspectWeight {
			return s.best
		}
	}
	e.considerAll(now, &s, p.local, avoid)
	e.considerAll(now, &s, p.remote, avoid)
	return s.best
}

func (e *Engine) considerAll(now clock.Millis, s *selection, targets []*Backend, avoid *Backend) {
	for _, b := range targets {
		e.consider(now, s, b, avoid)
	}
}

func (e *Engine) considerSample(now clock.Millis, s *selection, targets []*Backend, samples int, avoid *Backend) {
	if len(targets) <= samples {
		e.considerAll(now, s, targets, avoid)
		return
	}
	for range samples {
		e.consider(now, s, targets[e.random.IntN(len(targets))], avoid)
	}
}

func (e *Engine) consider(now clock.Millis, s *selection, b, avoid *Backend) {
	if b.acceptsNewFlows(now) && e.hasSlowStartRoom(now, b) {
		s.consider(b, e.cost(now, b, b == avoid, e.draw()), e.random)
	}
}

// draw returns the random part of a cost.
func (e *Engine) draw() float64 {
	if !e.options.Policy.UsesSharedLoad() {
		return 1
	}
	return e.random.ExpFloat64()
}

func (e *Engine) cost(now clock.Millis, b *Backend, isAvoided bool, draw float64) float64 {
	from := Location{Domain: e.options.Domain, VMs: e.localVMs}
	return e.options.Policy.Cost(now, from, b, draw) + e.faultPenalty(now, b, isAvoided)
}

// faultPenalty returns the cost of signs that a target cannot serve a new flow.
func (e *Engine) faultPenalty(now clock.Millis, b *Backend, isAvoided bool) float64 {
	cost := 0.0
	if isAvoided || e.options.Policy.AvoidsSuspects() && b.evidence.isSuspect(now) && !b.evidence.isRetryDue(now) {
		cost += suspectWeight
	}
	if e.options.Policy.AvoidsSuspects() && e.IsPartitioned(now, b.target.Domain) {
		cost += suspectWeight
	}
	if e.options.Policy.AvoidsSuspects() {
		cost += failureWeight * b.excessFailureRate(now)
	}
	return cost
}

// chooseService returns the service of one of the route's pools, chosen at random by weight.
func (e *Engine) chooseService(route *Route) string {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	total := route.weight()
	if total <= 0 {
		return route.Shares[0].Service
	}
	remaining := e.random.IntN(total)
	for _, s := range route.Shares {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	return route.Shares[0].Service
}
