package inband_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// playRequest runs one request on a flow of its own through the engine. The target responds
// with the given number of bytes, or not at all if that is zero. It returns the target's id.
func playRequest(e *inband.Engine, now clock.Millis, client int, bytes uint32) string {
	v := e.Handle(now, opening(client, holdAddress, 0))
	tag, id := v.Tag(), v.Backend.Target().ID
	e.Handle(now+10, data(client, holdAddress, tag, 101, 500))
	if bytes == 0 {
		e.Handle(now+210, data(client, holdAddress, tag, 101, 500))
		e.Handle(now+610, data(client, holdAddress, tag, 101, 500))
		return id
	}
	last := data(client, holdAddress, tag, 151, 500+bytes)
	last.DataLength, last.Flags = 0, last.Flags|inband.Ending
	e.Handle(now+30, last)
	return id
}

// learnResponseSizes lets the engine observe enough responses of the usual size.
func learnResponseSizes(e *inband.Engine) {
	for client := range 100 {
		playRequest(e, 0, 1000+client, 830)
	}
}

// countPlacements returns how many of 20 new flows go to a target. Their requests have no
// outcome.
func countPlacements(e *inband.Engine, now clock.Millis, id string) int {
	count := 0
	for client := range 20 {
		if e.Handle(now, opening(5000+int(now)+client, holdAddress, 0)).Backend.Target().ID == id {
			count++
		}
	}
	return count
}

// Targets that answer health checks and openings may still fail requests. Each case is one way
// in which such failures show in the client's packets.
func TestFailingTargetsAreAvoided(t *testing.T) {
	tests := []struct {
		name  string
		fails func(e *inband.Engine, now clock.Millis, client int) string
	}{
		{"short responses", func(e *inband.Engine, now clock.Millis, client int) string {
			return playRequest(e, now, client, 150)
		}},
		{"no answer", func(e *inband.Engine, now clock.Millis, client int) string {
			e.Handle(now, opening(9000+client, holdAddress, 0))
			id := playRequest(e, now, client, 0)
			e.Handle(now+100, data(9000+client, holdAddress, inband.TagOf(id), 101, 500)) // the target answers others
			e.Handle(now+1210, data(client, holdAddress, inband.TagOf(id), 101, 500))
			return id
		}},
		{"aborted", func(e *inband.Engine, now clock.Millis, client int) string {
			v := e.Handle(now, opening(client, holdAddress, 0))
			e.Handle(now+10, data(client, holdAddress, v.Tag(), 101, 500))
			e.Sweep(now + 700)
			return v.Backend.Target().ID
		}},
		{"refused", func(e *inband.Engine, now clock.Millis, client int) string {
			v := e.Handle(now, opening(client, holdAddress, 0))
			e.Sweep(now + 450)
			return v.Backend.Target().ID
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			failing := target("i-9", "a")
			e := newEngine(target("i-1", "a"), target("i-2", "a"), target("i-3", "a"))
			learnResponseSizes(e)
			others := published(target("i-1", "a"), target("i-2", "a"), target("i-3", "a"))
			e.ReplaceView(nil, published(failing))
			for client := range 4 {
				is.Equal(tt.fails(e, 1000+800*clock.Millis(client), client), "i-9")
			}
			e.ReplaceView(nil, append(others, published(failing)...))
			is.Equal(countPlacements(e, 4300, "i-9"), 0)
			is.True(countPlacements(e, 60000, "i-9") > 0) // the target is tried again
		})
	}
}

// Pattern: a target dies while its machine lives, and refuses each opening at once. Only clients see
// the refusals. On cn-portas (inc-4df0) such a target stayed published for 4 s.
func TestTargetThatRefusesOpeningsIsAvoided(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"), target("i-2", "a"), target("i-3", "a"), target("i-9", "a"))
	refused := map[clock.Millis]int{} // by second
	for client := range 160 {
		now := 1000 + 25*clock.Millis(client)
		v := e.Handle(now, opening(client, holdAddress, 0))
		if v.Backend.Target().ID == "i-9" {
			refused[now/1000]++
		} else {
			e.Handle(now+1, data(client, holdAddress, v.Tag(), 101, 500))
			last := data(client, holdAddress, v.Tag(), 151, 1330)
			last.DataLength, last.Flags = 0, last.Flags|inband.Ending
			e.Handle(now+20, last)
		}
		e.Sweep(now + 20)
	}
	is.True(refused[1] > 0)
	for _, second := range []clock.Millis{2, 3, 4} {
		is.True(refused[second] <= 1) // an occasional try
	}
}

