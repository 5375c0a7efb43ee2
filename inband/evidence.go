package inband

import "github.com/almondflow/almondflow/clock"

// Limits for evaluating targets by the packets that clients send.
const (
	// answerTimeout is how long a target has to answer before a retransmission counts as a
	// timeout. Clients retransmit after 200 ms.
	answerTimeout = 150 * clock.Millisecond
	// minRetryInterval is how long an unresponsive target gets no new flow before the first
	// retry, which sends it one new flow.
	minRetryInterval = 400 * clock.Millisecond
	// maxRetryInterval limits the interval between retries, which doubles each time.
	maxRetryInterval = 4 * clock.Second
	// ownAnswerPrecedence is how long an answer seen by this VM outweighs reports of other VMs.
	ownAnswerPrecedence = clock.Second
	// minDeadSigns is the number of independent signs at which a target counts as dead.
	minDeadSigns = 2
	// A target counts as dead if the data of minStuckFlows flows has been unanswered for
	// stuckTimeout, even if no opening timed out.
	minStuckFlows = 2
	stuckTimeout  = 350 * clock.Millisecond
	// minStuckFlowsSlow and stuckTimeoutSlow apply instead while targets are known to be slow.
	minStuckFlowsSlow = 3
	stuckTimeoutSlow  = 600 * clock.Millisecond
	// timeoutLifetime is how long a timeout counts as evidence. Clients that wait retransmit
	// their data after at most 1.6 s; the others were answered or use another VM.
	timeoutLifetime = 2500 * clock.Millisecond
	// openingTimeoutLifetime is how long the timeout of an opening counts as evidence. The next
	// retry follows after at most maxRetryInterval plus jitter.
	openingTimeoutLifetime = 5 * clock.Second
	// minReporters is the number of other VMs whose reports can together show that a target is
	// dead.
	minReporters = 2
	// minSharedSigns and minSharedData are the numbers of timed-out flows, here and at the
	// reporters, that are then required: with at least one opening among them, and with data
	// only.
	minSharedSigns = 3
	minSharedData  = 4
	// holdOffTime is how long a VM resets no flows and sends no reports after one of its
	// suspicions proved false.
	holdOffTime = 10 * clock.Second
	// slowPeriod is how long retransmitted data is weaker evidence after a late answer.
	slowPeriod = 30 * clock.Second
)

// evidence collects signs that a target is unresponsive. A running target answers openings at
// once, but acknowledges data only with its response, so retransmitted data alone may mean that
// the target is slow.
type evidence struct {
	unresponsiveSince    clock.Millis // when the first unanswered packet was sent
	openings             int          // openings that timed out since the last answer
	data                 int          // flows whose data timed out since the last answer
	lastTimeoutAt        clock.Millis // when the last timeout was detected
	lastOpeningTimeoutAt clock.Millis // when the last timeout of an opening was detected
	nextRetryAt          clock.Millis
	retryInterval        clock.Millis
	reported             int // timed-out openings and flows already reported to the other VMs
	reports              reports
	lastAnswerAt         clock.Millis
}

// recordAnswer records that a client received an answer to a packet sent at sentAt. It reports
// whether the answer refutes a suspicion based on openings.
func (e *evidence) recordAnswer(now, sentAt clock.Millis) bool {
	if e.openings+e.data > 0 && sentAt < e.unresponsiveSince {
		return false
	}
	wasSuspect := e.openings > 0
	*e = evidence{lastAnswerAt: now}
	return wasSuspect
}

// recordTimeout records a flow whose packet, sent at sentAt, was not answered in time.
func (e *evidence) recordTimeout(now, sentAt clock.Millis, isData bool, jitter clock.Millis) {
	if e.openings+e.data == 0 {
		e.unresponsiveSince, e.retryInterval = sentAt, minRetryInterval
	}
	if !e.isRecentlyUnresponsive(now) {
		e.unresponsiveSince, e.data, e.reported = sentAt, 0, min(e.reported, e.openings)
	}
	e.lastTimeoutAt = now
	if isData {
		e.data++
		return
	}
	e.openings++
	e.lastOpeningTimeoutAt = now
	if now >= e.nextRetryAt {
		e.scheduleRetry(now, jitter)
	}
}

