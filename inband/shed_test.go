package inband_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// sharingEngine returns an engine that estimates the load of targets, and knows the usual size of responses.
func sharingEngine(sharesLoad bool, targets ...*inband.Target) *inband.Engine {
	e := inband.New(inband.Options{Domain: "a", Policy: inband.Local{}, MaxFlows: 10000, FlowLifetime: clock.Minute, Seed: 1, SharesLoad: sharesLoad})
	e.ReplaceView(tables(1), published(targets...))
	introduce(e, targets...)
	learnResponseSizes(e)
	return e
}

// wait has a number of clients wait for an answer of a target, to which they send one more packet.
func wait(e *inband.Engine, now clock.Millis, id string, firstClient, clients int) {
	for i := range clients {
		e.Handle(now, data(firstClient+i, holdAddress, inband.TagOf(id), 101+uint32(now), 500))
	}
}

// answerShortly has a target answer some requests with an error.
func answerShortly(e *inband.Engine, now clock.Millis, id string) {
	for i := range 8 {
		client := 4000 + i
		e.Handle(now, data(client, holdAddress, inband.TagOf(id), 101, 500))
		last := data(client, holdAddress, inband.TagOf(id), 151, 650)
		last.DataLength, last.Flags = 0, last.Flags|inband.Ending
		e.Handle(now+20, last)
	}
}

// abort has a target abort some flows without an answer.
func abort(e *inband.Engine, now clock.Millis, id string) { wait(e, now, id, 4000, 8) }

// Loads of a pool of two targets with 2 slots each: what a full target sheds does not count against it, while
// a target that fails with little work is avoided.
func TestShedRequestsAreNoFailures(t *testing.T) {
	tests := []struct {
		name            string
		sharesLoad      bool
		waiting, others int // requests that wait at the target and at the other one
		fails           func(e *inband.Engine, now clock.Millis, id string)
		isFailing       bool
	}{
		{"little work, errors", true, 0, 0, answerShortly, true},
		{"little work in a full pool, errors", true, 0, 20, answerShortly, true},
		{"full, errors", true, 8, 0, answerShortly, false},
		{"full pool, errors", true, 8, 8, answerShortly, false},
		{"full, load is not shared, errors", false, 8, 8, answerShortly, true},
		{"little work, flows are aborted", true, 0, 0, abort, true},
		{"full pool, flows are aborted", true, 4, 20, abort, false},
		{"full pool, load is not shared, flows are aborted", false, 4, 20, abort, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := sharingEngine(tt.sharesLoad, target("i-1", "a"), target("i-2", "a"))
			for now := clock.Millis(1000); now <= 2200; now += 100 {
				wait(e, now, "i-1", 2000, tt.waiting)
				wait(e, now, "i-2", 3000, tt.others)
				if now == 1500 {
					tt.fails(e, now, "i-1")
				}
				e.Sweep(now)
			}
			var failing []string
			for _, c := range e.TakeStatusChanges(2200) {
				failing = append(failing, c.ID)
			}
			is.Equal(len(failing) > 0 && failing[0] == "i-1", tt.isFailing)
			is.Equal(e.TakeShedRequests() > 0, !tt.isFailing)
			is.Equal(len(e.TakeOutcomes(2200)) > 0, tt.isFailing)
		})
	}
}

// A target whose answers take long has not aborted the requests that wait for them.
func TestSlowAnswersAreNoAborts(t *testing.T) {
	is := is.New(t)
	e := sharingEngine(true, target("i-1", "a"))
	for client := range 4 {
		e.Handle(5000, data(client, holdAddress, inband.TagOf("i-1"), 101, 500))
	}
	answered := data(0, holdAddress, inband.TagOf("i-1"), 151, 1330)
	answered.DataLength = 0
	e.Handle(5500, answered)
	e.Sweep(5700)
	is.Equal(len(e.TakeOutcomes(5700)), 0)
	e.Sweep(6100)
	is.True(len(e.TakeOutcomes(6100)) > 0)
}
