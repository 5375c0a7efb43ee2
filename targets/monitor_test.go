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

// behavior is what one host does to flows and to probes.
type behavior struct {
	host     int
	answered int64
	resets   int64
	silences int64
	placed   int64
	probed   bool
	probesUp bool
}

// hostCount is the number of hosts of the pool under test.
const hostCount = 14

// run feeds a monitor the same behavior every second and returns the last ejections.
func run(m *targets.Monitor, from, to clock.Millis, behaviors []behavior) []flow.TargetID {
	var ejected []flow.TargetID
	for now := from; now < to; now += clock.Second {
		var tallies []placement.Tally
		odd := make(map[int]bool)
		for _, b := range behaviors {
			odd[b.host] = true
			if b.answered+b.resets+b.silences+b.placed > 0 {
				tally := placement.NewTally(hostID(b.host), b.answered, b.resets, b.silences)
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
			if !odd[i] {
				tallies = append(tallies, placement.NewTally(hostID(i), 10, 0, 0).WithReplies(10, true))
			}
		}
		m.Evidence(now, tallies)
		ejected, _ = m.Tick(now)
	}
	return ejected
}

func TestEvidenceOutweighsProbes(t *testing.T) {
	probesDown := func(from, to int) []behavior {
		var b []behavior
		for i := from; i < to; i++ {
			b = append(b, behavior{host: i, answered: 10, probed: true})
		}
		return b
	}
	dead := func(from, to int) []behavior {
		var b []behavior
		for i := from; i < to; i++ {
			b = append(b, behavior{host: i, resets: 10, probed: true, probesUp: true})
		}
		return b
	}
	silent := []behavior{{host: 1, silences: 9}, {host: 5, silences: 9}, {host: 9, silences: 9}, {host: 13, silences: 9}}
	mute := []behavior{{host: 0, placed: 30}}
	for i := 1; i < hostCount; i++ {
		mute = append(mute, behavior{host: i})
	}
	tests := []struct {
		name      string
		behaviors []behavior
		ejected   int
	}{
		{"all well", nil, 0},
		{"endpoint lies that an answering host is down", probesDown(0, 1), 0},
		{"endpoints lie that all are down", probesDown(0, 14), 0},
		{"endpoint lies that a dead host is up", dead(0, 1), 1},
		{"idle host whose probes fail", []behavior{{host: 0, probed: true}}, 1},
		{"one lost opening in ten", []behavior{{host: 0, answered: 9, silences: 1}}, 0},
		{"host that takes flows and sends nothing", []behavior{{host: 0, placed: 30}}, 1},
		{"host that took few flows and sent nothing yet", []behavior{{host: 0, placed: 3}}, 0},
		{"six of fourteen dead: bounded", dead(0, 6), 4},
		{"eight of fourteen dead: use all", dead(0, 8), 0},
		{"a silent domain", silent, 4},
		{"silent hosts in a domain that answers", slices.Concat(silent[:3], dead(2, 5), dead(0, 1)), 4},
		{"host that sends nothing, like its idle pool", mute, 0},
		{"a silent domain beside dead hosts", slices.Concat(silent, dead(2, 4)), 6},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			ejected := run(newMonitor(t), 0, 8*clock.Second, test.behaviors)
			is.Equal(len(ejected), test.ejected) // hosts without new flows
		})
	}
}

func TestEjectedHostIsTriedAgainAndReturns(t *testing.T) {
	is := is.New(t)
	m := newMonitor(t)
	dead := []behavior{{host: 3, resets: 10}}
	is.Equal(len(run(m, 0, 5*clock.Second, dead)), 1)
	idle := []behavior{{host: 3}}
	is.Equal(len(run(m, 5*clock.Second, 20*clock.Second, idle)), 0)                   // on trial after the backoff
	is.Equal(len(run(m, 20*clock.Second, 22*clock.Second, dead)), 1)                  // failed the trial
	is.Equal(len(run(m, 22*clock.Second, 35*clock.Second, idle)), 1)                  // the backoff doubled
	is.Equal(len(run(m, 35*clock.Second, 60*clock.Second, idle)), 0)                  // on trial again
	is.Equal(len(run(m, 60*clock.Second, 70*clock.Second, nil)), 0)                   // and well
	is.Equal(len(run(m, 70*clock.Second, 71*clock.Second, dead)), 0)                  // one bad second is forgiven
	is.Equal(len(run(m, 71*clock.Second, 73*clock.Second, dead)), 1)                  // two are not
	is.Equal(m.Verdicts()[0].Reason(), targets.FlowsFail)                             // reason for the audit trail
	is.Equal(len(run(m, 73*clock.Second, 90*clock.Second, []behavior{{host: 3}})), 0) // back at the first backoff
}

