package spread

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

const (
	// marginFraction is the fraction of the target latency by which requests may wait longer in the own
	// failure domain than elsewhere: bytes between failure domains are expensive.
	marginFraction = 0.25
	// sharePerSecond is how fast the share changes at most. The news of its effect is late, and a faster
	// one would swing.
	sharePerSecond = 0.5
	// fullExcess is the excess, in margins beyond the margin, at which the share changes fastest.
	fullExcess = 3.0
	// maxStep is the longest time that counts between two updates.
	maxStep = 500 * clock.Millisecond
)

// Spill controls which share of the new flows to a pool leaves this VM's failure domain. The share grows
// while requests are expected to wait longer here than elsewhere, by more than a margin, and declines
// while they are not. The zero value keeps all flows.
type Spill struct {
	share     float64
	updatedAt clock.Millis
}

// Update compares the pool's targets in the own failure domain with those in the others. The margin is in
// milliseconds.
func (s *Spill) Update(now clock.Millis, own, others load.Pool, margin float64) {
	seconds := float64(min(now-s.updatedAt, maxStep)) / float64(clock.Second)
	s.updatedAt = now
	if margin <= 0 || others.Targets == 0 {
		s.share = 0
		return
	}
	change := (excess(own, others) - margin) / (fullExcess * margin)
	s.share += sharePerSecond * seconds * max(-1, min(1, change))
	s.share = max(0, min(1, s.share))
}

// Share returns the fraction of new flows that leave the domain.
func (s *Spill) Share() float64 { return s.share }

// excess returns by how many milliseconds one more request is expected to be answered later in the own
// domain. If nothing finishes elsewhere, requests are expected to be processed as fast as here.
func excess(own, others load.Pool) float64 {
	elsewhere := others.ResponseTime()
	if elsewhere == 0 {
		elsewhere = own.Work.ServiceTime(own.Slots)
	}
	return own.ResponseTime() - elsewhere
}

// Margin returns by how many milliseconds requests may wait longer in the own domain than elsewhere. It is
// at most one service time, because the queue of a target holds only some requests, however patient the
// callers are. That is also the margin if their target latency is unknown.
func Margin(targetLatency clock.Millis, serviceTime float64) float64 {
	if targetLatency <= 0 {
		return serviceTime
	}
	return min(marginFraction*float64(targetLatency), serviceTime)
}
