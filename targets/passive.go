package targets

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/placement"
)

const (
	// minOpenings is the number of openings that are needed for a result.
	minOpenings = 5
	// minResultInterval is the minimum time between two results, so that two bad results in
	// a row mean more than one short disturbance.
	minResultInterval = 1 * clock.Second
	// maxCountingTime is how long openings are counted if there are too few for a result.
	maxCountingTime = 30 * clock.Second
	// badResultsToEject is the number of bad results in a row that eject a target.
	badResultsToEject = 2
	// goodDivisor limits the failed openings of a good result to one in goodDivisor.
	goodDivisor = 5
	// badDivisor makes a result bad if at least one in badDivisor openings failed. Between
	// the two limits it is inconclusive.
	badDivisor = 2
	// unresponsiveFlowsPerVM is the number of flows per entry VM that, placed on a target
	// without any packet from it, count as a bad result. It is per VM because the target's
	// replies may pass any of the VMs.
	unresponsiveFlowsPerVM = 4
	// minUnresponsiveTime is the minimum time without a packet from the target for such a
	// bad result.
	minUnresponsiveTime = 3 * clock.Second
	// goodResultTTL is how long a good result outweighs failed probes.
	goodResultTTL = 10 * clock.Second
	// initialBackoff is the duration of the first ejection. Each further ejection without
	// a good result in between doubles it.
	initialBackoff = 10 * clock.Second
	// maxBackoff is the longest duration of an ejection.
	maxBackoff = 5 * clock.Minute
)

// passiveHealth derives the health of one target from its flows. Each result rates the
// openings counted since the last one as good, bad or inconclusive. An unresponsive target
// has a bad result without any openings being counted.
type passiveHealth struct {
	// countingSince is when the counts below began, and nextResultAt the earliest time of
	// the next result.
	countingSince clock.Millis
	nextResultAt  clock.Millis
	answered      int64
	resets        int64
	unanswered    int64

	badStreak uint8
	// ejections counts the ejections since the last good result.
	ejections uint8
	down      bool
	// mostlyUnanswered is set if the last bad result was caused by unanswered openings
	// more than by resets.
	mostlyUnanswered bool
	// ejectedUntil is when an ejected target is readmitted.
	ejectedUntil clock.Millis
	// lastGoodAt is the time of the last good result.
	lastGoodAt    clock.Millis
	hasGoodResult bool

	// lastReplyAt is when a packet from the target was last seen or evidence was first
	// added, and unrepliedFlows is the number of flows placed since then.
	lastReplyAt    clock.Millis
	hasReplied     bool
	unrepliedFlows int64
}

// addReplies adds the evidence that needs no connection state: whether the target sends
// any packets.
func (p *passiveHealth) addReplies(now clock.Millis, t *placement.Tally) {
	if p.lastReplyAt == 0 {
		p.lastReplyAt = now
	}
	if t.Replied() {
		p.hasReplied, p.lastReplyAt, p.unrepliedFlows = true, now, 0
		return
	}
	p.unrepliedFlows += t.Placed()
}

// isUnresponsive reports whether flows are placed on the target but it sends no packets.
func (p *passiveHealth) isUnresponsive(now clock.Millis, vms int) bool {
	return now-p.lastReplyAt >= minUnresponsiveTime && !p.down && p.unrepliedFlows >= int64(unresponsiveFlowsPerVM*max(vms, 1))
}

// recordUnresponsive records a bad result for an unresponsive target and reports whether
// the state changed.
func (p *passiveHealth) recordUnresponsive(now clock.Millis) bool {
	p.unrepliedFlows = 0
	return p.recordBad(now, true)
}

// add adds evidence and reports whether the state changed.
func (p *passiveHealth) add(now clock.Millis, t *placement.Tally) bool {
	if now-p.countingSince > maxCountingTime {
		p.clear(now)
	}
	p.answered += t.Answered()
	p.resets += t.Resets()
	p.unanswered += t.Unanswered()
	failures := p.resets + p.unanswered
	openings := p.answered + failures
	if openings < minOpenings || now < p.nextResultAt {
		return false
	}
	mostlyUnanswered := p.unanswered > p.resets
	p.nextResultAt = now + minResultInterval
	p.clear(now)
	switch {
	case failures*goodDivisor <= openings:
		return p.recordGood(now)
	case failures*badDivisor >= openings:
		return p.recordBad(now, mostlyUnanswered)
	default:
		p.badStreak = 0
		return false
	}
}

func (p *passiveHealth) clear(now clock.Millis) {
	p.countingSince, p.answered, p.resets, p.unanswered = now, 0, 0, 0
}

func (p *passiveHealth) recordGood(now clock.Millis) bool {
	changed := p.down || !p.isAnswering(now)
	p.hasGoodResult, p.lastGoodAt = true, now
	p.badStreak, p.ejections, p.down = 0, 0, false
	return changed
}

func (p *passiveHealth) recordBad(now clock.Millis, mostlyUnanswered bool) bool {
	hadGoodResult := p.hasGoodResult
	p.hasGoodResult, p.mostlyUnanswered = false, mostlyUnanswered
	if p.down {
		return hadGoodResult
	}
	p.badStreak++
	if p.badStreak < badResultsToEject {
		return hadGoodResult
	}
	p.down, p.badStreak = true, 0
	p.ejectedUntil = now + min(initialBackoff<<min(p.ejections, 10), maxBackoff)
	p.ejections = min(p.ejections+1, 10)
	return true
}

// isAnswering reports whether the target has had a recent good result.
func (p *passiveHealth) isAnswering(now clock.Millis) bool {
	return p.hasGoodResult && now-p.lastGoodAt <= goodResultTTL
}

// endEjection readmits the target if its ejection is over and reports whether the state
// changed.
func (p *passiveHealth) endEjection(now clock.Millis) bool {
	if !p.down || now < p.ejectedUntil {
		return false
	}
	p.readmit()
	return true
}

// readmit ends the ejection of a target and puts it on probation: one more bad result
// ejects it again.
func (p *passiveHealth) readmit() {
	p.down, p.badStreak = false, badResultsToEject-1
}
