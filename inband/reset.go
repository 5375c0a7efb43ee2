package inband

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/outcome"
)

// maxResets is the number of waiting flows that are reset per call. Callers repeat the call at
// once while there are more.
const maxResets = 128

// EndedFlow is an open flow that this VM stopped tracking and whose client must be sent a
// reset.
type EndedFlow struct {
	Key     Key
	Seq     uint32       // sequence number of the reset
	Backend *Backend     // the target that is lost
	Loss    outcome.Loss // why
}

// lossOnData returns why to reset a flow that sends data to a lost target, or NotLost. Its client is then better off
// with a new flow.
func (e *Engine) lossOnData(now clock.Millis, p *Packet, f *flow) outcome.Loss {
	if p.DataLength == 0 || !e.isInResettableState(now, f) {
		return outcome.NotLost
	}
	loss := e.lossToFlow(now, f)
	if loss == outcome.NotLost || !e.isRepeatable(f) {
		return outcome.NotLost
	}
	return loss
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

// lossOf returns why a target will not answer the data that a flow waits for, or NotLost: it was
// removed, is partitioned from this VM, or is dead. In a domain that seems partitioned, the target must have
// been silent to packets and to a probe of this VM, as it may run while others there failed.
func (e *Engine) lossOf(now clock.Millis, b *Backend, isTimedOut bool) outcome.Loss {
	switch {
	case isTimedOut && b.isRemoved(now):
		return outcome.EntryEnded
	case b.isDead(now):
		return b.causeOfDeath(now)
	case e.isUnreachable(now, b) && e.IsPartitioned(now, b.target.Domain):
		return outcome.DomainCut
	default:
		return outcome.NotLost
	}
}

// causeOfDeath returns what shows that a dead target is dead.
func (b *Backend) causeOfDeath(now clock.Millis) outcome.Loss {
	switch {
	case b.probe.isProof(now):
		return outcome.ProbeRefused
	case b.probe.isConfirmed:
		return outcome.ProbesSilent
	default:
		return outcome.ProbeAndPacket
	}
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
		if f.backend == nil {
			continue
		}
		loss := e.lossToTracked(now, f)
		if loss == outcome.NotLost {
			continue
		}
		all = append(all, EndedFlow{Key: f.key, Seq: f.ack, Backend: f.backend, Loss: loss})
		e.endByReset(f)
		if len(all) == maxResets {
			break
		}
	}
	return all
}

// endByReset ends a flow that is reset, and keeps it for an answer that is on its way.
func (e *Engine) endByReset(f *flow) {
	e.endFlow(f)
	f.isReset = true
}

// handleAfterReset handles a packet of a flow that was reset. An acknowledgment of something new shows that the target
// answered a packet which is newer than what had the flow reset. A client that missed the reset goes on as on a flow
// that is not tracked.
func (e *Engine) handleAfterReset(now clock.Millis, p *Packet, f *flow) Verdict {
	if p.Tag == f.backend.tag && int32(p.Ack-f.ack) > 0 {
		e.recordAnswer(now, f)
	}
	e.removeFlow(f)
	return e.handleUntracked(now, p)
}

// lossToTracked returns why to reset a flow without a packet of its client, or NotLost.
func (e *Engine) lossToTracked(now clock.Millis, f *flow) outcome.Loss {
	if e.isWaitingForAnswer(now, f) {
		if loss := e.lossToFlow(now, f); loss != outcome.NotLost {
			return loss
		}
	}
	if e.isIdleAtDeadTarget(now, f) {
		return f.backend.causeOfDeath(now)
	}
	return outcome.NotLost
}

// isWaitingForAnswer reports whether a flow waits for an answer and its client will repeat the request.
func (e *Engine) isWaitingForAnswer(now clock.Millis, f *flow) bool {
	return f.isWaiting(now) && e.isInResettableState(now, f) && e.isRepeatable(f)
}

// lossToFlow returns why a flow's target is lost to it, or NotLost. A flow that came here after a probe showed
// the target's death must have met silence itself, as it may be one with a target that has started again.
func (e *Engine) lossToFlow(now clock.Millis, f *flow) outcome.Loss {
	if !f.isTimedOut && f.openedAt > f.backend.probe.sentAt && f.backend.isDead(now) {
		return outcome.NotLost
	}
	return e.lossOf(now, f.backend, f.isTimedOut)
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
		if b.flows > 0 && e.lossOf(now, b, true) != outcome.NotLost {
			return true
		}
	}
	return false
}
