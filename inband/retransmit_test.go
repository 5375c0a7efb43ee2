package inband_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// coreAndNew returns a target of each of two services.
func coreAndNew() (core, other *inband.Target) {
	core, other = target("i-1", "a"), target("i-2", "a")
	other.Service = "new"
	return core, other
}

// tablesTo returns newer tables in which the feed route has the given shares.
func tablesTo(shares ...inband.Share) *inband.Tables {
	t := tables(2)
	t.Routes[0].Shares = shares
	return t
}

// Guards against a VM that goes back to older tables: it had sent flows to the pool of the new tables, and
// a copy of an opening that came before them went to a target of the old pool, up to 600 ms later.
func TestCopyOfAnOpeningFollowsTheTables(t *testing.T) {
	tests := []struct {
		name   string
		tables *inband.Tables
		copies []clock.Millis
		want   inband.Reason
		target string
	}{
		{"another pool, read late", tablesTo(inband.Share{Service: "new", Weight: 1}), []clock.Millis{5}, inband.MovedUnavailable, "i-2"},
		{"another pool, first copy", tablesTo(inband.Share{Service: "new", Weight: 1}), []clock.Millis{200}, inband.MovedUnresponsive, "i-2"},
		{"another pool, second copy", tablesTo(inband.Share{Service: "new", Weight: 1}), []clock.Millis{200, 600}, inband.MovedUnresponsive, "i-2"},
		{"another pool, after a stall", tablesTo(inband.Share{Service: "new", Weight: 1}), []clock.Millis{700}, inband.MovedUnavailable, "i-2"},
		{"weight taken away", tablesTo(inband.Share{Service: "core"}, inband.Share{Service: "new", Weight: 1}), []clock.Millis{5}, inband.MovedUnavailable, "i-2"},
		{"a second pool", tablesTo(inband.Share{Service: "core", Weight: 1}, inband.Share{Service: "new", Weight: 9}), []clock.Millis{5}, inband.Repeated, "i-1"},
		{"the same pool", tablesTo(inband.Share{Service: "core", Weight: 1}), []clock.Millis{5}, inband.Repeated, "i-1"},
		{"a pool without weight alone", tablesTo(inband.Share{Service: "core"}), []clock.Millis{5}, inband.Repeated, "i-1"},
		{"a pool without targets", tablesTo(inband.Share{Service: "none", Weight: 1}), []clock.Millis{5}, inband.NoTarget, ""},
		{"no route", &inband.Tables{Version: 2}, []clock.Millis{5}, inband.NoRoute, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			core, other := coreAndNew()
			e := newEngine(core, other)
			is.Equal(e.Handle(1000, opening(1, feedAddress, 0)).Backend.Target().ID, "i-1")
			e.SetTables(tt.tables)
			var v inband.Verdict
			for i, after := range tt.copies {
				v = e.Handle(1000+after, opening(1, feedAddress, uint32(i+1)))
				is.True(v.Backend == nil || v.Backend.Target().ID == tt.target)
			}
			is.Equal(v.Reason, tt.want)
			is.Equal(v.Backend == nil, tt.target == "")
		})
	}
}

