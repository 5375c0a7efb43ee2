package placement_test

import (
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/placement"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/table"
)

// place opens flows evenly over a time span and returns the number placed on each target.
func place(p *placement.Placer, route *table.Route, from, span clock.Millis, flows int) map[flow.TargetID]int {
	counts := make(map[flow.TargetID]int)
	for i := range flows {
		now := from + span*clock.Millis(i)/clock.Millis(flows)
		target, code := p.Place(now, route, flowHash(i), 0)
		if code == result.Placed {
			counts[target.ID()]++
		}
	}
	return counts
}

func TestHostStatesControlNewFlows(t *testing.T) {
	tests := []struct {
		state    string
		from, to float64 // bounds of the share of new flows relative to the fair share
	}{
		{"serving", 1, 1.5},
		{"joining", 0.1, 1.5},
		{"leaving", 0, 0},
	}
	for _, test := range tests {
		for _, prefer := range []string{"flows", "balance"} {
			is := is.New(t)
			p := placement.New()
			tables := newTables(prefer, 14, 4)
			tables.hosts[3].Mark = test.state
			snapshot := tables.parse(t)
			p.SetTables(0, snapshot)
			counts := place(p, snapshot.Routes()[0], 0, 30*clock.Second, 30000)
			share := float64(counts[tables.hosts[3].id()]) * 14 / 30000
			is.True(share >= test.from*0.9 && share <= test.to) // share relative to the fair share
		}
	}
}

func TestAddedHostStartsSlowly(t *testing.T) {
	for _, prefer := range []string{"flows", "balance"} {
		is := is.New(t)
		p := placement.New()
		tables := newTables(prefer, 13, 4)
		snapshot := tables.parse(t)
		p.SetTables(0, snapshot)
		place(p, snapshot.Routes()[0], 0, clock.Second, 20000)
		tables.hosts = append(tables.hosts, newHost(13, 4))
		snapshot = tables.parse(t)
		p.SetTables(clock.Second, snapshot)
		var flowsPerPeriod []int
		for at := range clock.Millis(6) {
			counts := place(p, snapshot.Routes()[0], clock.Second+at*10*clock.Second, 10*clock.Second, 10000)
			flowsPerPeriod = append(flowsPerPeriod, counts[tables.hosts[13].id()])
			is.True(float64(flowsPerPeriod[at]) <= 1.5*10000/14) // flows per period of ten seconds
		}
		is.True(0 < flowsPerPeriod[0] && flowsPerPeriod[0] < flowsPerPeriod[1] && flowsPerPeriod[1] < flowsPerPeriod[2]) // grows during the slow start
	}
}

func TestFlowsAreEvenWhenAllHostsAreCold(t *testing.T) {
	is := is.New(t)
	p := placement.New()
	tables := newTables("balance", 14, 4)
	for i := range tables.hosts {
		tables.hosts[i].Mark = "joining"
	}
	snapshot := tables.parse(t)
	p.SetTables(0, snapshot)
	for _, n := range place(p, snapshot.Routes()[0], 0, clock.Second, 20000) {
		is.True(float64(n) <= 1.5*20000/14) // flows placed on one host
	}
}

func TestConnectionLimitsRefuseFlows(t *testing.T) {
	is := is.New(t)
	p := placement.New()
	tables := newTables("balance", 4, 2)
	for i := range tables.hosts {
		tables.hosts[i].Connections = 10
	}
	snapshot := tables.parse(t)
	p.SetTables(0, snapshot)
	place(p, snapshot.Routes()[0], 0, clock.Second, 100)
	total := int64(0)
	for _, h := range tables.hosts {
		is.True(p.Active(h.id()) <= 10)
		total += p.Active(h.id())
	}
	is.Equal(total, int64(40)) // flows spilled over until all hosts were full
	_, code := p.Place(0, snapshot.Routes()[0], 1, 0)
	is.Equal(code, result.RefusedFull)
}

