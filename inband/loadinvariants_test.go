package inband

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/almondflow/almondflow/clock"
)

// TestMeteredRequestsAddUp runs random packets, pauses and changes of the targets. At each target as many requests
// are under way as flows are metered, and none once all flows have ended.
func TestMeteredRequestsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Millis(1000)
		targets := servingTargets(4)
		e := routedEngine(targets, 8, 1500)
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				now += clock.Millis(rapid.IntRange(0, 900).Draw(t, "ms"))
				e.Sweep(now)
			},
			"open": func(t *rapid.T) {
				p := openingOf(rapid.IntRange(0, 9).Draw(t, "client"))
				p.Seq += uint32(rapid.IntRange(0, 1).Draw(t, "reuse"))
				e.Handle(now, &p)
			},
			"send": func(t *rapid.T) {
				p := openingOf(rapid.IntRange(0, 9).Draw(t, "client"))
				p = requestAfter(&p, TagOf(targets[rapid.IntRange(0, 3).Draw(t, "target")].Target.ID))
				p.Seq += uint32(rapid.IntRange(0, 2).Draw(t, "request") * 50)
				p.Ack += uint32(rapid.IntRange(0, 2).Draw(t, "answer") * 500)
				p.DataLength = rapid.SampledFrom([]int{0, 50}).Draw(t, "bytes")
				p.Flags |= rapid.SampledFrom([]Flags{0, Ending, Resetting}).Draw(t, "flags")
				e.Handle(now, &p)
			},
			"drain":  func(t *rapid.T) { e.SetDrainedDomains(rapid.SampledFrom([][]string{nil, {"east"}}).Draw(t, "domains")) },
			"remove": func(t *rapid.T) { e.ReplaceView(nil, targets[:rapid.IntRange(1, 4).Draw(t, "count")]) },
			"restart": func(*rapid.T) {
				target := *targets[0].Target
				target.StartedAtMS = int64(now)
				e.UpdateTargets([]Published{{Target: &target}})
			},
			"": func(t *rapid.T) { checkMeters(t, e) },
		})
		e.sweepUntil(now+clock.Minute, now+2*clock.Minute)
		if busy := e.busyRequests(); busy != 0 || e.flows.len() != 0 {
			t.Fatalf("%d requests under way in %d flows at the end", busy, e.flows.len())
		}
	})
}

// checkMeters compares the meters with the flows.
func checkMeters(t *rapid.T, e *Engine) {
	metered := map[*Backend]int{}
	for _, f := range e.flows.slots {
		if f.isMetered {
			metered[f.backend]++
		}
	}
	for _, b := range e.byID {
		if b.meter.Busy() != metered[b] {
			t.Fatalf("%s has %d requests under way, but %d flows that are metered", b.target.ID, b.meter.Busy(), metered[b])
		}
	}
}