// A copy of an opening goes to a target that accepts new flows, also if the first copy went to one that did
// then.
func TestCopyOfAnOpeningFollowsTheTargets(t *testing.T) {
	inState := func(state inband.State, fallbackUntil clock.Millis) func(*inband.Engine) {
		return func(e *inband.Engine) {
			changed := target("i-1", "a")
			changed.State = state
			e.UpdateTargets([]inband.Published{{Target: changed, FallbackUntil: fallbackUntil, MayReturnUntil: fallbackUntil}})
		}
	}
	tests := []struct {
		name   string
		change func(e *inband.Engine)
		want   inband.Reason // of a copy that is read at once
		target string
		moved  string // target of a copy that comes after the first one had time to answer
	}{
		{"serving", inState(inband.Serving, 0), inband.Repeated, "i-1", "i-2"},
		{"leaving", inState(inband.Leaving, 0), inband.MovedUnavailable, "i-2", "i-2"},
		{"left", inState(inband.Gone, 0), inband.MovedUnavailable, "i-2", "i-2"},
		{"its entry has expired", inState(inband.Gone, 2000), inband.Repeated, "i-1", "i-2"},
		{"its entry expired long ago", inState(inband.Gone, 1005), inband.MovedUnavailable, "i-2", "i-2"},
		{"its domain is drained", func(e *inband.Engine) { e.SetDrainedDomains([]string{"a"}) }, inband.MovedUnavailable, "i-2", "i-2"},
		{"the other domain is drained", func(e *inband.Engine) { e.SetDrainedDomains([]string{"b"}) }, inband.Repeated, "i-1", "i-1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			copyAfter := func(after clock.Millis) inband.Verdict {
				e := newEngine(target("i-1", "a"))
				e.Handle(1000, opening(1, feedAddress, 0))
				e.UpdateTargets(published(target("i-2", "b")))
				tt.change(e)
				return e.Handle(1000+after, opening(1, feedAddress, 1))
			}
			v := copyAfter(5)
			is.Equal(v.Reason, tt.want)
			is.Equal(v.Backend.Target().ID, tt.target)
			v = copyAfter(200)
			is.Equal(v.Reason, inband.MovedUnresponsive)
			is.Equal(v.Backend.Target().ID, tt.moved)
		})
	}
}

// A target that came to share its tag takes no flow, as its packets can't be told from the other's.
func TestCopyOfAnOpeningLeavesASharedTag(t *testing.T) {
	is := is.New(t)
	first, second := collidingIDs(t)
	e := newEngine(target(first, "a"))
	e.Handle(1000, opening(1, feedAddress, 0))
	e.UpdateTargets(published(target(second, "a"), target("i-3", "b")))
	v := e.Handle(1005, opening(1, feedAddress, 1))
	is.Equal(v.Reason, inband.MovedUnavailable)
	is.Equal(v.Backend.Target().ID, "i-3")
}

// A copy that can't be served is dropped: an earlier one may have opened the flow at a target, through this VM
// or another, and a reset would tear it. Only a first copy is reset.
func TestCopyOfAnOpeningIsNeverReset(t *testing.T) {
	leaving := target("i-1", "a")
	leaving.State = inband.Leaving
	tests := []struct {
		name   string
		change func(e *inband.Engine)
		want   inband.Reason
	}{
		{"its target leaves", func(e *inband.Engine) { e.UpdateTargets(published(leaving)) }, inband.NoTarget},
		{"all domains are drained", func(e *inband.Engine) { e.SetDrainedDomains([]string{"a"}) }, inband.NoTarget},
		{"its route goes to an empty pool", func(e *inband.Engine) { e.SetTables(tablesTo(inband.Share{Service: "none", Weight: 1})) }, inband.NoTarget},
		{"its route is dropped", func(e *inband.Engine) { e.SetTables(&inband.Tables{Version: 2}) }, inband.NoRoute},
		{"the pool is overloaded", func(e *inband.Engine) { overload(e) }, inband.Overloaded},
	}
	copies := []struct {
		name    string
		isHere  bool // the first copy came to this VM
		after   clock.Millis
		number  uint32
		isCopy  bool
		isMoved bool // to another target, so that the state of the pool counts
	}{
		{"copy read at once", true, 5, 1, true, false},
		{"copy after the target's silence", true, 200, 1, true, true},
		{"second copy after a stall", true, 600, 2, true, false},
		{"first copy that the network repeats", true, 5, 0, true, false},
		{"copy of an opening that another VM had", false, 200, 1, true, true},
		{"first copy", false, 200, 0, false, true},
	}
	for _, tt := range tests {
		for _, c := range copies {
			t.Run(tt.name+", "+c.name, func(t *testing.T) {
				is := is.New(t)
				e := newEngine(target("i-1", "a"))
				e.SetTables(prioritizedTables())
				if c.isHere {
					is.Equal(e.Handle(1630, opening(101, feedAddress, 0)).Action, inband.Forward)
				}
				tt.change(e)
				v := e.Handle(1630+c.after, opening(101, feedAddress, c.number))
				if tt.want == inband.Overloaded && !c.isMoved {
					is.Equal(v.Reason, inband.Repeated) // its target still serves it
					return
				}
				is.Equal(v.Reason, tt.want)
				is.Equal(v.Action == inband.Drop, c.isCopy)
				is.Equal(v.Action == inband.Reset, !c.isCopy)
			})
		}
	}
}

