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

// never is the time of a plan that nothing but an event makes anew.
const never = clock.Millis(math.MaxInt64)

// Placer places new flows of all pools. Place, Opened, Closed and Observe may be called
// by any number of workers. The Set methods are called by one control goroutine.
type Placer struct {
	pools atomic.Pointer[map[string]*pool]
	loads loadTable
	// generation is raised by changes that concern all plans.
	generation atomic.Uint64

	// control guards the fields below it and the control fields of pools and loads.
	control  sync.Mutex
	snapshot *table.Snapshot
	fleet    *Fleet
	ejected  map[flow.TargetID]bool
	policies Policies
	// corrected names the pools whose weights the last reports moved.
	corrected map[string]bool
	// nextCorrection is when reports count again.
	nextCorrection clock.Millis
	// swept is when idle state was last forgotten.
	swept clock.Millis
}

// pool is the state of one pool under one version of the tables.
type pool struct {
	destination flow.Endpoint
	protocol    flow.Protocol
	// plan is nil until it is needed.
	plan   atomic.Pointer[plan]
	budget *retryBudget

	// spec and parts belong to Placer.control. Parts are those of a generation.
	spec            *table.Pool
	parts           []part
	partsGeneration uint64
}

// Policies are the policies used for each preference of a pool.
type Policies struct {
	flows   Policy[*candidate]
	balance Policy[*candidate]
}

// boundedExcess is the load above the mean that pools which prefer flows allow.
const boundedExcess = 0.1

// Option changes how a Placer works.
type Option func(*Placer)

// WithPolicy places the flows of all pools by one named policy, whatever they prefer.
// Names are "naive", "hash", "two_choices", "least_loaded" and "bounded_load". An
// unknown name changes nothing.
func WithPolicy(name string) Option {
	return func(p *Placer) {
		if policy, ok := policyByName(name); ok {
			p.policies = Policies{flows: policy, balance: policy}
		}
	}
}

func policyByName(name string) (Policy[*candidate], bool) {
	switch name {
	case "naive":
		return Naive[*candidate]{}, true
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

// New returns a Placer that refuses every flow until SetTables is called.
func New(options ...Option) *Placer {
	p := &Placer{
		ejected:   make(map[flow.TargetID]bool),
		corrected: make(map[string]bool),
		policies: Policies{
			flows:   BoundedLoad[*candidate]{Excess: boundedExcess},
			balance: LeastLoaded[*candidate]{},
		},
	}
	for _, option := range options {
		option(p)
	}
	p.pools.Store(&map[string]*pool{})
	return p
}

// Place chooses a target for a new flow of the route and counts the flow as open.
// excluded is the target that refused the flow before, or zero. The code is
// result.Placed, result.RefusedNoTarget when no target may be used, or
// result.RefusedFull when the limits of all of them or the retry budget are used up.
func (p *Placer) Place(now clock.Millis, route *table.Route, hash uint64, excluded flow.TargetID) (flow.Target, result.Code) {
	s := (*p.pools.Load())[route.Pool().Name()]
	if s == nil || s.destination != route.Destination() || s.protocol != route.Protocol() {
		return flow.Target{}, result.RefusedNoTarget
	}
	if excluded != 0 && !s.budget.take(now) {
		return flow.Target{}, result.RefusedFull
	}
	current := p.current(now, s)
	target, code := current.place(decision{now, hash, excluded})
	if code != result.Placed && s.plan.Load() != current {
		target, code = p.current(now, s).place(decision{now, hash, excluded})
	}
	if code == result.Placed && excluded == 0 {
		s.budget.earn()
	}
	return target, code
}

// current returns the plan of the pool. A plan that is out of date is made anew first;
// one that is only due is, unless another goroutine is at it.
func (p *Placer) current(now clock.Millis, s *pool) *plan {
	known := s.plan.Load()
	if p.isValid(known) {
		if now < known.until || !p.control.TryLock() {
			return known
		}
	} else {
		p.control.Lock()
	}
	defer p.control.Unlock()
	if again := s.plan.Load(); again != known && p.isValid(again) {
		return again
	}
	fresh := p.newPlan(now, s)
	s.plan.Store(fresh)
	return fresh
}

func (p *Placer) isValid(known *plan) bool {
	return known != nil && known.generation == p.generation.Load()
}

// Opened counts a flow that another entry VM placed and that this VM owns now.
func (p *Placer) Opened(id flow.TargetID) {
	for {
		l := p.loads.ensure(id)
		l.active.Add(1)
		if !l.retired.Load() {
			return
		}
		l.active.Add(-1)
	}
}

// Closed counts the end of a flow that Place or Opened counted. Counts never fall below
// zero.
func (p *Placer) Closed(id flow.TargetID) {
	if l := p.loads.get(id); l != nil {
		l.release()
	}
}

// Observe records what a flow's packets show about its target.
func (p *Placer) Observe(now clock.Millis, id flow.TargetID, evidence Evidence) {
	if l := p.loads.get(id); l != nil {
		l.observe(now, evidence)
	}
}
