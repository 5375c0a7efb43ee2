package inband_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// acknowledge returns a packet without data that acknowledges answers up to ack.
func acknowledge(client int, tag inband.Tag, ack uint32) *inband.Packet {
	return &inband.Packet{Key: key(client, feedAddress), Flags: inband.Acknowledging, Seq: 151, Ack: ack, Tag: tag}
}

// Guards against flows that are reset because requests were lost in a frozen VM (review/2): of
// each flow the next VM sees an acknowledgment first, whose number lies after the lost request,
// and took the first copy of that request for one that the target had not answered.
func TestDataThatAnotherVMLostIsNoSign(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"))
	tag := openFlow(e, 9, feedAddress) // idle, of another client
	for _, client := range []int{1, 2} {
		e.Handle(1000, acknowledge(client, tag, 600))
	}
	for _, client := range []int{1, 2} {
		lost := data(client, feedAddress, tag, 101, 600)
		is.Equal(e.Handle(1500, lost).Action, inband.Forward)
	}
	is.Equal(len(e.EndFlowsOfLostTargets(1510)), 0)
	is.Equal(e.Targets()[0].Timeouts, 0)

	// Once this VM has forwarded the data, the target's silence counts.
	is.Equal(e.Handle(1900, data(1, feedAddress, tag, 101, 600)).Action, inband.Forward)
	is.Equal(e.Handle(1900, data(2, feedAddress, tag, 101, 600)).Action, inband.Forward)
	is.Equal(e.Targets()[0].Timeouts, 2)
	probeSuspects(e, 1900, inband.Silent)
	is.Equal(len(e.EndFlowsOfLostTargets(1910)), 3)
}

// Guards against the same fault in the middle of an upload: packets that were lost on their way to
// this VM, or that another VM carried, are not unanswered ones.
func TestOnlyForwardedDataCountsAsUnanswered(t *testing.T) {
	tests := []struct {
		name      string
		forwarded []uint32 // numbers of the packets that this VM forwarded
		repeated  uint32
		isSign    bool
	}{
		{"the newest packet", []uint32{101, 151, 201}, 201, true},
		{"an earlier packet", []uint32{101, 151, 201}, 101, true},
		{"a packet that never came here", []uint32{101, 201}, 151, false},
		{"a packet before the first one here", []uint32{201, 251}, 151, false},
		{"a packet before a gap", []uint32{101, 201}, 101, false},
		{"a packet after a gap", []uint32{101, 201}, 201, true},
		{"a gap that was filled late", []uint32{151, 101}, 151, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newEngine(target("i-1", "a"))
			tag := openFlow(e, 1, feedAddress)
			for i, seq := range tt.forwarded {
				e.Handle(1000+clock.Millis(i), data(1, feedAddress, tag, seq, 500))
			}
			e.Handle(1210, data(1, feedAddress, tag, tt.repeated, 500))
			is.Equal(e.Targets()[0].Timeouts > 0, tt.isSign)
		})
	}
}

// Guards against the same fault in the first packet after an opening: the flow was opened here, but
// its first request went through another VM and was lost there.
func TestFirstDataThroughAnotherVMIsNoSign(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"))
	placed := e.Handle(0, opening(1, feedAddress, 0))
	tag := placed.Tag()
	e.Handle(10, acknowledge(1, tag, 500))
	e.Handle(300, data(1, feedAddress, tag, 101, 500))
	is.Equal(e.Targets()[0].Timeouts, 0)
}

// Guards against an opening that is taken for a copy of an earlier one from the same port.
func TestOpeningOfAnotherFlowIsNoCopy(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"))
	e.Handle(0, opening(1, feedAddress, 0))
	other := opening(1, feedAddress, 0)
	other.Seq = 90000
	is.Equal(e.Handle(500, other).Reason, inband.Placed)
	is.Equal(e.Targets()[0].Timeouts, 0)
}

// Guards against requests that are reset while their target works on them (review/1): a VM carried
// flows of another one that restarted, and saw them idle. Clients whose links failed at the same time made
// it take the target for dead, however few or many they were. Only a probe may show that, and then the
// flows that moved go with the others.
func TestMovedFlowsFollowTheProbe(t *testing.T) {
	open := func(e *inband.Engine) { openFlow(e, 9, holdAddress) }
	carry := func(e *inband.Engine) {
		e.Handle(100, data(9, holdAddress, inband.TagOf("i-1"), 101, 500))
		e.Handle(130, answered(9))
	}
	for _, start := range []func(e *inband.Engine){open, carry} {
		for _, clients := range []int{1, 2, 8} {
			for _, outcome := range []inband.ProbeOutcome{inband.Answered, inband.Inconclusive, inband.Silent, inband.Refused} {
				t.Run(fmt.Sprintf("%d clients, %s", clients, outcome), func(t *testing.T) {
					is := is.New(t)
					e := newEngine(target("i-1", "a"))
					start(e)
					silenceClients(e, clients)
					is.Equal(len(e.EndFlowsOfLostTargets(1700)), 0) // no probe has shown anything yet
					probeSuspects(e, 1700, outcome)
					isReset := false
					for _, f := range e.EndFlowsOfLostTargets(1710) {
						isReset = isReset || f.Key == key(9, holdAddress)
					}
					is.Equal(isReset, outcome == inband.Silent || outcome == inband.Refused)
				})
			}
		}
	}
}

// answered returns the acknowledgment of an answer on a flow of a route that is not repeatable.
func answered(client int) *inband.Packet {
	return &inband.Packet{Key: key(client, holdAddress), Flags: inband.Acknowledging, Seq: 151, Ack: 600, Tag: inband.TagOf("i-1")}
}
