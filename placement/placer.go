package placement

import (
	"math"
	"sync"
	"sync/atomic"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/table"
)

// noReplan is the replan time of a plan that is only rebuilt when it is invalidated.
const noReplan = clock.Millis(math.MaxInt64)

// Placer places the new flows of all pools. Any number of goroutines may call Place,
// AddFlow, RemoveFlow and Observe. A single control goroutine calls the Set methods.
type Placer struct {
	pools atomic.Pointer[map[string]*poolState]
	loads loadTable
	// generation is incremented by changes that invalidate all plans.
	generation atomic.Uint64

	// control guards the fields below and those fields of pools and loads that are not
	// atomic.
	control     sync.Mutex
	snapshot    *table.Snapshot
	fleetShares *FleetShares
	ejected     map[flow.TargetID]bool
	policies    preferencePolicies
	// correctedPools holds the names of the pools whose weights the last reports
	// corrected.
	correctedPools map[string]bool
	// nextCorrection is the earliest time of the next correction.
	nextCorrection clock.Millis
	// lastSweep is when unused state was last dropped.
	lastSweep clock.Millis
}

// poolState is the state of one pool under the current tables.
type poolState struct {
	destination flow.Endpoint
	protocol    flow.Protocol
	// plan is nil until the pool is used.
	plan   atomic.Pointer[plan]
	budget *retryBudget

	// spec and subsets are guarded by Placer.control. subsets is valid for
	// subsetsGeneration.
	spec              *table.Pool
	subsets           []domainSubset
	subsetsGeneration uint64
}

// preferencePolicies holds the policy for each preference that a pool can have.
type preferencePolicies struct {
	flows   Policy[*candidate]
	balance Policy[*candidate]
}

// boundedExcess is the fraction above the mean load that a target of a pool with the
// preference "flows" may reach.
const boundedExcess = 0.1

// Option configures a Placer.
type Option func(*Placer)

// WithPolicy places the flows of all pools by the named policy, regardless of their
// preference. The names are "naive" (ModuloHash), "hash" (RendezvousHash), "two_choices",
// "least_loaded" and "bounded_load". An unknown name has no effect.
func WithPolicy(name string) Option {
	return func(p *Placer) {
		if policy, ok := policyByName(name); ok {
			p.policies = preferencePolicies{flows: policy, balance: policy}
		}
	}
}

func policyByName(name string) (Policy[*candidate], bool) {
	switch name {
	case "naive":
		return ModuloHash[*candidate]{}, true
	case "hash":
		return RendezvousHash[*candidate]{}, true
	case "two_choices":
		return TwoChoices[*candidate]{}, true
	case "least_loaded":
		return LeastLoaded[*candidate]{}, true
	case "bounded_load":
		return BoundedLoad[*candidate]{Excess: boundedExcess}, true
	default:
		return nil, false
	}
}

// New returns a Placer. It refuses every flow with result.RefusedNoTarget until SetTables is
// called.
func New(options ...Option) *Placer {
	p := &Placer{
		ejected:        make(map[flow.TargetID]bool),
		correctedPools: make(map[string]bool),
		policies: preferencePolicies{
			flows:   BoundedLoad[*candidate]{Excess: boundedExcess},
			balance: LeastLoaded[*candidate]{},
		},
	}
	for _, option := range options {
		option(p)
	}
	p.pools.Store(&map[string]*poolState{})
	return p
}

// Place selects a target for a new flow of the route and counts the flow as open. excluded
// is the target that refused the flow before, or zero for the first attempt. The code is
// result.Placed on success, result.RefusedNoTarget if there is no usable target, or
// result.RefusedFull if the limits of all targets or the retry budget are exhausted.
func (p *Placer) Place(now clock.Millis, route *table.Route, hash uint64, excluded flow.TargetID) (flow.Target, result.Code) {
	s := (*p.pools.Load())[route.Pool().Name()]
	if s == nil || s.destination != route.Destination() || s.protocol != route.Protocol() {
		return flow.Target{}, result.RefusedNoTarget
	}
	if excluded != 0 && !s.budget.spend(now) {
		return flow.Target{}, result.RefusedFull
	}
	current := p.currentPlan(now, s)
	target, code := current.place(placeRequest{now, hash, excluded})
	if code != result.Placed && s.plan.Load() != current {
		target, code = p.currentPlan(now, s).place(placeRequest{now, hash, excluded})
	}
	if code == result.Placed && excluded == 0 {
		s.budget.credit()
	}
	return target, code
}

// currentPlan returns the plan of the pool. It first rebuilds a plan that was invalidated.
// A plan that has only reached its replan time is rebuilt unless another goroutine holds
// the lock.
func (p *Placer) currentPlan(now clock.Millis, s *poolState) *plan {
	cached := s.plan.Load()
	if p.isCurrent(cached) {
		if now < cached.replanAt || !p.control.TryLock() {
			return cached
		}
	} else {
		p.control.Lock()
	}
	defer p.control.Unlock()
	if latest := s.plan.Load(); latest != cached && p.isCurrent(latest) {
		return latest
	}
	rebuilt := p.newPlan(now, s)
	s.plan.Store(rebuilt)
	return rebuilt
}

func (p *Placer) isCurrent(cached *plan) bool {
	return cached != nil && cached.generation == p.generation.Load()
}

// AddFlow counts a flow that another entry VM placed and that this VM now owns.
func (p *Placer) AddFlow(id flow.TargetID) {
	for {
		l := p.loads.ensure(id)
		l.active.Add(1)
		if !l.retired.Load() {
			return
		}
		l.active.Add(-1)
	}
}

// RemoveFlow stops counting a flow that Place or AddFlow counted. Counts never fall below
// zero.
func (p *Placer) RemoveFlow(id flow.TargetID) {
	if l := p.loads.get(id); l != nil {
		l.release()
	}
}

// Observe records evidence from a flow's packets about its target. Evidence about a target of
// which the Placer keeps no state is ignored.
func (p *Placer) Observe(now clock.Millis, id flow.TargetID, evidence Evidence) {
	if l := p.loads.get(id); l != nil {
		l.observe(now, evidence)
	}
}