// mergeReport adds the report of another VM. If an opening timed out there, this VM postpones
// its own retry, because the target has just been tried.
func (e *evidence) mergeReport(r report, jitter clock.Millis) {
	if r.at-e.lastAnswerAt < ownAnswerPrecedence && e.lastAnswerAt > 0 {
		return // the answer seen here is more recent evidence
	}
	if e.openings > 0 && r.openings > 0 {
		e.nextRetryAt = max(e.nextRetryAt, r.at+e.retryInterval+jitter)
	}
	e.reports.add(r)
}

// isUnresponsive reports whether a packet timed out here since the target last answered.
func (e *evidence) isUnresponsive() bool { return e.openings+e.data > 0 }

// isRecentlyUnresponsive reports whether a packet timed out here within timeoutLifetime and
// nothing has been answered since.
func (e *evidence) isRecentlyUnresponsive(now clock.Millis) bool {
	return e.isUnresponsive() && now-e.lastTimeoutAt <= timeoutLifetime
}

// recentOpenings returns the number of timed-out openings that still count as evidence.
func (e *evidence) recentOpenings(now clock.Millis) int {
	if now-e.lastOpeningTimeoutAt > openingTimeoutLifetime {
		return 0
	}
	return e.openings
}

// isSuspect reports whether new flows avoid the target.
func (e *evidence) isSuspect(now clock.Millis) bool {
	return e.openings > 0 || now < e.reports.avoidUntil
}

// reportable returns the timed-out openings and flows that the other VMs should know of. Flows
// count once data has waited for longer than any request takes.
func (e *evidence) reportable(now clock.Millis) (openings, data int) {
	if e.data > 0 && now-e.unresponsiveSince >= stuckTimeout {
		data = e.data
	}
	return e.openings, data
}

// isDead reports whether independent signs agree that the target is dead. An answer to a packet
// that this VM forwarded after the first unanswered one clears the signs.
func (e *evidence) isDead(now clock.Millis, isSlow bool) bool {
	if !e.isRecentlyUnresponsive(now) {
		return false
	}
	return e.isStuck(now, isSlow) || e.isDeadLocally(now, isSlow) || e.isDeadAcrossVMs(now, isSlow)
}

// isDeadLocally reports whether an opening and data both timed out here. While targets are
// known to be slow, a second opening must have timed out, here or at another VM.
func (e *evidence) isDeadLocally(now clock.Millis, isSlow bool) bool {
	openings := e.recentOpenings(now)
	if openings == 0 || e.data == 0 {
		return false
	}
	_, _, vms := e.reports.signs(now, avoidTime)
	signs := openings + vms
	if !isSlow {
		signs += e.data
	}
	return signs >= minDeadSigns
}

// isDeadAcrossVMs reports whether enough flows timed out at this VM and at others together.
// Where many VMs share many targets, few VMs see two flows of the same target.
func (e *evidence) isDeadAcrossVMs(now clock.Millis, isSlow bool) bool {
	openings, data, vms := e.reports.signs(now, signLifetime)
	if vms < minReporters || now-e.unresponsiveSince < stuckTimeout {
		return false
	}
	openings += e.recentOpenings(now)
	data += e.data
	if isSlow {
		return openings >= minDeadSigns && openings+data > minSharedSigns
	}
	return openings > 0 && openings+data >= minSharedSigns || data >= minSharedData
}

// isStuck reports whether several flows have waited for longer than any request takes and none
// was answered.
func (e *evidence) isStuck(now clock.Millis, isSlow bool) bool {
	if isSlow {
		return e.data >= minStuckFlowsSlow && now-e.unresponsiveSince >= stuckTimeoutSlow
	}
	return e.data >= minStuckFlows && now-e.unresponsiveSince >= stuckTimeout
}

// isRetryDue reports whether a new flow may be sent to an unresponsive target to see whether it
// answers again.
func (e *evidence) isRetryDue(now clock.Millis) bool {
	return e.openings > 0 && now >= e.nextRetryAt
}

// scheduleRetry sets the time of the next retry after a new flow was sent to an unresponsive
// target.
func (e *evidence) scheduleRetry(now, jitter clock.Millis) {
	e.nextRetryAt = now + e.retryInterval + jitter
	e.retryInterval = min(2*e.retryInterval, maxRetryInterval)
}
