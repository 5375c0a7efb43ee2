package inband

import (
	"cmp"
	"slices"
	"strings"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
	"github.com/almondflow/almondflow/spread"
)

// fullWeight is the cost of a target that holds as many flows as it may. It is above what usual load costs, and below
// suspectWeight, because a full target refuses a flow at once and a suspected one may not answer.
const fullWeight = 1e5

// minSpillShare is the share of new flows sent to other failure domains from which a pool counts as spilling.
// It ceases when it sends none, so that a share near the limit changes nothing.
const minSpillShare = 0.02

// spillState is what a pool's load has come to, as of the last Sweep.
type spillState struct {
	spill        spread.Spill
	serviceTime  float64 // usual, in milliseconds; zero while it is unknown
	responseTime float64 // expected in the VM's own failure domain, in milliseconds; it stays while nothing finishes
	isSpilling   bool    // as of the last TakeSpillChanges
	isCompared   bool    // in Engine.compared
}

// Spilling is how a pool's new flows are spread over failure domains.
type Spilling struct {
	Service        string
	AllowedRegions []string // of the routes that the pool is for
	Share          float64  // of new flows, sent to other failure domains
	ServiceTime    float64  // usual, in milliseconds; zero while unknown
	ResponseTime   float64  // expected in the VM's own failure domain, in milliseconds; zero while unknown
	IsSpilling     bool
}

// chooseByDomain returns the target for a new flow. The flow stays in the VM's own failure domain unless the
// pool spills, or what speaks against the best target there weighs more than the way to another domain. That
// needs no news: it may be what this VM itself has under way there.
func (e *Engine) chooseByDomain(now clock.Millis, p *pool, avoid *Backend) *Backend {
	first, second, maxCost := p.local, p.remote, remoteWeight
	if share := p.spill.Share(); share > 0 && e.random.Float64() < share {
		first, second, maxCost = p.remote, p.local, 2*remoteWeight // the way is part of the cost
	}
	best := e.cheapest(now, first, avoid)
	if best == nil {
		return e.cheapest(now, second, avoid)
	}
	cost := e.cost(now, best, best == avoid, 0)
	if cost < maxCost {
		return best
	}
	other := e.cheapest(now, second, avoid)
	if other != nil && e.cost(now, other, other == avoid, 0) < cost {
		return other
	}
	return best
}

// cheapest returns the best of some targets, or nil if none accepts flows. Of many, it takes a sample, and
// another one if all of the first are full, unless all have faults.
func (e *Engine) cheapest(now clock.Millis, targets []*Backend, avoid *Backend) *Backend {
	var s selection
	if len(targets) > maxSharedScan {
		e.considerSample(now, &s, targets, sharedSamples, avoid)
		if s.best != nil && s.best.spreadTarget(now).IsFull() {
			e.considerSample(now, &s, targets, sharedSamples, avoid)
		}
		if s.best != nil && s.cost < suspectWeight {
			return s.best
		}
	}
	e.considerAll(now, &s, targets, avoid)
	return s.best
}

// updateSpills compares the load of failure domains anew, of pools that have work in the own one or had it
// lately.
func (e *Engine) updateSpills(now clock.Millis) {
	if !e.options.Policy.UsesSharedLoad() {
		return
	}
	for _, d := range e.load.working {
		if d.isLocal {
			e.compareAll(d)
		}
	}
	e.compared = slices.DeleteFunc(e.compared, func(p *pool) bool {
		own := e.updateSpill(now, p)
		p.isCompared = own.Work != load.Work{} || p.isSpilling
		return !p.isCompared
	})
}

// compareAll lists the pools that hold the targets of d as ones to compare.
func (e *Engine) compareAll(d *domainPool) {
	for p := range d.pool.withRegional() {
		if p.holds(d) && !p.isCompared {
			p.isCompared = true
			e.compared = append(e.compared, p)
		}
	}
}

// updateSpill compares the load of failure domains for one pool, and returns that in the own one.
func (e *Engine) updateSpill(now clock.Millis, p *pool) load.DomainPool {
	own, others, isKnown := e.compareDomains(now, p)
	if !own.Work.IsStalled() {
		p.responseTime = own.ResponseTime()
		p.serviceTime = p.usualServiceTime(now)
	}
	if !isKnown {
		p.spill.Decline(now)
		return own
	}
	p.spill.Update(now, own, others, spread.Margin(p.targetLatency, p.serviceTime))
	return own
}

// observeResponseTime records how long the answer to the flow's request took, if its target is in the VM's own
// failure domain.
func (e *Engine) observeResponseTime(f *flow) {
	if !e.options.Policy.UsesSharedLoad() || !f.backend.domainPool.isLocal {
		return
	}
	for p := range e.poolsOf(f.backend) {
		p.spill.Observe(f.responseTime, p.serviceTime)
	}
}

// listCompared lists the pools to compare after they were added anew.
func (e *Engine) listCompared() {
	e.compared = nil
	for p := range e.allPools() {
		if p.isCompared {
			e.compared = append(e.compared, p)
		}
	}
}

// compareDomains returns the load of a pool in the VM's own failure domain, and in the others that it reaches.
// isKnown is false if none of them has told of its load lately.
func (e *Engine) compareDomains(now clock.Millis, p *pool) (own, others load.DomainPool, isKnown bool) {
	reachable := 0
	for _, d := range p.domainPools {
		if d.isLocal {
			own = p.load.summary(d)
			continue
		}
		if e.IsPartitioned(now, d.id.Domain) {
			continue
		}
		reachable += d.targets
		if e.load.hasFreshNews(d.id.Domain) {
			others = combine(others, p.load.summary(d))
		}
	}
	return own, others, reachable == 0 || others.Targets > 0
}

// combine returns the load of two pools together.
func combine(a, b load.DomainPool) load.DomainPool {
	return load.DomainPool{Targets: a.Targets + b.Targets, Slots: a.Slots + b.Slots, Work: a.Work.Add(b.Work)}
}

// Spillings returns how new flows are spread over failure domains, ordered by service. It returns none if the
// policy does not use shared load.
func (e *Engine) Spillings() []Spilling {
	if !e.options.Policy.UsesSharedLoad() {
		return nil
	}
	all := make([]Spilling, 0, len(e.pools))
	for p := range e.allPools() {
		all = append(all, p.spilling())
	}
	slices.SortFunc(all, compareSpillings)
	return all
}

// TakeSpillChanges returns the pools that began or ceased to spill since the last call, ordered by service.
func (e *Engine) TakeSpillChanges() []Spilling {
	var all []Spilling
	for _, p := range e.compared {
		share := p.spill.Share()
		hasChanged := !p.isSpilling && share >= minSpillShare || p.isSpilling && share == 0
		if hasChanged {
			p.isSpilling = !p.isSpilling
			all = append(all, p.spilling())
		}
	}
	slices.SortFunc(all, compareSpillings)
	return all
}

func compareSpillings(a, b Spilling) int {
	return cmp.Or(strings.Compare(a.Service, b.Service), slices.Compare(a.AllowedRegions, b.AllowedRegions))
}

func (p *pool) spilling() Spilling {
	return Spilling{
		Service:        p.service,
		AllowedRegions: p.allowedRegions,
		Share:          p.spill.Share(),
		ServiceTime:    p.serviceTime,
		ResponseTime:   p.responseTime,
		IsSpilling:     p.isSpilling,
	}
}
