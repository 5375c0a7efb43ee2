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
	// ownAnswerPrecedence is how long after an answer seen by this VM reports of other VMs keep no new flows
	// away.
	ownAnswerPrecedence = clock.Second
	// minUnresponsiveFlows is the number of flows whose data timed out at which a target seems
	// unresponsive even if it got no opening.
	minUnresponsiveFlows = 2
	// timeoutLifetime is how long a timeout counts as evidence. Clients that wait retransmit
	// their data after at most 1.6 s; the others were answered or use another VM.
	timeoutLifetime = 2500 * clock.Millisecond
	// holdOffTime is how long a VM resets no flows and sends no reports after a target that it
	// took for dead answered.
	holdOffTime = 10 * clock.Second
)

// evidence collects signs that a target is unresponsive. They keep new flows away and cause a probe of
// the target. They show nothing about its death by themselves, as the links of its clients explain
// them as well.
type evidence struct {
	unresponsiveSince clock.Millis // when the first unanswered packet was sent
	hasSign           bool         // a packet timed out since the last answer to a packet or a probe
	openings          int          // openings that timed out since the last answer to a packet
	data              int          // flows whose data timed out since the last answer
	lastTimeoutAt     clock.Millis // when the last timeout was detected
	nextRetryAt       clock.Millis
	retryInterval     clock.Millis
	reported          int // timed-out openings and flows already reported to the other VMs
	reports           reports
	hasAnswer         bool // a packet was answered
	lastAnswerAt      clock.Millis
	answeredSentAt    clock.Millis // when the newest packet was sent that was answered
}

// recordAnswer records that a client received an answer to a packet sent at sentAt. It refutes signs
// that are not newer.
func (e *evidence) recordAnswer(now, sentAt clock.Millis) {
	if e.isUnresponsive() && sentAt < e.unresponsiveSince {
		return
	}
	*e = evidence{hasAnswer: true, lastAnswerAt: now, answeredSentAt: max(e.answeredSentAt, sentAt)}
}

// refuteSigns records that the target answered a probe sent at sentAt: its process runs. Unless packets
// are answered, too, new flows still avoid it.
func (e *evidence) refuteSigns(sentAt clock.Millis) {
	if e.unresponsiveSince > sentAt {
		return
	}
	e.hasSign, e.data, e.reported = false, 0, min(e.reported, e.openings)
}

// timeout is a packet that was forwarded here and not answered in time.
type timeout struct {
	sentAt    clock.Millis
	isData    bool // not an opening
	isRefuted bool // the target has answered a probe that was sent later
}

// recordTimeout records a packet that was not answered in time.
func (e *evidence) recordTimeout(now clock.Millis, t timeout, jitter clock.Millis) {
	if e.openings+e.data == 0 {
		e.unresponsiveSince, e.retryInterval = t.sentAt, minRetryInterval
	}
	if !e.isRecentlyUnresponsive(now) {
		e.unresponsiveSince, e.data, e.reported = t.sentAt, 0, min(e.reported, e.openings)
	}
	e.lastTimeoutAt, e.hasSign = now, e.hasSign || !t.isRefuted
	if t.isData {
		e.data++
		return
	}
	e.openings++
	if now >= e.nextRetryAt {
		e.scheduleRetry(now, jitter)
	}
}

// mergeReport adds the report of another VM. It causes a probe and, unless this VM has just seen an
// answer, keeps new flows away. If an opening timed out there, this VM postpones its own retry, because
// the target has just been tried.
func (e *evidence) mergeReport(r report, jitter clock.Millis) {
	if e.hasAnswer && r.at-e.lastAnswerAt < ownAnswerPrecedence {
		r.hasOpening = false
	}
	if e.openings > 0 && r.hasOpening {
		e.nextRetryAt = max(e.nextRetryAt, r.at+e.retryInterval+jitter)
	}
	e.reports.add(r)
}

// isUnresponsive reports whether a packet timed out here since the target last answered.
func (e *evidence) isUnresponsive() bool { return e.openings+e.data > 0 }

// isRecentlyUnresponsive reports whether a packet timed out here within timeoutLifetime and
// neither a packet nor a probe has been answered since.
func (e *evidence) isRecentlyUnresponsive(now clock.Millis) bool {
	return e.hasSign && now-e.lastTimeoutAt <= timeoutLifetime
}

// newestSign returns when a packet timed out last, here or at a VM that reported it. It reports false if
// none did.
func (e *evidence) newestSign() (at clock.Millis, ok bool) {
	newest, isReported := e.reports.newest()
	switch {
	case !e.hasSign:
		return newest, isReported
	case !isReported:
		return e.lastTimeoutAt, true
	default:
		return max(newest, e.lastTimeoutAt), true
	}
}

// hasRecentSign reports whether a packet timed out lately, here or at a VM that reported it.
func (e *evidence) hasRecentSign(now clock.Millis) bool {
	newest, ok := e.newestSign()
	return ok && now-newest <= timeoutLifetime
}

// hasAnswerAfter reports whether a packet was answered that was sent later than a point in time.
func (e *evidence) hasAnswerAfter(at clock.Millis) bool { return e.hasAnswer && e.answeredSentAt > at }

// isSuspect reports whether new flows avoid the target.
func (e *evidence) isSuspect(now clock.Millis) bool {
	return e.openings > 0 || now < e.reports.avoidUntil
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
