package targets

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/table"
)

// evaluate replaces the verdicts and reports whether any changed.
func (m *Monitor) evaluate(now clock.Millis) bool {
	previous := m.verdicts
	m.verdicts = make(map[flow.TargetID]*Verdict)
	for _, p := range m.snapshot.Pools() {
		m.evaluatePool(now, p, previous)
	}
	if len(previous) != len(m.verdicts) {
		return true
	}
	for id, v := range m.verdicts {
		if old, ok := previous[id]; !ok || *old != *v {
			return true
		}
	}
	return false
}

func (m *Monitor) evaluatePool(now clock.Millis, p *table.Pool, previous map[flow.TargetID]*Verdict) {
	var suspects []*Verdict
	for i := range p.Hosts() {
		h := &p.Hosts()[i]
		if h.State() == table.Leaving {
			continue
		}
		if reason := m.reason(now, h); reason != NotSuspected {
			v := &Verdict{id: h.ID(), reason: reason, since: now}
			if old, ok := previous[h.ID()]; ok {
				v.since = old.since
			}
			suspects = append(suspects, v)
			m.verdicts[h.ID()] = v
		}
	}
	if len(suspects) == 0 {
		return
	}
	counts, hosts := countDomains(p, m.targets, now)
	ejectSuspects(hosts, suspects, m.domainOf, counts)
}

func (m *Monitor) domainOf(id flow.TargetID) string {
	h, _ := m.snapshot.Host(id)
	return h.Domain()
}

// reason returns why a host is suspected. Flows outweigh probes: a host that answers flows
// is not suspected even if its probes fail, and a host that does not answer flows is
// suspected even if its health endpoint responds. The ejection of a host ends as soon as its
// probes have recovered.
func (m *Monitor) reason(now clock.Millis, h *table.Host) Reason {
	t, ok := m.targets[h.ID()]
	if !ok {
		return NotSuspected
	}
	probesDown := m.probesReportDown(h, t)
	if t.probesWereDown && !probesDown && t.passive.down {
		t.passive.readmit()
	}
	t.probesWereDown = probesDown
	switch {
	case t.passive.down:
		return FlowsFail
	case probesDown && !t.passive.isAnswering(now):
		return ProbesFail
	default:
		return NotSuspected
	}
}

// probesReportDown reports whether a majority of the daemons that probe the host report it
// as down.
func (m *Monitor) probesReportDown(h *table.Host, t *targetHealth) bool {
	downVotes := 0
	if task, ok := m.byID[h.ID()]; ok && task.state.down {
		downVotes++
	}
	for _, r := range t.reports {
		if r.down {
			downVotes++
		}
	}
	vms := m.vmsByDomain[h.Domain()]
	if vms == 0 {
		vms = proberCount
	}
	return downVotes > expectedProbers(vms)/2
}
