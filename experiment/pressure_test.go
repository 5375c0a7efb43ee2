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
	minRoomUsed     = 0.95 // less urgent requests served, of those that the room left by the urgent ones allows
)

// pressureSize is a deployment of fifty VMs whose targets are two fifths busy.
func pressureSize() experiment.Size {
	return experiment.Size{
		Domains: 5, VMs: 10, Targets: 12, QueriesPerSecond: 100, HoldsPerSecond: 48, ProcessingTime: 60,
		TargetLatency: 400, Deadline: 3 * clock.Second, Duration: 13 * clock.Second,
		EndsShedFlows: true, SharesLoad: true, RefusesByUrgency: true,
	}
}

// The load of each pattern lasts from the third to the eleventh second.
const (
	pressureStart = 3 * clock.Second
	pressureTime  = 8 * clock.Second
)

// pressing returns a fault that lasts as long as the load.
func pressing(kind experiment.FaultKind, domain int, share float64) experiment.Fault {
	return experiment.Fault{Kind: kind, At: pressureStart, For: pressureTime, Domain: domain, Share: share}
}

// pressurePatterns are the named loads of admission by urgency, each with the share of the slots that remain.
var pressurePatterns = []struct {
	name   string
	faults []experiment.Fault
	room   float64
}{
	{"one kind presses", []experiment.Fault{pressing(experiment.QueryBurst, 0, 3)}, 1},
	{"one kind presses, a domain drained", []experiment.Fault{
		pressing(experiment.DrainDomain, 1, 0), pressing(experiment.QueryBurst, 0, 3),
	}, 0.8},
	{"one kind presses, targets unequal", []experiment.Fault{
		pressing(experiment.SlowTargets, 0, 0.25), pressing(experiment.QueryBurst, 0, 2.5),
	}, 0.775},
}

func TestUrgentRequestsUnderPressure(t *testing.T) {
	for _, tt := range pressurePatterns {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			size := pressureSize()
			report := experiment.Run(size, experiment.Pattern{Name: tt.name, Faults: tt.faults}, "local", inband.Local{}, 1)
			p := report.Pressed
			slots := float64(2 * size.Domains * size.Targets)
			capacity := tt.room * slots * float64(pressureTime) / float64(size.ProcessingTime)
			allowed := min(float64(p.Others), capacity-float64(p.HoldsServed))
			urgent, used := float64(p.HoldsInTime)/float64(p.Holds), float64(p.OthersServed)/allowed
			t.Logf("urgent in time %.3f of %d, room used %.3f, others served %.3f, shed %d, beside room %d, refused %d", urgent, p.Holds, used, float64(p.OthersServed)/float64(p.Others), report.Shed, report.ShedBesideRoom, report.Refused)
			is.True(urgent >= minUrgentInTime)
			is.True(used >= minRoomUsed)
		})
	}
}
