// Package load estimates how much work targets have from what this entry VM forwards and from what the
// others report. It decides nothing: package spread chooses targets and package admission refuses
// openings by its estimates.
package load

import "github.com/almondflow/almondflow/clock"

// Work is the work that entry VMs have at one target, or at all targets of a pool in a failure domain.
// Amounts of several VMs add up.
type Work struct {
	Busy     float64 `json:"busy"`     // requests under way, averaged over some hundred milliseconds
	Finished float64 `json:"finished"` // requests finished per second
	Flows    float64 `json:"flows"`    // open flows, busy or idle
}

// Add returns the sum of two amounts of work.
func (w Work) Add(other Work) Work {
	return Work{Busy: w.Busy + other.Busy, Finished: w.Finished + other.Finished, Flows: w.Flows + other.Flows}
}

// Scale returns the work times a factor.
func (w Work) Scale(factor float64) Work {
	return Work{Busy: w.Busy * factor, Finished: w.Finished * factor, Flows: w.Flows * factor}
}

// IsStalled reports whether requests are under way, but none finishes.
func (w Work) IsStalled() bool { return w.Busy > 0 && w.Finished <= 0 }

// ServiceTime returns the mean time in milliseconds that one of the slots is occupied by a request, by
// the utilization law, or zero while no request finishes. Times on the way to the client count as
// well while slots are free.
func (w Work) ServiceTime(slots int) float64 {
	if w.Finished <= 0 {
		return 0
	}
	return float64(clock.Second) * min(w.Busy, float64(slots)) / w.Finished
}

// ResponseTime returns the expected time in milliseconds until one more request is answered: it waits
// until a slot is free, and is processed then. It is zero while no request finishes.
func (w Work) ResponseTime(slots int) float64 {
	return w.ServiceTime(slots) * max(1, (w.Busy+1)/float64(max(1, slots)))
}
