package targets_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/placement"
	"github.com/almondflow/almondflow/targets"
)

// monitorModel is a reference model of a Monitor: which hosts are dead, when each last
// changed, and when each was last ejected.
type monitorModel struct {
	monitor     *targets.Monitor
	now         clock.Millis
	dead        []bool
	changedAt   []clock.Millis
	lastEjected []clock.Millis
}

// settleTime is the time within which a monitor must react to the evidence from flows.
const settleTime = 4 * clock.Second

func (h *monitorModel) isSettled(i int) bool { return h.now-h.changedAt[i] >= settleTime }

// TestMonitorMatchesModel adds random evidence to a monitor. It checks that the ejected
// share of the pool stays within its limit, that hosts which answer flows are not ejected,
// and that dead hosts are ejected while they are few.
func TestMonitorMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 20).Draw(t, "hosts")
		m := targets.New(vmID(0))
		m.SetTables(0, newTables(t, hosts, 4))
		m.SetList(0, newList(t, 8, 4))
		h := &monitorModel{
			monitor:     m,
			dead:        make([]bool, hosts),
			changedAt:   make([]clock.Millis, hosts),
			lastEjected: make([]clock.Millis, hosts),
		}
		t.Repeat(map[string]func(*rapid.T){
			"turn": func(t *rapid.T) {
				i := rapid.IntRange(0, hosts-1).Draw(t, "host")
				h.dead[i], h.changedAt[i] = !h.dead[i], h.now
			},
			"lie": func(t *rapid.T) {
				i := rapid.IntRange(0, hosts-1).Draw(t, "host")
				reporter := fleet.ID(rapid.IntRange(1, 3).Draw(t, "from"))
				m.AddReports(h.now, []targets.Report{targets.NewReport(reporter, hostID(i), rapid.Bool().Draw(t, "down"), 0)})
			},
			"pass": func(t *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "seconds") {
					h.now += clock.Second
					m.AddEvidence(h.now, h.tallies())
					h.check(t)
				}
			},
		})
	})
}

func (h *monitorModel) tallies() []placement.Tally {
	var all []placement.Tally
	for i := range h.dead {
		if h.dead[i] {
			all = append(all, placement.NewTally(hostID(i), 0, 6, 0))
		} else {
			all = append(all, placement.NewTally(hostID(i), 6, 0, 0))
		}
	}
	return all
}

func (h *monitorModel) check(t *rapid.T) {
	ejected, _ := h.monitor.Tick(h.now)
	limit := min(max(1, len(h.dead)*3/10), len(h.dead)-1)
	if len(ejected) > limit {
		t.Fatalf("%d of %d hosts ejected, above the limit", len(ejected), len(h.dead))
	}
	possiblyDead := 0
	for i := range h.dead {
		isEjected := slices.Contains(ejected, hostID(i))
		if isEjected {
			h.lastEjected[i] = h.now
		}
		if isEjected && !h.dead[i] && h.isSettled(i) {
			t.Fatalf("host %d answers flows but is ejected", i)
		}
		if h.dead[i] || !h.isSettled(i) {
			possiblyDead++
		}
	}
	for i := range h.dead {
		if h.dead[i] && h.isSettled(i) && possiblyDead <= limit && h.now-h.lastEjected[i] > settleTime {
			t.Fatalf("host %d is dead but takes new flows", i)
		}
	}
}