func TestOwnersShareConnectionLimits(t *testing.T) {
	is := is.New(t)
	list := newList(t, 8, 4)
	tables := newTables("balance", 14, 4)
	for i := range tables.hosts {
		tables.hosts[i].Connections = 2000
	}
	snapshot := tables.parse(t)
	ranking := fleet.NewRanking(list)
	placers := make(map[fleet.ID]*placement.Placer)
	for i := range list.VMs() {
		id := list.VMs()[i].ID()
		placers[id] = placement.New()
		placers[id].SetFleet(0, placement.NewFleetShares(list, id, alwaysAlive))
		placers[id].SetTables(0, snapshot)
	}
	placed := 0
	for i := range 40000 {
		holders := ranking.Holders(flowHash(i), fleet.TwoInHomeDomain)
		_, code := placers[holders.At(0)].Place(clock.Millis(i), snapshot.Routes()[0], flowHash(i), 0)
		if code == result.Placed {
			placed++
		}
	}
	is.True(placed >= 28000*9/10) // nearly all of the fleet's capacity can be used
	for _, h := range tables.hosts {
		total := int64(0)
		for _, p := range placers {
			total += p.Active(h.id())
		}
		is.True(total <= 2000) // the limit holds for the whole fleet
	}
}

// TestRetriesAreLimitedToShareOfNewFlows guards against retries that multiply the load of a
// pool whose targets refuse flows.
func TestRetriesAreLimitedToShareOfNewFlows(t *testing.T) {
	is := is.New(t)
	p := placement.New()
	tables := newTables("balance", 4, 1)
	snapshot := tables.parse(t)
	route := snapshot.Routes()[0]
	p.SetTables(0, snapshot)
	retries := 0
	for i := range 10000 {
		target, _ := p.Place(0, route, flowHash(i), 0)
		retried, code := p.Place(0, route, flowHash(i), target.ID())
		if code == result.Placed {
			retries++
			is.True(retried.ID() != target.ID()) // placed on another target
		}
	}
	is.True(retries >= 900 && retries <= 1100) // a tenth of the flows and the saved retries
}

func TestFlowsSpillOverOnlyIfAllowed(t *testing.T) {
	tests := []struct {
		spill   bool
		refused bool
	}{{true, false}, {false, true}}
	for _, test := range tests {
		is := is.New(t)
		p := placement.New()
		tables := newTables("flows", 4, 2)
		tables.spill = test.spill
		snapshot := tables.parse(t)
		p.SetTables(0, snapshot)
		p.SetEjected(0, []flow.TargetID{tables.hosts[0].id(), tables.hosts[2].id()})
		refused := 0
		for i := range 1000 {
			if _, code := p.Place(0, snapshot.Routes()[0], flowHash(i), 0); code == result.RefusedNoTarget {
				refused++
			}
		}
		is.Equal(refused > 0, test.refused)
	}
}

func TestSlotsLimitOpenings(t *testing.T) {
	is := is.New(t)
	p := placement.New()
	tables := newTables("balance", 1, 1)
	tables.hosts[0].Slots = 2
	snapshot := tables.parse(t)
	route := snapshot.Routes()[0]
	p.SetTables(0, snapshot)
	id := tables.hosts[0].id()
	is.Equal(place(p, route, 0, 0, 100)[id], 100) // without any answer, openings are not limited
	p.Observe(0, id, placement.Answered)
	is.Equal(place(p, route, 2*clock.Second, 0, 100)[id], 64) // 32 per slot
	for range 10 {
		p.Observe(2*clock.Second, id, placement.Answered)
	}
	is.Equal(place(p, route, 2*clock.Second, 0, 100)[id], 10) // as many as were answered
	is.Equal(place(p, route, 4*clock.Second, 0, 100)[id], 64) // unanswered openings expire
}

// TestOlderTablesAreIgnored guards against older tables that arrive late and make a leaving
// host take new flows again.
func TestOlderTablesAreIgnored(t *testing.T) {
	is := is.New(t)
	p := placement.New()
	tables := newTables("balance", 2, 1)
	older := tables.parse(t)
	tables.hosts[0].Mark = "leaving"
	newer := tables.parse(t)
	p.SetTables(0, newer)
	p.SetTables(0, older)
	is.Equal(place(p, older.Routes()[0], 0, 0, 10)[tables.hosts[0].id()], 0) // the host is still leaving
}

