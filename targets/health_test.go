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

// healthModel is the oracle: which hosts are dead, since when, and when each was last
// seen ejected.
type healthModel struct {
	monitor *targets.Monitor
	now     clock.Millis
	dead    []bool
	since   []clock.Millis
	lastOut []clock.Millis
}

// settleSpan is the time within which a monitor has to act on what flows show.
const settleSpan = 4 * clock.Second

func (h *healthModel) isSettled(i int) bool { return h.now-h.since[i] >= settleSpan }

// TestHealthKeepsItsBounds drives a monitor with arbitrary evidence and checks that no
// pool is emptied, that answering hosts stay and that dead ones go while few are dead.
func TestHealthKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 20).Draw(t, "hosts")
		m := targets.New(vmID(0))
		m.SetTables(0, newTables(t, hosts, 4))
		m.SetList(0, newList(t, 8, 4))
		h := &healthModel{
			monitor: m,
			dead:    make([]bool, hosts),
			since:   make([]clock.Millis, hosts),
			lastOut: make([]clock.Millis, hosts),
		}
		t.Repeat(map[string]func(*rapid.T){
			"turn": func(t *rapid.T) {
				i := rapid.IntRange(0, hosts-1).Draw(t, "host")
				h.dead[i], h.since[i] = !h.dead[i], h.now
			},
			"lie": func(t *rapid.T) {
				i := rapid.IntRange(0, hosts-1).Draw(t, "host")
				from := fleet.ID(rapid.IntRange(1, 3).Draw(t, "from"))
				m.AddReports(h.now, []targets.Report{targets.NewReport(from, hostID(i), rapid.Bool().Draw(t, "down"), 0)})
			},
			"pass": func(t *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "seconds") {
					h.now += clock.Second
					m.Evidence(h.now, h.tallies())
					h.check(t)
				}
			},
		})
	})
}

func (h *healthModel) tallies() []placement.Tally {
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

func (h *healthModel) check(t *rapid.T) {
	ejected, _ := h.monitor.Tick(h.now)
	limit := min(max(1, len(h.dead)*3/10), len(h.dead)-1)
	if len(ejected) > limit {
		t.Fatalf("%d of %d hosts ejected", len(ejected), len(h.dead))
	}
	doubtful := 0
	for i := range h.dead {
		isOut := slices.Contains(ejected, hostID(i))
		if isOut {
			h.lastOut[i] = h.now
		}
		if isOut && !h.dead[i] && h.isSettled(i) {
			t.Fatalf("host %d answers flows and is ejected", i)
		}
		if h.dead[i] || !h.isSettled(i) {
			doubtful++
		}
	}
	for i := range h.dead {
		if h.dead[i] && h.isSettled(i) && doubtful <= limit && h.now-h.lastOut[i] > settleSpan {
			t.Fatalf("host %d is dead and takes new flows", i)
		}
	}
}
