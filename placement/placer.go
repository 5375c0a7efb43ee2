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
	view atomic.Pointer[view]

	// control guards the fields below it and the control fields of loads.
	control  sync.Mutex
	snapshot *table.Snapshot
	fleet    *Fleet
	ejected  map[flow.TargetID]bool
	policies Policies
	// nextCorrection is when reports count again.
	nextCorrection clock.Millis

	// strayLock guards strays: loads of targets that no table known here has named.
	strayLock sync.Mutex
	strays    map[flow.TargetID]*load
}

// view is what workers see: it is immutable but for the atomic parts of pools and loads.
type view struct {
	pools map[string]*pool
	loads map[flow.TargetID]*load
}

// pool is the state of one pool that outlives plans.
type pool struct {
	spec        *table.Pool
	destination flow.Endpoint
	protocol    flow.Protocol
	plan        atomic.Pointer[plan]
	budget      *retryBudget
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
		ejected: make(map[flow.TargetID]bool),
		strays:  make(map[flow.TargetID]*load),
		policies: Policies{
			flows:   BoundedLoad[*candidate]{Excess: boundedExcess},
			balance: LeastLoaded[*candidate]{},
		},
	}
	for _, option := range options {
		option(p)
	}
	p.view.Store(&view{})
	return p
}

// Place chooses a target for a new flow of the route and counts the flow as open.
// excluded is the target that refused the flow before, or zero. The code is
// result.Placed, result.RefusedNoTarget when no target may be used, or
// result.RefusedFull when the limits of all of them or the retry budget are used up.
func (p *Placer) Place(now clock.Millis, route *table.Route, hash uint64, excluded flow.TargetID) (flow.Target, result.Code) {
	s := p.view.Load().pools[route.Pool().Name()]
	if s == nil || s.destination != route.Destination() || s.protocol != route.Protocol() {
		return flow.Target{}, result.RefusedNoTarget
	}
	if excluded != 0 && !s.budget.take(now) {
		return flow.Target{}, result.RefusedFull
	}
	target, code := p.current(now, s).place(decision{now, hash, excluded})
	if code == result.Placed && excluded == 0 {
		s.budget.earn()
	}
	return target, code
}

// current returns the plan of the pool, made anew when it is due and no other
// goroutine is at it.
func (p *Placer) current(now clock.Millis, s *pool) *plan {
	due := s.plan.Load()
	if now < due.until || !p.control.TryLock() {
		return due
	}
	defer p.control.Unlock()
	fresh := p.newPlan(now, s)
	s.plan.Store(fresh)
	return fresh
}

// Opened counts a flow that another entry VM placed and that this VM owns now.
func (p *Placer) Opened(id flow.TargetID) {
	p.load(id).active.Add(1)
}

// Closed counts the end of a flow that Place or Opened counted. Counts never fall below
// zero.
func (p *Placer) Closed(id flow.TargetID) {
	p.load(id).release()
}

// Observe records what a flow's packets show about its target.
func (p *Placer) Observe(now clock.Millis, id flow.TargetID, evidence Evidence) {
	p.load(id).observe(now, evidence)
}

// load returns the load of a target. Targets that no table has named yet get one too,
// since records may arrive ahead of the tables.
func (p *Placer) load(id flow.TargetID) *load {
	if l, ok := p.view.Load().loads[id]; ok {
		return l
	}
	p.strayLock.Lock()
	defer p.strayLock.Unlock()
	if l, ok := p.view.Load().loads[id]; ok {
		return l
	}
	l, ok := p.strays[id]
	if !ok {
		l = newLoad(id)
		p.strays[id] = l
	}
	return l
}
