package inband_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

var secondSibling = netip.MustParseAddrPort("10.1.0.12:7720")

// Guards against VMs that agree on a target's death because several clients' links failed: reports of
// other VMs are no signs of it, whatever they say, as one cause on the clients' side explains all of them.
// They cause a probe, and what that shows decides.
func TestReportsOfOtherVMsCauseAProbe(t *testing.T) {
	both := []netip.AddrPort{sibling, secondSibling}
	tests := []struct {
		name           string
		from           []netip.AddrPort
		openings, data int
		outcome        inband.ProbeOutcome
		want           inband.Action
	}{
		{"openings of two VMs, no probe", both, 5, 0, inband.Inconclusive, inband.Forward},
		{"openings and data of two VMs, the target answers", both, 5, 5, inband.Answered, inband.Forward},
		{"openings of two VMs, the target is silent", both, 5, 0, inband.Silent, inband.Reset},
		{"data of one VM, the target is silent", both[:1], 0, 1, inband.Silent, inband.Reset},
		{"data of one VM, the target refuses", both[:1], 0, 1, inband.Refused, inband.Reset},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newEngine(target("i-1", "a"))
			tag := openFlow(e, 1, feedAddress)
			e.Handle(1000, data(1, feedAddress, tag, 101, 500))
			for _, from := range tt.from {
				e.ReceiveSuspicions(1100, from, "a", []inband.Suspicion{{ID: "i-1", OpeningTimeouts: tt.openings, DataTimeouts: tt.data}})
			}
			is.Equal(probeSuspects(e, 1110, tt.outcome), 1)
			is.Equal(e.Handle(1200, data(1, feedAddress, tag, 101, 500)).Action, tt.want)
		})
	}
}

// Reports keep new flows away, but no VM resets a flow for them.
func TestReportsKeepNewFlowsAway(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"))
	tag := openFlow(e, 1, feedAddress)
	e.ReplaceView(tables(1), published(target("i-1", "a"), target("i-2", "a")))
	e.Handle(1000, data(1, feedAddress, tag, 101, 500))
	for _, from := range []netip.AddrPort{sibling, secondSibling} {
		e.ReceiveSuspicions(1100, from, "a", []inband.Suspicion{{ID: "i-1", OpeningTimeouts: 2, DataTimeouts: 2}})
	}
	e.Handle(1200, data(1, feedAddress, tag, 101, 500))
	is.Equal(e.Handle(1600, data(1, feedAddress, tag, 101, 500)).Action, inband.Forward)
	for client := range 5 {
		is.Equal(e.Handle(1600, opening(10+client, feedAddress, 0)).Backend.Target().ID, "i-2")
	}
}

// Reports expire: a target that timed out for other VMs some time ago may be back, and is not probed.
func TestStaleReportsCauseNoProbe(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"))
	for _, from := range []netip.AddrPort{sibling, secondSibling} {
		e.ReceiveSuspicions(1000, from, "a", []inband.Suspicion{{ID: "i-1", OpeningTimeouts: 1}})
	}
	is.Equal(len(e.SuspectsToProbe(3500, always)), 1)
	is.Equal(len(e.SuspectsToProbe(4000, always)), 0)
}

// Each timeout is reported once, so that the VMs that probe the target hear of it.
func TestTimeoutsAreReportedOnce(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"))
	tag := openFlow(e, 1, feedAddress)
	e.Handle(1000, data(1, feedAddress, tag, 101, 500))
	e.Handle(1200, data(1, feedAddress, tag, 101, 500))
	is.Equal(e.TakeSuspicions(1210), []inband.Suspicion{{ID: "i-1", DataTimeouts: 1}})
	is.Equal(len(e.TakeSuspicions(1400)), 0)
	e.Handle(1410, opening(2, feedAddress, 0))
	e.Handle(1610, opening(2, feedAddress, 1))
	is.Equal(e.TakeSuspicions(1620), []inband.Suspicion{{ID: "i-1", OpeningTimeouts: 1, DataTimeouts: 1}})
	is.Equal(e.Suspects(), 1)
}

// A VM whose local targets are all unresponsive has a broken link and must report none of them.
func TestNoSuspicionsWhenAllLocalTargetsAreUnresponsive(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"), target("i-2", "a"))
	for client := range 4 {
		e.Handle(0, opening(client, feedAddress, 0))
	}
	for client := range 4 {
		e.Handle(200, opening(client, feedAddress, 1))
	}
	is.Equal(e.Suspects(), 2)
	is.Equal(len(e.TakeSuspicions(210)), 0)
}

// The same if no opening was sent: data of two flows that timed out makes a target seem unresponsive, data of
// one flow may have a slow answer.
func TestNoSuspicionsWhenDataOfAllLocalTargetsTimesOut(t *testing.T) {
	for _, flows := range []int{1, 2} {
		t.Run(fmt.Sprintf("%d flows of each target", flows), func(t *testing.T) {
			is := is.New(t)
			e := newEngine(target("i-1", "a"), target("i-2", "a"))
			for _, at := range []clock.Millis{1000, 1200} {
				for flow := range flows {
					e.Handle(at, data(10+flow, feedAddress, inband.TagOf("i-1"), 101, 500))
					e.Handle(at, data(20+flow, feedAddress, inband.TagOf("i-2"), 101, 500))
				}
			}
			is.Equal(len(e.TakeSuspicions(1210)) > 0, flows == 1)
		})
	}
}