// TestConcurrentPlacementsStayWithinLimits guards against flows that are lost or exceed a
// limit because a sweep removes the state of a target while flows are being placed on it.
func TestConcurrentPlacementsStayWithinLimits(t *testing.T) {
	is := is.New(t)
	p := placement.New()
	tables := newTables("flows", 7, 2)
	for i := range tables.hosts {
		tables.hosts[i].Connections, tables.hosts[i].Mark = 100, "joining"
	}
	snapshot := tables.parse(t)
	p.SetTables(0, snapshot)
	var workers sync.WaitGroup
	for range 8 {
		workers.Go(func() { place(p, snapshot.Routes()[0], 0, clock.Minute, 1000) })
	}
	for i := range 20 {
		p.SetTables(clock.Millis(i)*clock.Hour, tables.parse(t)) // each call sweeps
	}
	workers.Wait()
	for _, h := range tables.hosts {
		is.Equal(p.Active(h.id()), int64(100)) // full, but not above the limit
	}
}

// TestHostEjectedBeforePoolIsUsedReturns guards against a host that is ejected before the
// first use of its pool and never takes new flows again. TestPlacerMatchesModel found the
// failure with seed 7548558.
func TestHostEjectedBeforePoolIsUsedReturns(t *testing.T) {
	is := is.New(t)
	p := placement.New()
	tables := newTables("flows", 2, 1)
	snapshot := tables.parse(t)
	p.SetTables(0, snapshot)
	p.SetEjected(0, []flow.TargetID{tables.hosts[0].id()})
	is.Equal(len(place(p, snapshot.Routes()[0], 0, 0, 100)), 1)
	p.SetEjected(0, nil)
	is.Equal(len(place(p, snapshot.Routes()[0], clock.Minute, 0, 100)), 2) // number of hosts that took flows
}

func TestReportsCorrectWeightsWithinBounds(t *testing.T) {
	is := is.New(t)
	p := placement.New()
	tables := newTables("balance", 3, 1)
	snapshot := tables.parse(t)
	route := snapshot.Routes()[0]
	p.SetTables(0, snapshot)
	first := tables.hosts[0].id()
	var reports []placement.LoadReport
	for i, h := range tables.hosts {
		reports = append(reports, placement.NewLoadReport(h.id(), int64(1000*(2-min(i, 1)))))
	}
	place(p, route, 0, 0, 3)
	for i := range clock.Millis(20) {
		p.SetReports(i*10*clock.Second, reports, 0)
	}
	moved := place(p, route, 10*clock.Minute, clock.Minute, 3000)[first]
	is.True(moved < 1000 && moved >= 900) // at most a tenth below the fair share, whatever the reports say
	for i := range clock.Millis(60) {
		p.SetReports(clock.Hour+i*10*clock.Second, nil, 0)
	}
	place(p, route, 2*clock.Hour, clock.Minute, 3000)
	share := p.Active(tables.hosts[1].id()) - p.Active(first)
	is.True(share >= -1 && share <= 1) // without reports the weights recover
}

func TestSubsetsCoverLargePoolEvenly(t *testing.T) {
	is := is.New(t)
	const vms, hosts, mean = 40, 320, 40 * 32 / 320
	list := newList(t, vms, 1)
	snapshot := newTables("balance", hosts, 1).parse(t)
	daemons := make(map[flow.TargetID]int)
	for i := range vms {
		p := placement.New()
		p.SetFleet(0, placement.NewFleetShares(list, fleet.NewID(vmName(i)), alwaysAlive))
		p.SetTables(0, snapshot)
		place(p, snapshot.Routes()[0], 0, 0, 1)
		is.Equal(len(p.Hosts()), 32)
		for _, id := range p.Hosts() {
			daemons[id]++
		}
	}
	is.Equal(len(daemons), hosts)
	for _, n := range daemons {
		is.True(n >= mean-1 && n <= mean+1) // daemons that place flows on the host
	}
}