// overload keeps the pool of an engine overloaded from 1630 on.
func overload(e *inband.Engine) {
	loadTarget(e, 12, 2, 120)
	e.Handle(1130, opening(100, holdAddress, 0))
	e.Handle(1630, opening(102, holdAddress, 0))
}

// Both targets may answer if the copy of an opening goes to another one than the opening. The flow stays
// with the one that the client chose, whatever its later packets carry, and also where the route has left
// that target's pool.
func TestTwoAnswersAcrossAChangeOfTables(t *testing.T) {
	for _, chosen := range []string{"i-1", "i-2"} {
		t.Run(chosen, func(t *testing.T) {
			is := is.New(t)
			core, other := coreAndNew()
			e := newEngine(core, other)
			e.Handle(1000, opening(1, feedAddress, 0))
			e.SetTables(tablesTo(inband.Share{Service: "new", Weight: 1}))
			e.Handle(1005, opening(1, feedAddress, 1))
			packets := uint32(0)
			for _, after := range []clock.Millis{10, 3010, 20000} { // also when a late copy of the other answer comes
				for i, id := range []string{chosen, "i-1", "i-2"} {
					v := e.Handle(1000+after+clock.Millis(i), data(1, feedAddress, inband.TagOf(id), 101+50*packets, 500))
					is.Equal(v.Backend.Target().ID, chosen)
					packets++
				}
			}
		})
	}
}

// Each of three targets may answer one of the three copies that clients send.
func TestAnyTargetOfThreeCopiesMayAnswer(t *testing.T) {
	for chosen := range 3 {
		t.Run(fmt.Sprintf("copy %d", chosen), func(t *testing.T) {
			is := is.New(t)
			e := newEngine(target("i-1", "a"), target("i-2", "a"), target("i-3", "a"))
			var tags []inband.Tag
			for i, at := range []clock.Millis{1000, 1200, 1600} {
				e.Sweep(at - 200)
				v := e.Handle(at, opening(1, feedAddress, uint32(i)))
				is.True(!slices.Contains(tags, v.Tag()))
				tags = append(tags, v.Tag())
			}
			for i, tag := range append([]inband.Tag{tags[chosen]}, tags...) {
				v := e.Handle(1610+clock.Millis(i)*4*clock.Second, data(1, feedAddress, tag, uint32(101+50*i), 500))
				is.Equal(v.Tag(), tags[chosen])
			}
		})
	}
}

// A target is not blamed for an opening that this VM has reset because its route was dropped.
func TestOpeningOfADroppedRouteIsNoFailure(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"))
	for client := range 8 {
		e.Handle(1000, opening(client, feedAddress, 0))
	}
	e.SetTables(&inband.Tables{Version: 2})
	for client := range 8 {
		is.Equal(e.Handle(1100, opening(client, feedAddress, 1)).Reason, inband.NoRoute)
	}
	for now := clock.Millis(1100); now < 2000; now += 100 {
		e.Sweep(now)
	}
	is.Equal(len(e.TakeStatusChanges(2000)), 0)
	is.Equal(e.Targets()[0].Flows, 0)
}

// A flow that this VM carried before it had tables is reset like any other once it has them.
func TestFlowOlderThanTheFirstTablesIsReset(t *testing.T) {
	is := is.New(t)
	e := inband.New(inband.Options{Domain: "a", Policy: inband.Local{}, MaxFlows: 1000, FlowLifetime: clock.Minute, Seed: 1})
	e.UpdateTargets(published(target("i-1", "a")))
	introduce(e, target("i-1", "a"))
	e.Handle(100, data(1, feedAddress, inband.TagOf("i-1"), 101, 500))
	e.SetTables(tables(1))
	e.Handle(300, data(1, feedAddress, inband.TagOf("i-1"), 101, 500))
	is.Equal(probeSuspects(e, 310, inband.Refused), 1)
	is.Equal(len(e.EndFlowsOfLostTargets(320)), 1)
}
