package inband_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/seedtest"
)

func TestMain(m *testing.M) { seedtest.Main(m) }

// TestEngineInvariants runs random sequences of packets and target changes. A packet may only
// go to the target named by its tag or, if it is an opening, to a target of the route's pool
// that accepts new flows. The flow counts must stay consistent.
func TestEngineInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Millis(0)
		states := map[string]inband.State{}
		for i := range 5 {
			states[fmt.Sprintf("i-%d", i)] = inband.Serving
		}
		e := newEngine()
		update := func() {
			var all []*inband.Target
			for id, state := range states {
				target := target(id, string(rune('a'+id[2]%3)))
				target.State = state
				all = append(all, target)
			}
			e.ReplaceView(tables(1), published(all...))
		}
		update()
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				now += clock.Millis(rapid.IntRange(0, 900).Draw(t, "ms"))
				e.Sweep(now)
			},
			"hear": func(t *rapid.T) {
				id := fmt.Sprintf("i-%d", rapid.IntRange(0, 5).Draw(t, "id"))
				e.ReceiveOutcomes(now, "a", []inband.OutcomeReport{{ID: id, Succeeded: rapid.IntRange(0, 9).Draw(t, "good"), Failed: rapid.IntRange(0, 9).Draw(t, "bad")}})
				e.ReceiveSuspicions(now, sibling, "a", []inband.Suspicion{{ID: id, OpeningTimeouts: rapid.IntRange(0, 2).Draw(t, "openings")}})
			},
			"look": func(*rapid.T) { poll(e, now) },
			"mark": func(t *rapid.T) {
				id := fmt.Sprintf("i-%d", rapid.IntRange(0, 4).Draw(t, "id"))
				states[id] = inband.State(rapid.IntRange(0, 2).Draw(t, "mark"))
				update()
			},
			"open": func(t *rapid.T) {
				v := e.Handle(now, opening(rapid.IntRange(0, 9).Draw(t, "client"), feedAddress, uint32(rapid.IntRange(0, 2).Draw(t, "copy"))))
				if v.Action == inband.Forward && v.Reason != inband.Repeated && v.Backend.Target().State != inband.Serving {
					t.Fatalf("new flow sent to a target in state %s", v.Backend.Target().State)
				}
			},
			"data": func(t *rapid.T) {
				id := fmt.Sprintf("i-%d", rapid.IntRange(0, 5).Draw(t, "id"))
				p := data(rapid.IntRange(0, 9).Draw(t, "client"), feedAddress, inband.TagOf(id), uint32(rapid.IntRange(0, 4).Draw(t, "seq")*50), uint32(rapid.IntRange(0, 900).Draw(t, "ack")))
				p.Flags |= rapid.SampledFrom([]inband.Flags{0, inband.Ending, inband.Resetting}).Draw(t, "flags")
				v := e.Handle(now, p)
				if v.Action == inband.Drop && states[id] != inband.Gone && id != "i-5" {
					t.Fatalf("packet for %s was dropped", id)
				}
			},
			"": func(t *rapid.T) {
				for _, h := range e.Targets() {
					if h.Flows < 0 || h.Busy < 0 || h.Busy > h.Flows {
						t.Fatalf("counts of %s: %d flows, %d busy", h.ID, h.Flows, h.Busy)
					}
				}
			},
		})
	})
}
