package targets

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/table"
)

// judge makes the verdicts anew and reports whether any changed.
func (m *Monitor) judge(now clock.Millis) bool {
	before := m.verdicts
	m.verdicts = make(map[flow.TargetID]*Verdict)
	for _, p := range m.snapshot.Pools() {
		m.judgePool(now, p, before)
	}
	if len(before) != len(m.verdicts) {
		return true
	}
	for id, v := range m.verdicts {
		if old, ok := before[id]; !ok || *old != *v {
			return true
		}
	}
	return false
}

func (m *Monitor) judgePool(now clock.Millis, p *table.Pool, before map[flow.TargetID]*Verdict) {
	var suspects []*Verdict
	for i := range p.Hosts() {
		h := &p.Hosts()[i]
		if h.Mark() == table.Leaving {
			continue
		}
		if reason := m.reason(now, h); reason != Trusted {
			v := &Verdict{id: h.ID(), reason: reason, since: now}
			if old, ok := before[h.ID()]; ok {
				v.since = old.since
			}
			suspects = append(suspects, v)
			m.verdicts[h.ID()] = v
		}
	}
	if len(suspects) == 0 {
		return
	}
	counts, hosts := countDomains(p, m.tracks, now)
	judgePool(hosts, suspects, m.domainOf, counts)
}

func (m *Monitor) domainOf(id flow.TargetID) string {
	h, _ := m.snapshot.Host(id)
	return h.Domain()
}

// reason returns why a host is suspected. Flows weigh more than probes: a host that
// answers flows is not suspected whatever the probes say, and one that does not is
// suspected although its health endpoint answers.
func (m *Monitor) reason(now clock.Millis, h *table.Host) Reason {
	t, ok := m.tracks[h.ID()]
	if !ok {
		return Trusted
	}
	down := m.probesDown(h, t)
	if t.wasDown && !down && t.passive.down {
		t.passive.readmit()
	}
	t.wasDown = down
	switch {
	case t.passive.down:
		return FlowsFail
	case down && !t.passive.answers(now):
		return ProbesFail
	default:
		return Trusted
	}
}

// probesDown reports whether a majority of the daemons that probe the host found it
// down.
func (m *Monitor) probesDown(h *table.Host, t *track) bool {
	votes := 0
	if d, ok := m.byID[h.ID()]; ok && d.state.down {
		votes++
	}
	for _, f := range t.findings {
		if f.down {
			votes++
		}
	}
	vms := m.domains[h.Domain()]
	if vms == 0 {
		vms = proberCount
	}
	return votes > probersOf(vms)/2
}