func TestRecoveredProbesEndAnEjection(t *testing.T) {
	is := is.New(t)
	m := newMonitor(t)
	is.Equal(len(run(m, 0, 4*clock.Second, []behavior{{host: 3, resets: 10, probed: true}})), 1)
	up := []behavior{{host: 3, probed: true, probesUp: true}}
	is.Equal(len(run(m, 4*clock.Second, 5*clock.Second, up)), 0) // long before the backoff ends
}

func TestProbesTakeSeveralOutcomes(t *testing.T) {
	is := is.New(t)
	m := targets.New(vmID(0))
	m.SetTables(0, newTables(t, 4, 1))
	m.SetList(0, newList(t, 1, 1))
	for range 2 {
		m.Probed(0, hostID(0), false)
	}
	ejected, _ := m.Tick(0)
	is.Equal(len(ejected), 0) // two failures may be chance
	m.Probed(0, hostID(0), false)
	ejected, changed := m.Tick(0)
	is.Equal(ejected, []flow.TargetID{hostID(0)})
	is.True(changed)
	is.Equal(m.Reports(0, 10), []targets.Report{targets.NewReport(vmID(0), hostID(0), true, 0)})
	m.Probed(0, hostID(0), true)
	m.Probed(0, hostID(0), true)
	ejected, _ = m.Tick(0)
	is.Equal(len(ejected), 0) // two passes bring it back
}

func TestReportsExpire(t *testing.T) {
	is := is.New(t)
	m := newMonitor(t)
	m.AddReports(0, []targets.Report{targets.NewReport(vmID(4), hostID(0), true, 0)})
	m.AddReports(0, []targets.Report{targets.NewReport(vmID(4), hostID(0), true, 0)})
	ejected, _ := m.Tick(0)
	is.Equal(len(ejected), 0) // one daemon alone has no majority
	passedOn := targets.NewReport(vmID(8), hostID(0), true, 20*clock.Second)
	m.AddReports(0, []targets.Report{passedOn, targets.NewReport(vmID(8), hostID(0), false, 21*clock.Second)})
	ejected, _ = m.Tick(0)
	is.Equal(len(ejected), 1)          // the later finding counts
	is.Equal(len(m.Reports(0, 10)), 2) // both are passed on
	ejected, _ = m.Tick(11 * clock.Second)
	is.Equal(len(ejected), 0) // the daemon has not confirmed it for 31 s
	m.AddReports(11*clock.Second, []targets.Report{passedOn})
	ejected, _ = m.Tick(31 * clock.Second)
	is.Equal(len(ejected), 0) // nobody repeats the finding
}

func TestReportSurvivesEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		age := clock.Millis(rapid.IntRange(0, 30000).Draw(t, "age")) * 10
		r := targets.NewReport(fleet.ID(rapid.Uint64().Draw(t, "from")), flow.TargetID(rapid.Uint64().Draw(t, "id")), rapid.Bool().Draw(t, "down"), age)
		encoded := targets.AppendReports(nil, []targets.Report{r, r})
		got, ok := targets.DecodeReports(encoded)
		if !ok || !slices.Equal(got, []targets.Report{r, r}) || len(encoded) != 2*targets.ReportSize {
			t.Fatalf("got %+v, want %+v", got, r)
		}
		if _, ok := targets.DecodeReports(encoded[1:]); ok {
			t.Fatal("truncated reports were accepted")
		}
	})
}

func TestEveryHostHasItsProbers(t *testing.T) {
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
		most := 0
		for i := range test.vms {
			m := targets.New(vmID(i))
			m.SetTables(0, snapshot)
			m.SetList(0, list)
			mine := make(map[flow.TargetID]bool)
			for now := clock.Millis(0); now <= 5*clock.Second; now += 100 {
				for _, p := range m.Due(now) {
					mine[p.ID()] = true
				}
			}
			for id := range mine {
				probers[id]++
			}
			most = max(most, len(mine))
		}
		is.Equal(len(probers), test.hosts)
		for _, n := range probers {
			is.Equal(n, test.probers) // daemons that probe the host
		}
		is.True(most <= 2*(1+test.hosts*test.probers/test.vms)) // nobody has far more than its part
	}
}
