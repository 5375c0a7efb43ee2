package placement

import (
	"maps"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/table"
)

// goneSpan is how long the load of a target without flows is kept after it left the
// tables, for events that are still under way.
const goneSpan = 1 * clock.Minute

// SetTables puts a version of the tables in force. A version that is not above the one
// in force is ignored. Hosts that are new to a pool, marked as joining, or back from
// leaving begin a slow start, but for the first tables, whose serving hosts count as
// started.
func (p *Placer) SetTables(now clock.Millis, snapshot *table.Snapshot) {
	p.control.Lock()
	defer p.control.Unlock()
	if p.snapshot != nil && snapshot.Version() <= p.snapshot.Version() {
		return
	}
	previous := p.snapshot
	p.snapshot = snapshot
	p.rebuild(now, previous)
}

// SetFleet tells which VMs share the flows and the limits of targets.
func (p *Placer) SetFleet(now clock.Millis, f *Fleet) {
	p.control.Lock()
	defer p.control.Unlock()
	p.fleet = f
	p.rebuild(now, p.snapshot)
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
	}
	if maps.Equal(fresh, p.ejected) {
		return
	}
	loads := p.view.Load().loads
	for id := range p.ejected {
		if l, ok := loads[id]; ok && !fresh[id] {
			l.chill(now)
		}
	}
	p.ejected = fresh
	p.rebuild(now, p.snapshot)
}

// rebuild derives a view from the tables, fleet and health. p.control is held.
func (p *Placer) rebuild(now clock.Millis, previous *table.Snapshot) {
	if p.snapshot == nil {
		return
	}
	p.strayLock.Lock()
	defer p.strayLock.Unlock()
	old := p.view.Load()
	v := &view{pools: make(map[string]*pool), loads: make(map[flow.TargetID]*load)}
	for _, route := range p.snapshot.Routes() {
		name := route.Pool().Name()
		if _, done := v.pools[name]; done {
			continue
		}
		v.pools[name] = newPool(now, route, old.pools[name])
		p.addLoads(now, v, old, route.Pool(), previous)
	}
	p.keepLoads(now, v, old)
	for _, s := range v.pools {
		s.plan.Store(p.planWith(now, s, v.loads))
	}
	p.view.Store(v)
}

func newPool(now clock.Millis, route *table.Route, old *pool) *pool {
	s := &pool{
		spec:        route.Pool(),
		destination: route.Destination(),
		protocol:    route.Protocol(),
		budget:      newRetryBudget(now),
	}
	if old != nil {
		s.budget = old.budget
	}
	return s
}

// addLoads adds the loads of the hosts of a pool that this VM places on.
func (p *Placer) addLoads(now clock.Millis, v, old *view, spec *table.Pool, previous *table.Snapshot) {
	for _, part := range p.parts(spec) {
		for _, h := range part.hosts {
			l := old.loads[h.ID()]
			if l == nil {
				l = p.adopt(h.ID())
			}
			l.goneSince = 0
			if isColdStart(h, previous) {
				l.chill(now)
			}
			v.loads[h.ID()] = l
		}
	}
}

// adopt returns the load of a stray, which is none any more, or a new one.
func (p *Placer) adopt(id flow.TargetID) *load {
	l, ok := p.strays[id]
	if !ok {
		return newLoad(id)
	}
	delete(p.strays, id)
	return l
}

// isColdStart reports whether the host begins a slow start with the tables in force.
func isColdStart(h *table.Host, previous *table.Snapshot) bool {
	if previous == nil {
		return h.Mark() == table.Joining
	}
	before, ok := previous.Host(h.ID())
	if !ok || before.Mark() == table.Leaving {
		return true
	}
	return h.Mark() == table.Joining && before.Mark() != table.Joining
}

// keepLoads keeps the loads of targets that left the tables while they have flows.
func (p *Placer) keepLoads(now clock.Millis, v, old *view) {
	for id, l := range old.loads {
		if _, done := v.loads[id]; done {
			continue
		}
		if l.goneSince == 0 {
			l.goneSince = now
		}
		if l.active.Load() > 0 || now-l.goneSince < goneSpan {
			v.loads[id] = l
		}
	}
	for id, l := range p.strays {
		l.goneSince = now
		v.loads[id] = l
		delete(p.strays, id)
	}
}
