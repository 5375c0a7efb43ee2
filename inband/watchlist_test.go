package inband_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// poll makes the calls that a daemon makes at each tick, and returns the sum of their results.
func poll(e *inband.Engine, now clock.Millis) int {
	return len(e.TakeSuspicions(now)) + len(e.TakeOutcomes(now)) + len(e.TakeStatusChanges(now)) +
		len(e.EndFlowsOfLostTargets(now)) + len(e.DomainsToProbe(now)) + e.Suspects() + e.FailingTargets()
}

// BenchmarkPoll measures the cost of a tick with three unresponsive targets. It must not grow
// with the number of healthy targets.
func BenchmarkPoll(b *testing.B) {
	for _, count := range []int{150, 3000, 99000} {
		b.Run(fmt.Sprintf("targets=%d", count), func(b *testing.B) {
			targets := largePool(count, "abcd")
			e := newLargeEngine(targets, 1000)
			for client := range 3 {
				e.Handle(1000, data(client, feedAddress, inband.TagOf(targets[client].ID), 101, 500))
				e.Handle(1200, data(client, feedAddress, inband.TagOf(targets[client].ID), 101, 500))
			}
			now := clock.Millis(1200)
			for b.Loop() {
				now++
				poll(e, now)
			}
		})
	}
}

// Targets that have recovered or were removed are no longer watched.
func TestRecoveredTargetsAreNoLongerWatched(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"), target("i-2", "a"), target("i-3", "a"))
	tag := openFlow(e, 1, feedAddress)
	id := e.Explain(0, key(1, feedAddress)).Target
	e.Handle(1000, data(1, feedAddress, tag, 101, 500))
	e.Handle(1200, data(1, feedAddress, tag, 101, 500))
	e.ReceiveOutcomes(1200, "a", []inband.OutcomeReport{{ID: "i-1", Failed: 3}, {ID: "i-2", Failed: 3}, {ID: "i-3", Failed: 3}})
	is.Equal(e.WatchedTargets(), 3)
	e.Handle(1300, &inband.Packet{Key: key(1, feedAddress), Flags: inband.Acknowledging, Seq: 151, Ack: 600, Tag: tag})
	e.Sweep(1400)
	is.Equal(e.WatchedTargets(), 3) // their requests failed recently
	var others []*inband.Target
	for _, other := range []string{"i-1", "i-2", "i-3"} {
		if other != id {
			others = append(others, target(other, "a"))
		}
	}
	e.ReplaceView(nil, published(others...))
	is.Equal(e.WatchedTargets(), 2) // one is no longer published
	e.TakeStatusChanges(60000)
	e.Sweep(60000)
	is.Equal(e.WatchedTargets(), 0)
}

// A flow may outlive the engine's knowledge of its target. Such a target must not be watched or
// reported.
func TestUnknownTargetsAreNotWatched(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"))
	tag := openFlow(e, 1, feedAddress)
	e.Handle(1000, data(1, feedAddress, tag, 101, 500))
	e.ReplaceView(nil, published(target("i-2", "a")))
	e.Handle(1200, data(1, feedAddress, 0, 101, 500))
	e.Sweep(2000)
	is.Equal(e.WatchedTargets(), 0)
	is.Equal(poll(e, 2000), 0)
}
