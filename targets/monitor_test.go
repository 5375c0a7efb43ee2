package targets_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/placement"
	"github.com/almondflow/almondflow/targets"
)

// behavior describes how one host responds to flows and probes within a second.
type behavior struct {
	host       int
	answered   int64
	resets     int64
	unanswered int64
	placed     int64
	probed     bool
	probesUp   bool
}

// hostCount is the number of hosts of the pool under test.
const hostCount = 14

// run adds the same evidence to a monitor every second and returns the targets that are
// ejected at the end. Hosts without a given behavior answer all flows.
func run(m *targets.Monitor, from, to clock.Millis, behaviors []behavior) []flow.TargetID {
	var ejected []flow.TargetID
	for now := from; now < to; now += clock.Second {
		var tallies []placement.Tally
		described := make(map[int]bool)
		for _, b := range behaviors {
			described[b.host] = true
			if b.answered+b.resets+b.unanswered+b.placed > 0 {
				tally := placement.NewTally(hostID(b.host), b.answered, b.resets, b.unanswered)
				tallies = append(tallies, tally.WithReplies(b.placed, b.answered > 0))
			}
			if b.probed {
				m.AddReports(now, []targets.Report{
					targets.NewReport(vmID(4), hostID(b.host), !b.probesUp, 0),
					targets.NewReport(vmID(5), hostID(b.host), !b.probesUp, 0),
				})
			}
		}
		for i := range hostCount {
			if !described[i] {
				tallies = append(tallies, placement.NewTally(hostID(i), 10, 0, 0).WithReplies(10, true))
			}
		}
		m.AddEvidence(now, tallies)
		ejected, _ = m.Tick(now)
	}
	return ejected
}

// TestFlowsOutweighProbes guards against ejecting hosts that answer flows because their probes
// fail, and against ejecting too many hosts of a pool.
func TestFlowsOutweighProbes(t *testing.T) {
	failingProbes := func(from, to int) []behavior {
		var b []behavior
		for i := from; i < to; i++ {
			b = append(b, behavior{host: i, answered: 10, probed: true})
		}
		return b
	}
	refusing := func(from, to int) []behavior {
		var b []behavior
		for i := from; i < to; i++ {
			b = append(b, behavior{host: i, resets: 10, probed: true, probesUp: true})
		}
		return b
	}
	unresponsiveDomain := []behavior{{host: 1, unanswered: 9}, {host: 5, unanswered: 9}, {host: 9, unanswered: 9}, {host: 13, unanswered: 9}}
	idlePool := []behavior{{host: 0, placed: 30}}
	for i := 1; i < hostCount; i++ {
		idlePool = append(idlePool, behavior{host: i})
	}
	tests := []struct {
		name      string
		behaviors []behavior
		ejected   int
	}{
		{"all hosts answer", nil, 0},
		{"probes of an answering host fail", failingProbes(0, 1), 0},
		{"all probes fail but all hosts answer", failingProbes(0, 14), 0},
		{"probes of a refusing host succeed", refusing(0, 1), 1},
		{"probes of an idle host fail", []behavior{{host: 0, probed: true}}, 1},
		{"one of ten openings is unanswered", []behavior{{host: 0, answered: 9, unanswered: 1}}, 0},
		{"host takes flows but sends no packets", []behavior{{host: 0, placed: 30}}, 1},
		{"host took few flows and has sent no packets yet", []behavior{{host: 0, placed: 3}}, 0},
		{"six of fourteen hosts refuse: ejections are limited", refusing(0, 6), 4},
		{"eight of fourteen hosts refuse: none is ejected", refusing(0, 8), 0},
		{"one domain is unresponsive", unresponsiveDomain, 4},
		{"some hosts of an answering domain are unresponsive", slices.Concat(unresponsiveDomain[:3], refusing(2, 5), refusing(0, 1)), 4},
		{"host sends no packets and neither does its idle pool", idlePool, 0},
		{"one domain is unresponsive and other hosts refuse", slices.Concat(unresponsiveDomain, refusing(2, 4)), 6},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			ejected := run(newMonitor(t), 0, 8*clock.Second, test.behaviors)
			is.Equal(len(ejected), test.ejected) // number of ejected hosts
		})
	}
}

func TestEjectedHostIsReadmittedAfterBackoff(t *testing.T) {
	is := is.New(t)
	m := newMonitor(t)
	refusing := []behavior{{host: 3, resets: 10}}
	is.Equal(len(run(m, 0, 5*clock.Second, refusing)), 1)
	idle := []behavior{{host: 3}}
	is.Equal(len(run(m, 5*clock.Second, 20*clock.Second, idle)), 0)                   // on probation after the backoff
	is.Equal(len(run(m, 20*clock.Second, 22*clock.Second, refusing)), 1)              // one bad result ejects it again
	is.Equal(len(run(m, 22*clock.Second, 35*clock.Second, idle)), 1)                  // the backoff has doubled
	is.Equal(len(run(m, 35*clock.Second, 60*clock.Second, idle)), 0)                  // on probation again
	is.Equal(len(run(m, 60*clock.Second, 70*clock.Second, nil)), 0)                   // good results end the probation
	is.Equal(len(run(m, 70*clock.Second, 71*clock.Second, refusing)), 0)              // one bad result does not eject it
	is.Equal(len(run(m, 71*clock.Second, 73*clock.Second, refusing)), 1)              // two bad results do
	is.Equal(m.Verdicts()[0].Reason(), targets.FlowsFail)                             // the reason for the audit trail
	is.Equal(len(run(m, 73*clock.Second, 90*clock.Second, []behavior{{host: 3}})), 0) // the backoff is the initial one again
}