// If all targets fail at the same rate, none may be avoided.
func TestNoTargetIsAvoidedWhenAllFailAlike(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"), target("i-2", "a"), target("i-3", "a"))
	learnResponseSizes(e)
	for client := range 60 {
		playRequest(e, 1000, client, 150)
	}
	for _, c := range e.Explain(1100, key(1, holdAddress)).Candidates {
		is.True(c.FailureRate > 0.3)
		is.True(c.Cost < 10) // only the flow counts contribute
	}
}

// After the loss of all VMs, clients overload all targets, and some targets shed more requests
// than others. Flows must still stay in the own failure domain, because traffic between domains
// costs money.
func TestSystemicFailuresDoNotSingleOutTargets(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"), target("i-2", "b"))
	learnResponseSizes(e)
	for client := range 80 {
		playRequest(e, 1000, client, 150)
	}
	e.ReceiveOutcomes(1100, "a", []inband.OutcomeReport{{ID: "i-1", Failed: 300}})
	for _, c := range e.Explain(1100, key(1, holdAddress)).Candidates {
		if c.ID == "i-1" {
			is.True(c.FailureRate > 0.7)
			is.True(c.Cost < 10) // less than the cost of the other domain
		}
	}
}

// Where many VMs share many targets, each VM sees few requests of a target, so VMs report
// outcomes to each other.
func TestRequestOutcomesAreShared(t *testing.T) {
	is := is.New(t)
	e, other := newEngine(target("i-1", "a")), newEngine(target("i-1", "a"), target("i-2", "a"))
	learnResponseSizes(e)
	is.Equal(len(e.TakeOutcomes(900)), 0) // no request failed
	for client := range 5 {
		playRequest(e, 1000, client, 150)
	}
	reports := e.TakeOutcomes(1100)
	is.Equal(reports, []inband.OutcomeReport{{ID: "i-1", Succeeded: 100, Failed: 5}})
	is.Equal(len(e.TakeOutcomes(1200)), 0)
	is.True(countPlacements(other, 1200, "i-1") > 0)
	other.ReceiveOutcomes(1300, "c", reports) // it may reach the target by another path
	is.True(countPlacements(other, 1300, "i-1") > 0)
	other.ReceiveOutcomes(1400, "a", []inband.OutcomeReport{{ID: "i-1", Succeeded: 1, Failed: 5}, {ID: "unknown", Failed: 1}, {ID: "i-2", StartedAtMS: 7, Failed: 9}})
	is.Equal(countPlacements(other, 1400, "i-1"), 0)
}

// A change of a target's status is returned once.
func TestStatusChangesAreReturnedOnce(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"), target("i-2", "a"))
	is.Equal(len(e.TakeStatusChanges(900)), 0)
	e.ReceiveOutcomes(1000, "a", []inband.OutcomeReport{{ID: "i-1", Failed: 8}})
	is.Equal(e.TakeStatusChanges(1000), []inband.StatusChange{{ID: "i-1", IsFailing: true, FailureRate: 0.8}})
	is.Equal(len(e.TakeStatusChanges(1500)), 0)
	is.Equal(e.FailingTargets(), 1)
	recovered := e.TakeStatusChanges(60000)
	is.Equal(len(recovered), 1)
	is.True(!recovered[0].IsFailing)
	is.Equal(e.FailingTargets(), 0)
}

// During hold-off, as after a pause, a VM reports nothing.
func TestNoOutcomesAreReportedDuringHoldOff(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"))
	playRequest(e, 1000, 1, 0)
	e.HoldOff(1100)
	is.Equal(len(e.TakeOutcomes(1200)), 0)
}

// Targets that share a tag get no new flows, but other VMs may still report on them.
func TestOutcomesOfTargetsSharingATag(t *testing.T) {
	is := is.New(t)
	first, second := collidingIDs(t)
	e := newEngine(target(first, "a"), target(second, "a"))
	e.ReceiveOutcomes(1000, "a", []inband.OutcomeReport{{ID: first, Failed: 9}, {ID: second, Failed: 9}})
	is.Equal(len(e.TakeStatusChanges(1000)), 2)
}

// A restarted target starts without failures.
func TestRestartClearsOutcomes(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"), target("i-2", "a"))
	e.ReceiveOutcomes(1000, "a", []inband.OutcomeReport{{ID: "i-1", Failed: 9}})
	is.Equal(countPlacements(e, 1000, "i-1"), 0)
	restarted := target("i-1", "a")
	restarted.StartedAtMS = 7
	e.UpdateTargets(published(restarted))
	is.True(countPlacements(e, 1100, "i-1") > 0)
}
