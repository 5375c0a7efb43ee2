package inband

import "github.com/almondflow/almondflow/clock"

// maxResets is the number of waiting flows that are reset per call. Callers repeat the call at
// once while there are more.
const maxResets = 128

// EndedFlow is an open flow that this VM stopped tracking and whose client must be sent a
// reset.
type EndedFlow struct {
	Key     Key
	Seq     uint32   // sequence number of the reset
	Backend *Backend // the target that is lost
}

// mayReset reports whether to reset a flow because it sends data to a lost target. Its client
// is then better off with a new flow.
func (e *Engine) mayReset(now clock.Millis, p *Packet, f *flow) bool {
	return p.DataLength > 0 && e.isInResettableState(now, f) && e.isLostToTarget(now, f) && e.isRepeatable(f)
}

// isInResettableState reports whether a flow waits for an answer, so that a reset has its request repeated. During
// hold-off no flow is reset.
func (e *Engine) isInResettableState(now clock.Millis, f *flow) bool {
	return f.phase == open && f.isBusy && now >= e.holdOffUntil && e.options.Policy.ResetsFlowsOfDeadTargets()
}

// isRepeatable reports whether the flow's client will repeat its request on a new flow after a reset, as the
// current tables say. A flow whose route was dropped waits for its target, as its client may not.
func (e *Engine) isRepeatable(f *flow) bool {
	route := e.routes[f.key.Destination]
	return route != nil && route.Repeatable
}

// isTargetLost reports whether a target will not answer the data that a flow waits for: it was
// removed, is partitioned from this VM, or is dead. In a domain that seems partitioned, the target must have
// been silent to packets and to a probe of this VM, as it may run while others there failed.
func (e *Engine) isTargetLost(now clock.Millis, b *Backend, isTimedOut bool) bool {
	if isTimedOut && b.isRemoved(now) || b.isDead(now) {
		return true
	}
	return e.isUnreachable(now, b) && e.IsPartitioned(now, b.target.Domain)
}

// EndFlowsOfLostTargets stops tracking the flows whose target is lost and returns them, at most
// maxResets per call. These are flows that wait for an answer, whose clients can then be reset
// before they retransmit, and idle flows, whose clients can open new ones for their next requests.
func (e *Engine) EndFlowsOfLostTargets(now clock.Millis) []EndedFlow {
	if !e.options.Policy.ResetsFlowsOfDeadTargets() || now < e.holdOffUntil || !e.hasLostTarget(now) {
		return nil
	}
	var all []EndedFlow
	for i := range e.flows.slots {
		f := &e.flows.slots[i]
		if f.backend == nil || !e.isOfLostTarget(now, f) {
			continue
		}
		all = append(all, EndedFlow{Key: f.key, Seq: f.ack, Backend: f.backend})
		e.removeFlow(f)
		if len(all) == maxResets {
			break
		}
	}
	return all
}

// isOfLostTarget reports whether to reset a flow because its target is lost.
func (e *Engine) isOfLostTarget(now clock.Millis, f *flow) bool {
	return e.isWaitingForLostTarget(now, f) || e.isIdleAtDeadTarget(now, f)
}

// isWaitingForLostTarget reports whether a flow waits for a lost target and its client will repeat
// the request.
func (e *Engine) isWaitingForLostTarget(now clock.Millis, f *flow) bool {
	return f.isWaiting(now) && e.isInResettableState(now, f) && e.isLostToTarget(now, f) && e.isRepeatable(f)
}

// isLostToTarget reports whether a flow's target is lost to it. A flow that came here after a probe showed
// the target's death must have met silence itself, as it may be one with a target that has started again.
func (e *Engine) isLostToTarget(now clock.Millis, f *flow) bool {
	if !f.isTimedOut && f.openedAt > f.backend.probe.sentAt && f.backend.isDead(now) {
		return false
	}
	return e.isTargetLost(now, f.backend, f.isTimedOut)
}

// isIdleAtDeadTarget reports whether a flow of any route has been idle since before its target
// died. No request is lost by a reset, while the next one on this flow would never be answered,
// and of a route that is not repeatable its client could not send it again.
func (e *Engine) isIdleAtDeadTarget(now clock.Millis, f *flow) bool {
	return f.phase == open && !f.isBusy && f.backend.isDead(now) && f.seenAt <= f.backend.silentSince(now)
}

// isWaiting reports whether the client has waited for an answer for some time and still sends
// packets through this VM. Otherwise it uses another VM or has given up.
func (f *flow) isWaiting(now clock.Millis) bool {
	return now-f.sentAt >= answerTimeout && now-f.seenAt <= timeoutLifetime
}

// hasLostTarget reports whether there are flows of a lost target that has timed out.
func (e *Engine) hasLostTarget(now clock.Millis) bool {
	for _, b := range e.watchlist.backends {
		if b.flows > 0 && e.isTargetLost(now, b, true) {
			return true
		}
	}
	return false
}
