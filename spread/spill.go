package spread

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

const (
	// marginFraction is the fraction of the target latency by which requests may wait longer in the own
	// failure domain than elsewhere: bytes between failure domains are expensive.
	marginFraction = 0.1
	// sharePerSecond is how fast the share changes at most. The news of its effect is late, and a faster
	// one would swing.
	sharePerSecond = 0.25
	// maxStep is the longest time that counts between two updates.
	maxStep = 500 * clock.Millisecond
)

// Spill controls which share of the new flows to a pool leaves this VM's failure domain. The share grows
// while requests are expected to wait longer here than elsewhere, by more than a margin, and declines
// while they are not. While no request finishes in the own domain it stays. The zero value keeps all flows.
type Spill struct {
	share     float64
	updatedAt clock.Millis
}

// Update compares the pool's targets in the own failure domain with those in the others. The margin is in
// milliseconds.
func (s *Spill) Update(now clock.Millis, own, others load.DomainPool, margin float64) {
	seconds := float64(min(now-s.updatedAt, maxStep)) / float64(clock.Second)
	s.updatedAt = now
	if others.Targets == 0 {
		s.share = 0
		return
	}
	if own.Work.IsStalled() {
		return // how long requests wait is unknown
	}
	if margin <= 0 {
		s.share = 0
		return
	}
	change := (excess(own, others) - margin) / margin
	if others.Work.IsStalled() {
		change = -1
	}
	s.share += sharePerSecond * seconds * max(-1, min(1, change))
	s.share = max(0, min(1, s.share))
}

// Share returns the fraction of new flows that leave the domain.
func (s *Spill) Share() float64 { return s.share }

// excess returns by how many milliseconds one more request is expected to wait longer in the own domain. Only
// waits for slots are compared, because the time on the way to clients counts in response times as well, but
// not while all slots are occupied.
func excess(own, others load.DomainPool) float64 { return wait(own) - wait(others) }

// wait returns the expected time in milliseconds until one more request gets a slot, if requests are spread
// evenly over the pool's targets.
func wait(p load.DomainPool) float64 { return p.ResponseTime() - p.Work.ServiceTime(p.Slots) }

// Margin returns by how many milliseconds requests may wait longer in the own domain than elsewhere. It is
// at most one service time, because the queue of a target holds only some requests, however patient the
// callers are. That is also the margin if their target latency is unknown.
func Margin(targetLatency clock.Millis, serviceTime float64) float64 {
	if targetLatency <= 0 {
		return serviceTime
	}
	return min(marginFraction*float64(targetLatency), serviceTime)
}
