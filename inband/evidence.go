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
	// minDeadSigns is the number of independent signs, an opening and data among them, at which a
	// target counts as dead. Signs of different clients are independent, see clientSet.
	minDeadSigns = 2
	// minDeadSignsForMoved applies instead to flows that other VMs may carry, as a wrong reset may hit a
	// request under way there, unless the target has been silent for movedTimeout.
	minDeadSignsForMoved = 3
	movedTimeout         = 600 * clock.Millisecond
	// A target counts as dead if the data of minStuckClients clients has been unanswered for
	// stuckTimeout, even if no opening timed out.
	minStuckClients = 2
	stuckTimeout    = 350 * clock.Millisecond
	// minStuckClientsSlow and stuckTimeoutSlow apply instead while targets are known to be slow.
	minStuckClientsSlow = 3
	stuckTimeoutSlow    = 600 * clock.Millisecond
	// timeoutLifetime is how long a timeout counts as evidence. Clients that wait retransmit
	// their data after at most 1.6 s; the others were answered or use another VM.
	timeoutLifetime = 2500 * clock.Millisecond
	// openingTimeoutLifetime is how long the timeout of an opening counts as evidence. The next
	// retry follows after at most maxRetryInterval plus jitter.
	openingTimeoutLifetime = 5 * clock.Second
	// minReporters is the number of other VMs whose reports can together show that a target is
	// dead.
	minReporters = 2
	// minSharedSigns and minSharedData are the numbers of independent signs, here and at the
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
	openingClients       clientSet    // clients of these openings
	dataClients          clientSet    // clients of this data
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

// timeout is a packet that was forwarded here and not answered in time.
type timeout struct {
	sentAt        clock.Millis
	isData        bool // not an opening
	client        ClientID
	isIndependent bool // of the client's earlier timeouts, see suspectClients
}

// recordTimeout records a packet that was not answered in time.
func (e *evidence) recordTimeout(now clock.Millis, t timeout, jitter clock.Millis) {
	if e.openings+e.data == 0 {
		e.unresponsiveSince, e.retryInterval = t.sentAt, minRetryInterval
	}
	if !e.isRecentlyUnresponsive(now) {
		e.unresponsiveSince, e.data, e.reported = t.sentAt, 0, min(e.reported, e.openings)
		e.dataClients = clientSet{}
	}
	e.lastTimeoutAt = now
	if t.isData {
		e.data++
		e.dataClients.add(t.client, t.isIndependent)
		return
	}
	if now-e.lastOpeningTimeoutAt > openingTimeoutLifetime {
		e.openingClients = clientSet{}
	}
	e.openings++
	e.openingClients.add(t.client, t.isIndependent)
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
	if e.openings > 0 && r.hasOpening {
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

// recentOpenings returns the clients of timed-out openings that still count as evidence.
func (e *evidence) recentOpenings(now clock.Millis) clientSet {
	if now-e.lastOpeningTimeoutAt > openingTimeoutLifetime {
		return clientSet{}
	}
	return e.openingClients
}

// localSigns returns the clients whose packets timed out here, as far as they still count as evidence.
func (e *evidence) localSigns(now clock.Millis) clientSet {
	if !e.isRecentlyUnresponsive(now) {
		return clientSet{}
	}
	all := e.recentOpenings(now)
	all.merge(&e.dataClients)
	return all
}

// sharedSigns adds to localSigns, if there are any, the clients that other VMs reported recently.
func (e *evidence) sharedSigns(now clock.Millis) clientSet {
	all := e.localSigns(now)
	if all.size() == 0 {
		return all
	}
	reported := e.reports.signs(now, signLifetime)
	all.merge(&reported.openings)
	all.merge(&reported.data)
	return all
}

// isDeadBeyondDoubt reports whether a target that counts as dead has given more signs, or has been
// silent for longer, than that takes.
func (e *evidence) isDeadBeyondDoubt(now clock.Millis) bool {
	signs := e.sharedSigns(now)
	return signs.size() >= minDeadSignsForMoved || now-e.unresponsiveSince >= movedTimeout
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

// isDeadLocally reports whether an opening and data of different clients timed out here. While
// targets are known to be slow, openings of two clients must have timed out, here or at other VMs.
func (e *evidence) isDeadLocally(now clock.Millis, isSlow bool) bool {
	openings := e.recentOpenings(now)
	if openings.size() == 0 || e.data == 0 {
		return false
	}
	reported := e.reports.signs(now, avoidTime)
	openings.merge(&reported.openings)
	if isSlow {
		return openings.size() >= minDeadSigns
	}
	openings.merge(&e.dataClients)
	return openings.size() >= minDeadSigns
}

// isDeadAcrossVMs reports whether enough clients timed out at this VM and at others together.
// Where many VMs share many targets, few VMs see two flows of the same target.
func (e *evidence) isDeadAcrossVMs(now clock.Millis, isSlow bool) bool {
	reported := e.reports.signs(now, signLifetime)
	if reported.vms < minReporters || now-e.unresponsiveSince < stuckTimeout {
		return false
	}
	openings, data := e.recentOpenings(now), e.dataClients
	openings.merge(&reported.openings)
	data.merge(&reported.data)
	all := openings
	all.merge(&data)
	if isSlow {
		return openings.size() >= minDeadSigns && all.size() > minSharedSigns
	}
	return openings.size() > 0 && all.size() >= minSharedSigns || data.size() >= minSharedData
}

// isStuck reports whether several clients have waited for longer than any request takes and none
// was answered.
func (e *evidence) isStuck(now clock.Millis, isSlow bool) bool {
	if isSlow {
		return e.dataClients.size() >= minStuckClientsSlow && now-e.unresponsiveSince >= stuckTimeoutSlow
	}
	return e.dataClients.size() >= minStuckClients && now-e.unresponsiveSince >= stuckTimeout
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
