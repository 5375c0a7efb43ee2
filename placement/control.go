package placement

import (
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/table"
)

// SetTables puts a version of the tables in force. A version that is not above the one
// in force is ignored. Hosts that are new to a pool, marked as joining, or back from
// leaving begin a slow start, but for the first tables, whose serving hosts count as
// started. Only pools that changed cost more than a comparison.
func (p *Placer) SetTables(now clock.Millis, snapshot *table.Snapshot) {
	p.control.Lock()
	defer p.control.Unlock()
	if p.snapshot != nil && snapshot.Version() <= p.snapshot.Version() {
		return
	}
	old := *p.pools.Load()
	pools := make(map[string]*pool, len(old))
	for _, route := range snapshot.Routes() {
		spec := route.Pool()
		if _, done := pools[spec.Name()]; !done {
			pools[spec.Name()] = p.takeOver(now, old[spec.Name()], route)
		}
	}
	p.snapshot = snapshot
	p.pools.Store(&pools)
	p.sweep(now)
}

// takeOver returns the state of the pool of a route. A pool that has not changed keeps
// its plan.
func (p *Placer) takeOver(now clock.Millis, old *pool, route *table.Route) *pool {
	spec := route.Pool()
	if old != nil && old.destination == route.Destination() && isSamePool(old.spec, spec) {
		old.spec, old.parts = spec, nil
		return old
	}
	s := &pool{
		spec:        spec,
		destination: route.Destination(),
		protocol:    route.Protocol(),
		budget:      newRetryBudget(now),
	}
	if old != nil {
		s.budget = old.budget
	}
	for i := range spec.Hosts() {
		if h := &spec.Hosts()[i]; isColdStart(h, p.snapshot) {
			p.loads.ensure(h.ID()).chill(now)
		}
	}
	return s
}

// isSamePool reports whether nothing that placement depends on has changed.
func isSamePool(a, b *table.Pool) bool {
	return a == b || (a.Prefer() == b.Prefer() && a.Spill() == b.Spill() && a.SlowStart() == b.SlowStart() &&
		slices.Equal(a.Hosts(), b.Hosts()))
}

// isColdStart reports whether the host begins a slow start with tables that follow the
// previous ones.
func isColdStart(h *table.Host, previous *table.Snapshot) bool {
	if h.Mark() == table.Leaving {
		return false
	}
	if previous == nil {
		return h.Mark() == table.Joining
	}
	before, ok := previous.Host(h.ID())
	if !ok || before.Mark() == table.Leaving {
		return true
	}
	return h.Mark() == table.Joining && before.Mark() != table.Joining
}

// SetFleet tells which VMs share the flows and the limits of targets. Plans follow when
// their pools are next used.
func (p *Placer) SetFleet(now clock.Millis, f *Fleet) {
	p.control.Lock()
	defer p.control.Unlock()
	if f.isLike(p.fleet) {
		return
	}
	p.fleet = f
	p.generation.Add(1)
	p.sweep(now)
}

// SetHealth replaces the set of targets that take no new flows because of their health.
// Targets that return begin a slow start. Where all targets of a pool are in the set it
// does not bind, since an error of the checks is more likely than the loss of all.
func (p *Placer) SetHealth(now clock.Millis, ejected []flow.TargetID) {
	p.control.Lock()
	defer p.control.Unlock()
	fresh := make(map[flow.TargetID]bool, len(ejected))
	for _, id := range ejected {
		fresh[id] = true
		if !p.ejected[id] {
			p.invalidate(id)
		}
	}
	for id := range p.ejected {
		if !fresh[id] {
			p.loads.ensure(id).chill(now)
			p.invalidate(id)
		}
	}
	p.ejected = fresh
}

// invalidate drops the plan that places on the target. p.control is held.
func (p *Placer) invalidate(id flow.TargetID) {
	l := p.loads.get(id)
	if l == nil {
		return
	}
	if s, ok := (*p.pools.Load())[l.pool]; ok {
		s.plan.Store(nil)
	}
}

const (
	// sweepSpan is the time between two sweeps.
	sweepSpan = 1 * clock.Minute
	// coldLife is how long the slow start of a target that takes no flows is remembered.
	coldLife = 10 * clock.Minute
)

// sweep forgets plans that were not used since the last sweep, and loads without flows
// that no plan uses, so that a daemon's memory follows the pools that it serves and not
// those that the tables name. p.control is held.
func (p *Placer) sweep(now clock.Millis) {
	if now-p.swept < sweepSpan {
		return
	}
	p.swept = now
	planned := make(map[*load]bool)
	for _, s := range *p.pools.Load() {
		current := s.plan.Load()
		if current == nil {
			continue
		}
		if !current.used.Swap(false) {
			s.plan.Store(nil)
			continue
		}
		for _, l := range current.loads {
			planned[l] = true
		}
	}
	for l := range p.loads.all() {
		isCold := l.cold && now-l.started < coldLife
		if !planned[l] && !isCold && l.active.Load() == 0 {
			p.loads.remove(l)
		}
	}
}
