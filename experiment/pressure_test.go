package experiment_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/experiment"
	"github.com/almondflow/almondflow/inband"
)

// Bounds that callers need under too little room.
const (
	minUrgentInTime = 0.98 // share of the urgent requests that are answered in time while the room suffices for them
	minRoomUsed     = 0.95 // less urgent requests served, of those that the room left by urgent and earlier ones allows
	// maxBesideRoom is a share of the requests that a target sheds while another has a free slot, as news is late. Free
	// slots in drained domains are no room.
	maxBesideRoom = 0.01
)

// pressureSize is a deployment of fifty VMs whose targets are two fifths busy.
func pressureSize() experiment.Size {
	return experiment.Size{
		Domains: 5, VMs: 10, Targets: 12, QueriesPerSecond: 100, HoldsPerSecond: 48, ProcessingTime: 60,
		TargetLatency: 400, Deadline: 3 * clock.Second, Duration: 13 * clock.Second,
		EndsShedFlows: true, SharesLoad: true, RefusesByUrgency: true,
	}
}

// The load of each pattern lasts from the third to the eleventh second, and further faults begin within it.
const (
	pressureStart = 3 * clock.Second
	pressureTime  = 8 * clock.Second
	faultStart    = 5 * clock.Second
	faultTime     = 3 * clock.Second
)

// pressing returns a fault that lasts as long as the load.
func pressing(kind experiment.FaultKind, domain int, share float64) experiment.Fault {
	return experiment.Fault{Kind: kind, At: pressureStart, For: pressureTime, Domain: domain, Share: share}
}

// failing returns a fault that happens under the load.
func failing(kind experiment.FaultKind, domain int, share float64) experiment.Fault {
	return experiment.Fault{Kind: kind, At: faultStart, For: faultTime, Domain: domain, Share: share}
}

// oneKindPresses is what the failures of one thing at a time come on top of.
var oneKindPresses = pressing(experiment.QueryBurst, 0, 3)

// pressure is a named load with the share of the targets' capacity that remains.
type pressure struct {
	name   string
	room   float64
	faults []experiment.Fault
}

var pressures = []pressure{
	{"one kind presses", 1, []experiment.Fault{oneKindPresses}},
	{"one domain presses", 1, []experiment.Fault{pressing(experiment.DomainBurst, 2, 4)}},
	{"a domain drained under load", 0.8, []experiment.Fault{pressing(experiment.DrainDomain, 1, 0), oneKindPresses}},
	{"targets unequal", 0.775, []experiment.Fault{pressing(experiment.SlowTargets, 0, 0.25), oneKindPresses}},
	{"a crowd comes back", 1, []experiment.Fault{
		{Kind: experiment.KillVMs, At: pressureStart - clock.Second, For: clock.Second, Share: 1}, oneKindPresses,
	}},
	{"full targets beside failing ones", 0.95, []experiment.Fault{pressing(experiment.FailTargets, 0, 0.1), oneKindPresses}},
	{"all at once", 0.6, []experiment.Fault{
		pressing(experiment.DrainDomain, 1, 0), pressing(experiment.SlowTargets, 0, 0.15), pressing(experiment.FailTargets, 0, 0.1),
		pressing(experiment.DomainBurst, 2, 1), pressing(experiment.QueryBurst, 0, 2),
	}},
	{"reporters killed", 1, []experiment.Fault{oneKindPresses, failing(experiment.KillVMs, 0, 0.1)}},
	{"a link fails one way", 1, []experiment.Fault{oneKindPresses, failing(experiment.PartitionOneWay, 1, 0)}},
	{"the store is away", 1, []experiment.Fault{oneKindPresses, failing(experiment.StoreDown, 0, 0)}},
	{"a VM stands still", 1, []experiment.Fault{oneKindPresses, failing(experiment.PauseVMs, 0, 0.02)}},
	{"half of the messages lost", 1, []experiment.Fault{oneKindPresses, failing(experiment.LoseMessages, 0, 0.5)}},
	{"all messages lost", 1, []experiment.Fault{oneKindPresses, failing(experiment.LoseMessages, 0, 1)}},
}

// pressureResult holds what the bounds are about.
type pressureResult struct {
	urgentInTime, roomUsed, besideRoom float64
}

func playPressure(t *testing.T, size experiment.Size, p pressure) pressureResult {
	report := experiment.Run(size, experiment.Pattern{Name: p.name, Faults: p.faults}, "shared", inband.Shared{}, 1)
	slots := float64(2 * size.Domains * size.Targets)
	capacity := p.room * slots * float64(pressureTime) / float64(size.ProcessingTime)
	pressed := report.Pressed
	r := pressureResult{
		urgentInTime: float64(pressed.HoldsInTime) / float64(pressed.Holds),
		roomUsed:     float64(pressed.OthersServed) / min(float64(pressed.Others), capacity-float64(pressed.HoldsServed+pressed.EarlierServed)),
		besideRoom:   float64(report.ShedBesideRoom) / float64(report.Requests),
	}
	t.Logf("urgent in time %.3f, room used %.3f, shed beside room %.3f; %d of %d others served, %d shed, %d refused",
		r.urgentInTime, r.roomUsed, r.besideRoom, pressed.OthersServed, pressed.Others, report.Shed, report.Refused)
	return r
}

// TestPressure checks the bounds under each named load, each bound as a test of its own.
func TestPressure(t *testing.T) {
	for _, p := range pressures {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			r := playPressure(t, pressureSize(), p)
			t.Run("urgent in time", func(t *testing.T) { is.New(t).True(r.urgentInTime >= minUrgentInTime) })
			t.Run("room used", func(t *testing.T) { is.New(t).True(r.roomUsed >= minRoomUsed) })
			t.Run("nothing shed beside room", func(t *testing.T) { is.New(t).True(r.besideRoom <= maxBesideRoom) })
		})
	}
}

// TestUrgentBoundNeedsAdmissionByUrgency shows that the bound of urgent requests needs admission by urgency: the rule that
// goes by this VM's own count and a fixed latency refuses nothing there.
func TestUrgentBoundNeedsAdmissionByUrgency(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	size := pressureSize()
	size.SharesLoad, size.RefusesByUrgency = false, false
	is.True(playPressure(t, size, pressures[0]).urgentInTime < minUrgentInTime)
}
