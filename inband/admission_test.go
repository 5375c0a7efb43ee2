package inband_test

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// slowAnswer is far longer than callers want to wait.
const slowAnswer = 500 * clock.Millisecond

// newFullEngine returns an engine whose requests take long, and the time. It has run for longer than openings of
// its start may come again.
func newFullEngine(refusesByUrgency bool) (*inband.Engine, clock.Millis) {
	e := newUrgencyEngine(refusesByUrgency)
	return e, answerLate(e, sweepUntil(e, clock.Minute, clock.Minute+2*clock.Second))
}

// newUrgencyEngine returns an engine that has not run yet. Holds are more urgent than feeds.
func newUrgencyEngine(refusesByUrgency bool) *inband.Engine {
	e := inband.New(inband.Options{
		Domain: "a", Policy: inband.Local{}, MaxFlows: 1000, FlowLifetime: clock.Minute, Seed: 1, RefusesByUrgency: refusesByUrgency,
	})
	t := prioritizedTables()
	for i := range t.Routes {
		t.Routes[i].TargetLatencyMS = 100
	}
	e.ReplaceView(t, published(target("i-1", "a")))
	return e
}

// sweepUntil sweeps as often as a process that does not stand still, and returns the end.
func sweepUntil(e *inband.Engine, now, end clock.Millis) clock.Millis {
	for ; now < end; now += clock.Second / 4 {
		e.Sweep(now)
	}
	return end
}

// answerLate has holds answered after slowAnswer and returns when.
func answerLate(e *inband.Engine, now clock.Millis) clock.Millis {
	const flows = 10
	tag := inband.TagOf("i-1")
	for client := range flows {
		e.Handle(now, opening(client, holdAddress, 0))
		e.Handle(now, data(client, holdAddress, tag, 101, 500))
	}
	now = sweepUntil(e, now, now+slowAnswer)
	for client := range flows {
		p := data(client, holdAddress, tag, 151, 1500)
		p.Flags, p.DataLength = inband.Acknowledging|inband.Ending, 0
		e.Handle(now, p)
	}
	return now
}

// countRefused counts the openings that are refused of a hundred new flows.
func countRefused(e *inband.Engine, now clock.Millis, p func(client int) *inband.Packet) int {
	refused := 0
	for client := range 100 {
		if e.Handle(now, p(100+client)).Reason == inband.Overloaded {
			refused++
		}
	}
	return refused
}

func TestOpeningsAreRefusedByUrgency(t *testing.T) {
	feed := func(client int) *inband.Packet { return opening(client, feedAddress, 0) }
	again := func(client int) *inband.Packet { return opening(client, feedAddress, 1) }
	tests := []struct {
		name      string
		isPartOn  bool
		packet    func(client int) *inband.Packet
		isRefused bool
	}{
		{"less urgent", true, feed, true},
		{"urgent", true, func(client int) *inband.Packet { return opening(client, holdAddress, 0) }, false},
		{"a copy, whose earlier one another VM may have forwarded", true, again, false},
		{"without the part", false, feed, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e, now := newFullEngine(tt.isPartOn)
			is.Equal(countRefused(e, now, tt.packet) > 0, tt.isRefused)
		})
	}
}

// Load: a crowd comes back. An opening that may be a copy is no refusal: it is dropped, and its client sends it again.
func TestOpeningsThatMayBeCopiesAreDeferred(t *testing.T) {
	tests := []struct {
		name       string
		age        clock.Millis // of the process
		address    netip.AddrPort
		copyNumber uint32
		expected   inband.Reason // of some openings
	}{
		{"first copy long after the start", 2 * clock.Second, feedAddress, 0, inband.Overloaded},
		{"copy that another VM may have had", 2 * clock.Second, feedAddress, 1, inband.Deferred},
		{"first copy after the start", clock.Second, feedAddress, 0, inband.Deferred},
		{"copy after the start", clock.Second, feedAddress, 2, inband.Deferred},
		{"urgent copy", 2 * clock.Second, holdAddress, 1, inband.PlacedLate},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newUrgencyEngine(true)
			now := answerLate(e, sweepUntil(e, clock.Minute, clock.Minute+tt.age-slowAnswer))
			actions := map[inband.Reason]inband.Action{}
			for client := range 100 {
				v := e.Handle(now, opening(100+client, tt.address, tt.copyNumber))
				actions[v.Reason] = v.Action
			}
			action, ok := actions[tt.expected]
			is.True(ok)
			is.Equal(action == inband.Drop, tt.expected == inband.Deferred)
		})
	}
}

// A copy whose target did not answer goes to another one, however full they are: its client has waited long.
func TestMovedOpeningsAreNotDeferred(t *testing.T) {
	is := is.New(t)
	e, now := newFullEngine(true)
	e.UpdateTargets(published(target("i-2", "a")))
	moved := 0
	for client := range 100 {
		if e.Handle(now, opening(100+client, feedAddress, 0)).Action != inband.Forward {
			continue
		}
		is.Equal(e.Handle(now+200, opening(100+client, feedAddress, 1)).Reason, inband.MovedUnresponsive)
		moved++
	}
	is.True(moved > 0)
}

// What waited while the process stood still may have been forwarded as a copy by another VM meanwhile.
func TestOpeningsThatWaitedInThisProcessAreNotRefused(t *testing.T) {
	is := is.New(t)
	e, now := newFullEngine(true)
	now = answerLate(e, now+3*clock.Second)
	is.Equal(countRefused(e, now, func(client int) *inband.Packet { return opening(client, feedAddress, 0) }), 0)
}

// What came while the process started may have waited for longer than clients take to send a copy.
func TestOpeningsAfterAStartAreNotRefused(t *testing.T) {
	tests := []struct {
		name      string
		age       clock.Millis // of the process
		isRefused bool
	}{
		{"it has just started", clock.Second / 2, false},
		{"copies may still come", clock.Second, false},
		{"all copies have come", 1500 * clock.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newUrgencyEngine(true)
			now := answerLate(e, sweepUntil(e, clock.Minute, clock.Minute+tt.age-slowAnswer))
			is.Equal(countRefused(e, now, func(client int) *inband.Packet { return opening(client, feedAddress, 0) }) > 0, tt.isRefused)
		})
	}
}

func TestExplainShowsWhatIsRefused(t *testing.T) {
	is := is.New(t)
	e, now := newFullEngine(true)
	refused := countRefused(e, now, func(client int) *inband.Packet { return opening(client, feedAddress, 0) })
	x := e.Explain(now, key(1, feedAddress))
	is.Equal(x.Priority, 2)
	is.Equal(len(x.Admissions), 1)
	is.Equal(x.Admissions[0].Service, "core")
	is.Equal(x.Admissions[0].Shares[0].Refused, 0.0) // holds
	is.Equal(x.Admissions[0].Shares[1].Count, refused)
	is.True(x.Admissions[0].Shares[1].Refused > 0.3)
	is.Equal(e.OverloadedPools(), 1)
}
