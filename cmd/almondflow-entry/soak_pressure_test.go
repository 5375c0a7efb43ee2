package main

import (
	"slices"
	"testing"
	"time"

	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/platform/standin"
)

const (
	urgentPriority = 1 // of bookings, in the stand-in's tables
	slotsPerHost   = 1 // half as many slots as clients, so that these compete if requests take long
	// pressingWorkTime is how long requests take while callers press. With another one before it, a request takes longer
	// than the urgent callers' target latency allows.
	pressingWorkTime = 50 * time.Millisecond
)

// pressureFaults make requests take long, or no time. The first counts twice, so that it is met often.
var pressureFaults = []fault{
	{"press", func(s *soak, _ *entryVM) { s.setWorkTime(pressingWorkTime) }},
	{"press", func(s *soak, _ *entryVM) { s.setWorkTime(pressingWorkTime) }},
	{"ease", func(s *soak, _ *entryVM) { s.setWorkTime(0) }},
}

// TestPressureSoak is a soak whose callers compete for too little room at times, in two kinds of which one is more
// urgent.
func TestPressureSoak(t *testing.T) {
	s := newPressureSoak(t)
	s.keepsFlowsAtVMs = true
	s.run()
}

// TestSprayedPressureSoak is the same with a fabric that hands each packet to any VM, so that a VM does not see which
// requests of a flow have been answered.
func TestSprayedPressureSoak(t *testing.T) { newPressureSoak(t).run() }

func newPressureSoak(t *testing.T) *soak {
	t.Helper()
	s := newSoak(t)
	s.kinds = slices.Concat(soakFaults, pressureFaults)
	s.rules += ",pressure"
	s.pressure.isLimited = true
	return s
}

// soakPressure is how callers compete for room.
type soakPressure struct {
	isLimited bool          // hosts have few slots
	workTime  time.Duration // of a request
	refused   int           // openings, as the VMs' status showed
}

// limitRoom gives a host that starts few slots if they are limited.
func (s *soak) limitRoom(host *standin.Host) {
	if s.pressure.isLimited {
		host.SetSlots(slotsPerHost)
		host.SetWorkTime(s.pressure.workTime)
	}
}

// setWorkTime sets how long requests take from now on.
func (s *soak) setWorkTime(workTime time.Duration) {
	s.pressure.workTime = workTime
	for _, h := range s.hosts {
		h.SetWorkTime(workTime)
	}
}

// checkAdmissions checks that no urgent opening was refused for lack of room, and notes the others that were.
func (s *soak) checkAdmissions(v *entryVM, pools []inband.AdmissionStatus) {
	urgent, others := 0, 0
	v.refusing = nil
	for _, pool := range pools {
		for _, share := range pool.Shares {
			if share.Priority == urgentPriority {
				urgent += share.Count
			} else {
				others += share.Count
			}
			if share.IsRefusing() {
				v.refusing = append(v.refusing, pool)
			}
		}
	}
	if urgent > v.refusedUrgent {
		s.t.Errorf("seed %d: %s refused %d urgent openings", *soakSeed, v.address, urgent)
	}
	s.pressure.refused += max(0, others-v.refused)
	v.refused, v.refusedUrgent = others, urgent
}