func TestRecoveredProbesEndEjection(t *testing.T) {
	is := is.New(t)
	m := newMonitor(t)
	is.Equal(len(run(m, 0, 4*clock.Second, []behavior{{host: 3, resets: 10, probed: true}})), 1)
	up := []behavior{{host: 3, probed: true, probesUp: true}}
	is.Equal(len(run(m, 4*clock.Second, 5*clock.Second, up)), 0) // well before the backoff ends
}

func TestSeveralFailedProbesEjectHost(t *testing.T) {
	is := is.New(t)
	m := targets.New(vmID(0))
	m.SetTables(0, newTables(t, 4, 1))
	m.SetList(0, newList(t, 1, 1))
	for range 2 {
		m.AddProbeOutcome(0, hostID(0), false)
	}
	ejected, _ := m.Tick(0)
	is.Equal(len(ejected), 0) // two failed probes are not enough
	m.AddProbeOutcome(0, hostID(0), false)
	ejected, changed := m.Tick(0)
	is.Equal(ejected, []flow.TargetID{hostID(0)})
	is.True(changed)
	is.Equal(m.Reports(0, 10), []targets.Report{targets.NewReport(vmID(0), hostID(0), true, 0)})
	m.AddProbeOutcome(0, hostID(0), true)
	m.AddProbeOutcome(0, hostID(0), true)
	ejected, _ = m.Tick(0)
	is.Equal(len(ejected), 0) // two successful probes end the ejection
}

// TestReportsExpire guards against reports that daemons forward to each other after their
// reporter has stopped confirming them.
func TestReportsExpire(t *testing.T) {
	is := is.New(t)
	m := newMonitor(t)
	m.AddReports(0, []targets.Report{targets.NewReport(vmID(4), hostID(0), true, 0)})
	m.AddReports(0, []targets.Report{targets.NewReport(vmID(4), hostID(0), true, 0)})
	ejected, _ := m.Tick(0)
	is.Equal(len(ejected), 0) // one daemon is not a majority
	forwarded := targets.NewReport(vmID(8), hostID(0), true, 20*clock.Second)
	m.AddReports(0, []targets.Report{forwarded, targets.NewReport(vmID(8), hostID(0), false, 21*clock.Second)})
	ejected, _ = m.Tick(0)
	is.Equal(len(ejected), 1)          // the latest report of a daemon counts
	is.Equal(len(m.Reports(0, 10)), 2) // the reports of both daemons are forwarded
	ejected, _ = m.Tick(11 * clock.Second)
	is.Equal(len(ejected), 0) // the report was last confirmed 31 s ago
	m.AddReports(11*clock.Second, []targets.Report{forwarded})
	ejected, _ = m.Tick(31 * clock.Second)
	is.Equal(len(ejected), 0) // no daemon has confirmed the report again
}

func TestReportEncodingRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		age := clock.Millis(rapid.IntRange(0, 30000).Draw(t, "age")) * 10
		r := targets.NewReport(fleet.ID(rapid.Uint64().Draw(t, "from")), flow.TargetID(rapid.Uint64().Draw(t, "id")), rapid.Bool().Draw(t, "down"), age)
		encoded := targets.AppendReports(nil, []targets.Report{r, r})
		got, ok := targets.DecodeReports(encoded)
		if !ok || !slices.Equal(got, []targets.Report{r, r}) || len(encoded) != 2*targets.ReportSize {
			t.Fatalf("got %+v, want %+v", got, r)
		}
		if _, ok := targets.DecodeReports(encoded[1:]); ok {
			t.Fatal("DecodeReports accepted truncated reports")
		}
	})
}

// TestProbesAreSpreadOverDaemons guards against hosts that too few daemons probe, and against
// daemons that probe far more hosts than others.
func TestProbesAreSpreadOverDaemons(t *testing.T) {
	tests := []struct{ vms, domains, hosts, probers int }{
		{8, 4, 14, 2},
		{9, 3, 14, 3},
		{3, 3, 14, 1},
		{200, 4, 1000, 3},
	}
	for _, test := range tests {
		is := is.New(t)
		snapshot, list := newTables(t, test.hosts, test.domains), newList(t, test.vms, test.domains)
		probers := make(map[flow.TargetID]int)
		largest := 0
		for i := range test.vms {
			m := targets.New(vmID(i))
			m.SetTables(0, snapshot)
			m.SetList(0, list)
			probed := make(map[flow.TargetID]bool)
			for now := clock.Millis(0); now <= 5*clock.Second; now += 100 {
				for _, p := range m.TakeDueProbes(now) {
					probed[p.ID()] = true
				}
			}
			for id := range probed {
				probers[id]++
			}
			largest = max(largest, len(probed))
		}
		is.Equal(len(probers), test.hosts)
		for _, n := range probers {
			is.Equal(n, test.probers) // number of daemons that probe the host
		}
		is.True(largest <= 2*(1+test.hosts*test.probers/test.vms)) // no daemon probes far more than its share
	}
}
