package spread

import (
	"iter"
	"math"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

const (
	// pacePrior is the number of requests at the usual pace that are assumed in addition to what was seen, so that
	// few requests do not make a target look slow.
	pacePrior = 2.0
	// paceRequests is how many usual service times of occupied slots are remembered. Requests vary, and the mean
	// of fewer says little.
	paceRequests = 20.0
	// paceMemory is the time in which what is remembered fades to about a third without new requests. Slow targets
	// get few, and would otherwise look usual to all VMs at once, again and again.
	paceMemory = 3 * clock.Second
	// slowFactor is how many times as long as the mean of all a target takes that does not count as usual.
	slowFactor = 2.0
)

// Pace is how fast a target worked lately, as far as this VM knows. It is forgotten by new requests or, more slowly,
// by time. The zero value knows nothing.
type Pace struct {
	occupied  float64 // milliseconds in which slots were occupied
	finished  float64 // requests that finished meanwhile
	updatedAt clock.Millis
}

// Add adds the requests seen since the last call. All work is what all VMs together are believed to have
// at the target, and usual the usual service time in milliseconds.
func (p *Pace) Add(now clock.Millis, seen, all load.Work, slots int, usual float64) {
	elapsed := float64(min(now-p.updatedAt, maxStep))
	occupied := elapsed * seen.Busy
	if all.Busy > float64(slots) {
		occupied *= float64(slots) / all.Busy // the rest waits
	}
	kept := p.kept(now)
	if usual > 0 {
		kept /= 1 + occupied/(paceRequests*usual)
	}
	p.occupied = kept*p.occupied + occupied
	p.finished = kept*p.finished + elapsed*seen.Finished/float64(clock.Second)
	p.updatedAt = now
}

// Slowdown returns how many times as long as usual the target takes for a request, at least 1. A target that seems
// faster than usual may be one that refuses its requests.
func (p *Pace) Slowdown(now clock.Millis, usual float64) float64 {
	if usual <= 0 || p.occupied == 0 {
		return 1
	}
	kept := p.kept(now)
	serviceTime := (kept*p.occupied + pacePrior*usual) / (kept*p.finished + pacePrior)
	return max(1, serviceTime/usual)
}

// kept returns the part of what was seen that still counts.
func (p *Pace) kept(now clock.Millis) float64 {
	return math.Exp(-float64(now-p.updatedAt) / float64(paceMemory))
}

// UsualServiceTime returns the mean service time in milliseconds of targets by their paces, without those that
// are slow, or zero if nothing is known.
func UsualServiceTime(now clock.Millis, paces iter.Seq[*Pace]) float64 {
	return meanServiceTime(now, paces, slowFactor*meanServiceTime(now, paces, math.MaxFloat64))
}

// meanServiceTime returns the mean service time of the targets that take no longer than a limit. Targets that finish
// nothing do not count, and those without requests for some time count little.
func meanServiceTime(now clock.Millis, paces iter.Seq[*Pace], limit float64) float64 {
	occupied, finished := 0.0, 0.0
	for p := range paces {
		if p.finished > 0 && p.occupied <= limit*p.finished {
			kept := p.kept(now)
			occupied += kept * p.occupied
			finished += kept * p.finished
		}
	}
	if finished == 0 {
		return 0
	}
	return occupied / finished
}
