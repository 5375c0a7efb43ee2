package placement

import (
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/table"
)

// SetTables replaces the tables. A version that is not newer than the current one is
// ignored. Hosts that are new to a pool, that change to joining or that return from leaving
// begin a slow start. With the first tables, only joining hosts do. Pools that did not
// change only cost a comparison.
func (p *Placer) SetTables(now clock.Millis, snapshot *table.Snapshot) {
	p.control.Lock()
	defer p.control.Unlock()
	if p.snapshot != nil && snapshot.Version() <= p.snapshot.Version() {
		return
	}
	old := *p.pools.Load()
	pools := make(map[string]*poolState, len(old))
	for _, route := range snapshot.Routes() {
		spec := route.Pool()
		if _, done := pools[spec.Name()]; !done {
			pools[spec.Name()] = p.updatePool(now, old[spec.Name()], route)
		}
	}
	p.snapshot = snapshot
	p.pools.Store(&pools)
	p.sweep(now)
}

// updatePool returns the state of a route's pool for new tables. A pool that has not
// changed keeps its plan.
func (p *Placer) updatePool(now clock.Millis, old *poolState, route *table.Route) *poolState {
	spec := route.Pool()
	if old != nil && old.destination == route.Destination() && isSamePool(old.spec, spec) {
		old.spec, old.subsets = spec, nil
		return old
	}
	s := &poolState{
		spec:        spec,
		destination: route.Destination(),
		protocol:    route.Protocol(),
		budget:      newRetryBudget(now),
	}
	if old != nil {
		s.budget = old.budget
	}
	for i := range spec.Hosts() {
		if h := &spec.Hosts()[i]; needsSlowStart(h, p.snapshot) {
			p.loads.ensure(h.ID()).beginSlowStart(now)
		}
	}
	return s
}

// isSamePool reports whether the two pools are equal in everything that placement uses.
func isSamePool(a, b *table.Pool) bool {
	return a == b || (a.Preference() == b.Preference() && a.AllowsSpill() == b.AllowsSpill() && a.SlowStart() == b.SlowStart() &&
		slices.Equal(a.Hosts(), b.Hosts()))
}

// needsSlowStart reports whether the host begins a slow start with the tables that follow
// previous.
func needsSlowStart(h *table.Host, previous *table.Snapshot) bool {
	if h.State() == table.Leaving {
		return false
	}
	if previous == nil {
		return h.State() == table.Joining
	}
	before, ok := previous.Host(h.ID())
	if !ok || before.State() == table.Leaving {
		return true
	}
	return h.State() == table.Joining && before.State() != table.Joining
}

// SetFleet sets the VMs that share the flows and the target limits. Plans that it
// invalidates are rebuilt when their pools are next used.
func (p *Placer) SetFleet(now clock.Millis, f *FleetShares) {
	p.control.Lock()
	defer p.control.Unlock()
	if f.hasSameShares(p.fleetShares) {
		return
	}
	p.fleetShares = f
	p.generation.Add(1)
	p.sweep(now)
}

// SetEjected replaces the set of targets that take no new flows because they are unhealthy.
// Targets that are no longer in the set begin a slow start. If the set holds every target of
// a pool on which this VM places flows, it is ignored for that pool, because faulty checks
// are more likely than the failure of all targets.
func (p *Placer) SetEjected(now clock.Millis, ejected []flow.TargetID) {
	p.control.Lock()
	defer p.control.Unlock()
	current := make(map[flow.TargetID]bool, len(ejected))
	for _, id := range ejected {
		current[id] = true
		if !p.ejected[id] {
			p.invalidate(id)
		}
	}
	for id := range p.ejected {
		if !current[id] {
			p.loads.ensure(id).beginSlowStart(now)
			p.invalidate(id)
		}
	}
	p.ejected = current
}

// invalidate drops the plan of the target's pool. The caller holds p.control.
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
	// sweepInterval is the time between two sweeps.
	sweepInterval = 1 * clock.Minute
	// idleSlowStartTTL is how long the slow start of a target without flows is kept if no
	// plan uses the target.
	idleSlowStartTTL = 10 * clock.Minute
)

// sweep drops the plans that were not used since the last sweep, and the loads that have
// no flows and that no plan uses. The memory of a daemon then depends on the pools that it
// serves, not on all pools in the tables. The caller holds p.control.
func (p *Placer) sweep(now clock.Millis) {
	if now-p.lastSweep < sweepInterval {
		return
	}
	p.lastSweep = now
	planned := make(map[*targetLoad]bool)
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
		isCold := l.cold && now-l.coldSince < idleSlowStartTTL
		if !planned[l] && !isCold && l.active.Load() == 0 {
			p.loads.remove(l)
		}
	}
}
