package inband_test

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/inband"
)

var secondSibling = netip.MustParseAddrPort("10.1.0.12:7720")

// siblingReport is what a sibling reports about target i-1.
type siblingReport struct {
	from           netip.AddrPort
	openings, data int
}

// Where many VMs share many targets, few VMs see two flows of the same target
// (kinarez-ist-grown trouble-2: 382 feeds of 27 dead targets ran until their deadlines).
// Reports of several VMs together show that a target is dead; those of one VM, or few flows
// with unanswered data, do not.
func TestSuspicionsOfSeveralVMsCombine(t *testing.T) {
	tests := []struct {
		name    string
		reports []siblingReport
		want    inband.Action
	}{
		{"an opening and data of two VMs", []siblingReport{{sibling, 1, 0}, {secondSibling, 0, 1}}, inband.Reset},
		{"openings of two VMs", []siblingReport{{sibling, 1, 0}, {secondSibling, 1, 0}}, inband.Reset},
		{"much data of two VMs", []siblingReport{{sibling, 0, 2}, {secondSibling, 0, 1}}, inband.Reset},
		{"little data of two VMs", []siblingReport{{sibling, 0, 1}, {secondSibling, 0, 1}}, inband.Forward},
		{"many signs of one VM", []siblingReport{{sibling, 2, 3}}, inband.Forward},
		{"repeated reports of one VM", []siblingReport{{sibling, 1, 0}, {sibling, 1, 1}, {sibling, 2, 1}}, inband.Forward},
		{"no reports", nil, inband.Forward},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newEngine(target("i-1", "a"))
			tag := openFlow(e, 1, feedAddress)
			e.Handle(1000, data(1, feedAddress, tag, 101, 500))
			for _, r := range tt.reports {
				e.ReceiveSuspicions(1100, r.from, "a", []inband.Suspicion{{ID: "i-1", OpeningTimeouts: r.openings, DataTimeouts: r.data}})
			}
			is.Equal(e.Handle(1200, data(1, feedAddress, tag, 101, 500)).Action, inband.Forward) // too early
			is.Equal(e.Handle(1600, data(1, feedAddress, tag, 101, 500)).Action, tt.want)
		})
	}
}

// Reports expire: a target that timed out for other VMs some time ago may be back.
func TestStaleReportsAreNoSigns(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"))
	tag := openFlow(e, 1, feedAddress)
	e.ReceiveSuspicions(1000, sibling, "a", []inband.Suspicion{{ID: "i-1", OpeningTimeouts: 1}})
	e.ReceiveSuspicions(1000, secondSibling, "a", []inband.Suspicion{{ID: "i-1", OpeningTimeouts: 1}})
	e.Handle(4000, data(1, feedAddress, tag, 101, 500))
	e.Handle(4200, data(1, feedAddress, tag, 101, 500))
	is.Equal(e.Handle(4600, data(1, feedAddress, tag, 101, 500)).Action, inband.Forward)
}

// Waiting data is reported once, when it has waited for longer than any request takes.
func TestStuckDataIsReportedOnce(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"))
	tag := openFlow(e, 1, feedAddress)
	e.Handle(1000, data(1, feedAddress, tag, 101, 500))
	e.Handle(1200, data(1, feedAddress, tag, 101, 500))
	is.Equal(len(e.TakeSuspicions(1210)), 0)
	is.Equal(e.TakeSuspicions(1360), []inband.Suspicion{{ID: "i-1", DataTimeouts: 1}})
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
