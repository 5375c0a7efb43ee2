package placement_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/placement"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/table"
)

// placerModel is a reference model of a Placer: plain flow counts, and the host states and
// the ejected targets that were last set.
type placerModel struct {
	placer  *placement.Placer
	now     clock.Millis
	tables  *tables
	route   *table.Route
	counts  map[flow.TargetID]int64
	ejected map[flow.TargetID]bool
	limit   int64
	flows   int
	// shared is set once the placer enforces only a share of the limits.
	shared   bool
	previous *table.Route
}

func (m *placerModel) publish(t *rapid.T) {
	snapshot := m.tables.parse(t)
	m.previous, m.route = m.route, snapshot.Routes()[0]
	m.placer.SetTables(m.now, snapshot)
}

// mayTake reports whether a host may take a new flow.
func (m *placerModel) mayTake(id flow.TargetID) bool {
	allEjected := true
	for _, h := range m.tables.hosts {
		if h.Mark != "leaving" && !m.ejected[h.id()] {
			allEjected = false
		}
	}
	for _, h := range m.tables.hosts {
		if h.id() == id {
			return h.Mark != "leaving" && (allEjected || !m.ejected[id])
		}
	}
	return false
}

func (m *placerModel) place(t *rapid.T) {
	m.flows++
	excluded := flow.TargetID(0)
	if rapid.IntRange(0, 9).Draw(t, "again") == 0 {
		excluded = rapid.SampledFrom(m.tables.hosts).Draw(t, "excluded").id()
	}
	route := m.route
	if m.previous != nil && rapid.Bool().Draw(t, "old route") {
		route = m.previous
	}
	target, code := m.placer.Place(m.now, route, flowHash(m.flows), excluded)
	switch {
	case code != result.Placed:
		m.checkRefused(t, excluded)
	case !m.mayTake(target.ID()) || target.ID() == excluded:
		t.Fatalf("placed on target %x, which must not take new flows", target.ID())
	case m.limit > 0 && m.counts[target.ID()] >= m.limit:
		t.Fatalf("placed on target %x, which has reached its connection limit", target.ID())
	default:
		m.counts[target.ID()]++
	}
}

// checkRefused fails if the pool allows spilling over and a host had room for the flow.
func (m *placerModel) checkRefused(t *rapid.T, excluded flow.TargetID) {
	for _, h := range m.tables.hosts {
		hasRoom := m.limit == 0 || m.counts[h.id()] < m.limit
		if !m.shared && excluded == 0 && m.tables.spill && hasRoom && m.mayTake(h.id()) {
			t.Fatalf("flow refused, but host %q had room", h.Name)
		}
	}
}

func (m *placerModel) check(t *rapid.T) {
	for id, count := range m.counts {
		if got := m.placer.Active(id); got != count {
			t.Fatalf("got %d flows on target %x, want %d", got, id, count)
		}
	}
}

// TestPlacerMatchesModel guards against lost or duplicate flow counts, flows on targets that
// must not take them, and refusals although a host has room.
func TestPlacerMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 14).Draw(t, "hosts")
		m := &placerModel{
			placer: placement.New(),
			tables: newTables(rapid.SampledFrom([]string{"flows", "balance"}).Draw(t, "prefer"), hosts, 3),
			counts: make(map[flow.TargetID]int64),
			limit:  rapid.Int64Range(0, 5).Draw(t, "limit"),
		}
		m.tables.spill = rapid.Bool().Draw(t, "spill")
		for i := range m.tables.hosts {
			m.tables.hosts[i].Connections = int(m.limit)
		}
		m.publish(t)
		list := newList(t, 6, 3)
		t.Repeat(map[string]func(*rapid.T){
			"place": m.place,
			"close": func(t *rapid.T) {
				id := rapid.SampledFrom(m.tables.hosts).Draw(t, "host").id()
				m.placer.RemoveFlow(id)
				m.counts[id] = max(0, m.counts[id]-1)
			},
			"open": func(t *rapid.T) {
				host := newHost(rapid.IntRange(0, 20).Draw(t, "host"), 3)
				id := host.id()
				m.placer.AddFlow(id)
				m.counts[id]++
			},
			"mark": func(t *rapid.T) {
				i := rapid.IntRange(0, len(m.tables.hosts)-1).Draw(t, "host")
				m.tables.hosts[i].Mark = rapid.SampledFrom([]string{"serving", "joining", "leaving"}).Draw(t, "mark")
				m.publish(t)
			},
			"add or remove": func(t *rapid.T) {
				if n := len(m.tables.hosts); n > 1 && rapid.Bool().Draw(t, "remove") {
					m.tables.hosts = m.tables.hosts[:n-1]
				} else {
					h := newHost(n, 3)
					h.Connections = int(m.limit)
					m.tables.hosts = append(m.tables.hosts, h)
				}
				m.publish(t)
			},
			"eject": func(t *rapid.T) {
				m.ejected = make(map[flow.TargetID]bool)
				var ids []flow.TargetID
				for _, h := range m.tables.hosts {
					if rapid.Bool().Draw(t, "out") {
						ids = append(ids, h.id())
						m.ejected[h.id()] = true
					}
				}
				m.placer.SetEjected(m.now, ids)
			},
			"fleet": func(t *rapid.T) {
				crashed := fleet.NewID(vmName(rapid.IntRange(1, 6).Draw(t, "gone")))
				f := placement.NewFleetShares(list, fleet.NewID(vmName(0)), func(id fleet.ID) bool { return id != crashed })
				m.placer.SetFleet(m.now, f)
				m.shared = true
			},
			"report": func(t *rapid.T) {
				var loads []placement.LoadReport
				for _, h := range m.tables.hosts {
					loads = append(loads, placement.NewLoadReport(h.id(), rapid.Int64Range(0, 1000).Draw(t, "active")))
				}
				m.placer.SetReports(m.now, loads, clock.Millis(rapid.IntRange(0, 60000).Draw(t, "age")))
			},
			"pass": func(t *rapid.T) { m.now += clock.Millis(rapid.IntRange(1, 40000).Draw(t, "span")) },
			"":     m.check,
		})
	})
}
