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
	openings, data []inband.ClientID
}

func (r siblingReport) suspicion() inband.Suspicion {
	return inband.Suspicion{
		ID: "i-1", OpeningTimeouts: len(r.openings), DataTimeouts: len(r.data), OpeningClients: r.openings, DataClients: r.data,
	}
}

// ownClient is the id of the client with number 1, clients are ids of others.
const ownClient inband.ClientID = 51635

func clients(ids ...inband.ClientID) []inband.ClientID { return ids }

// Where many VMs share many targets, few VMs see two flows of the same target
// (kinarez-ist-grown trouble-2: 382 feeds of 27 dead targets ran until their deadlines).
// Reports of several VMs together show that a target is dead; those of one VM, of few clients with
// unanswered data, or of the same client at several VMs do not.
func TestSuspicionsOfSeveralVMsCombine(t *testing.T) {
	tests := []struct {
		name    string
		reports []siblingReport
		want    inband.Action
	}{
		{"an opening and data of two VMs", []siblingReport{{sibling, clients(1), nil}, {secondSibling, nil, clients(2)}}, inband.Reset},
		{"openings of two VMs", []siblingReport{{sibling, clients(1), nil}, {secondSibling, clients(2), nil}}, inband.Reset},
		{"much data of two VMs", []siblingReport{{sibling, nil, clients(1, 2)}, {secondSibling, nil, clients(3)}}, inband.Reset},
		{"little data of two VMs", []siblingReport{{sibling, nil, clients(1)}, {secondSibling, nil, clients(2)}}, inband.Forward},
		{"many signs of one VM", []siblingReport{{sibling, clients(1, 2), clients(3, 4, 5)}}, inband.Forward},
		{"repeated reports of one VM", []siblingReport{{sibling, clients(1), nil}, {sibling, clients(1), clients(2)}, {sibling, clients(1, 3), clients(2)}}, inband.Forward},
		{"one client at two VMs", []siblingReport{{sibling, clients(1), clients(1)}, {secondSibling, clients(1), nil}}, inband.Forward},
		{"the client that waits here", []siblingReport{{sibling, clients(ownClient), nil}, {secondSibling, clients(1), nil}}, inband.Forward},
		{"no reports", nil, inband.Forward},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newEngine(target("i-1", "a"))
			tag := openFlow(e, 1, feedAddress)
			e.Handle(1000, data(1, feedAddress, tag, 101, 500))
			for _, r := range tt.reports {
				e.ReceiveSuspicions(1100, r.from, "a", []inband.Suspicion{r.suspicion()})
			}
			is.Equal(e.Handle(1200, data(1, feedAddress, tag, 101, 500)).Action, inband.Forward) // too early
			is.Equal(e.Handle(1600, data(1, feedAddress, tag, 101, 500)).Action, tt.want)
		})
	}
}

// VMs of earlier versions name no clients. Their reports keep new flows away, and are no signs of a
// target's death, as they may all be about one client.
func TestReportsWithoutClientsAreNoSigns(t *testing.T) {
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

// Reports expire: a target that timed out for other VMs some time ago may be back.
func TestStaleReportsAreNoSigns(t *testing.T) {
	is := is.New(t)
	e := newEngine(target("i-1", "a"))
	tag := openFlow(e, 1, feedAddress)
	e.ReceiveSuspicions(1000, sibling, "a", []inband.Suspicion{siblingReport{openings: clients(1)}.suspicion()})
	e.ReceiveSuspicions(1000, secondSibling, "a", []inband.Suspicion{siblingReport{openings: clients(2)}.suspicion()})
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
	is.Equal(e.TakeSuspicions(1360), []inband.Suspicion{siblingReport{data: clients(ownClient)}.suspicion()})
	is.Equal(len(e.TakeSuspicions(1400)), 0)
	e.Handle(1410, opening(2, feedAddress, 0))
	e.Handle(1610, opening(2, feedAddress, 1))
	is.Equal(e.TakeSuspicions(1620), []inband.Suspicion{siblingReport{openings: clients(50810), data: clients(ownClient)}.suspicion()})
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
