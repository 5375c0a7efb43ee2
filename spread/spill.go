package spread

import (
	"math"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

const (
	// marginFraction is the fraction of the target latency by which requests may wait longer in the own
	// failure domain than elsewhere: bytes between failure domains are expensive.
	marginFraction = 0.1
	// newsRate is by how much of the difference to the wanted share it changes in a second. The news of its effect
	// is late, and a faster change would swing.
	newsRate = 1.0
	// answersRate takes its place while own answers tell that more have to leave, as they are not late.
	answersRate = 2.0
	// maxShare keeps some flows in the own domain, as their requests show what it can do.
	maxShare = 0.95
	// answersTime is the time constant with which own answers count less and less, well below the delay of the news.
	answersTime = 300 * clock.Millisecond
	// newsWeight is the number of own answers that tell as much as late news does. Fewer differ by chance.
	newsWeight = 10.0
	// maxStep is the longest time that counts between two updates.
	maxStep = 250 * clock.Millisecond
)

// Spill controls which share of the new flows to a pool leaves this VM's failure domain: as many that requests
// wait here no longer than elsewhere, but for a margin. While no request finishes in the own domain the share
// stays. The zero value keeps all flows.
type Spill struct {
	share      float64
	answers    float64 // of the last answersTime, the latest counting most
	answerTime float64 // sum of their response times in milliseconds
	updatedAt  clock.Millis
}

// Update compares the pool's targets in the own failure domain with those in the others. The margin is in
// milliseconds.
func (s *Spill) Update(now clock.Millis, own, others load.DomainPool, margin float64) {
	elapsed := s.advance(now)
	switch {
	case others.Targets == 0:
		s.share = 0
	case own.Work.IsStalled(): // how long requests wait is unknown
	case margin <= 0:
		s.share = 0
	case others.Work.IsStalled():
		s.move(elapsed, -1)
	default:
		s.move(elapsed, s.wanted(own, others, margin)-s.share)
	}
}

// Decline lets the share decline while nothing is known of the other failure domains.
func (s *Spill) Decline(now clock.Millis) { s.move(s.advance(now), -1) }

// advance returns the seconds that count since the last update. Own answers count less by all of the time.
func (s *Spill) advance(now clock.Millis) float64 {
	elapsed := now - s.updatedAt
	s.updatedAt = now
	kept := math.Exp(-float64(elapsed) / float64(answersTime))
	s.answers *= kept
	s.answerTime *= kept
	return float64(min(elapsed, maxStep)) / float64(clock.Second)
}

// move changes the share by a part of a difference.
func (s *Spill) move(seconds, difference float64) {
	rate := newsRate
	if difference > 0 && s.answers >= newsWeight {
		rate = answersRate
	}
	s.share += rate * seconds * max(-1, difference)
	s.share = max(0, min(maxShare, s.share))
}

// Observe records the response time of a request of this VM at a target in its own failure domain. Answers that come
// sooner than usual count less, as full targets refuse at once. The usual service time is in milliseconds.
func (s *Spill) Observe(responseTime clock.Millis, usual float64) {
	weight := 1.0
	if float64(responseTime) < usual {
		weight = float64(responseTime) / usual
	}
	s.answers += weight
	s.answerTime += weight * float64(responseTime)
}

// wanted returns the share by which requests would wait as long here as elsewhere, but for the margin. It is below
// zero if none has to leave. It follows the work that would be here without the share, so it stays while flows that
// left are the reason why nothing waits. News is late, so only own answers tell that more have to leave.
func (s *Spill) wanted(own, others load.DomainPool, margin float64) float64 {
	serviceTime := own.Work.ServiceTime(own.Slots)
	if serviceTime == 0 {
		return -1
	}
	limit := workAtWait(own, serviceTime, wait(others)+margin)
	waited := s.blend(own.ResponseTime()) - serviceTime
	if waited > wait(others)+margin {
		return max(s.share, 1-(1-s.share)*limit/workAtWait(own, serviceTime, waited))
	}
	return min(s.share, 1-(1-s.share)*limit/own.Work.Busy)
}

// blend returns the mean response time of own answers and of news.
func (s *Spill) blend(byNews float64) float64 {
	return (s.answerTime + newsWeight*byNews) / (s.answers + newsWeight)
}

// workAtWait returns the work at which one more request waits for a time, in milliseconds.
func workAtWait(p load.DomainPool, serviceTime, wait float64) float64 {
	return float64(max(p.Slots, p.Targets))*(1+wait/serviceTime) - float64(p.Targets)
}

// Share returns the fraction of new flows that leave the domain.
func (s *Spill) Share() float64 { return s.share }

// wait returns the expected time in milliseconds until one more request gets a slot, if requests are spread
// evenly over the pool's targets. Only waits for slots are compared, because the time on the way to clients counts
// in response times as well, but not while all slots are occupied.
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
