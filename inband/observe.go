package inband

import (
	"slices"

	"github.com/almondflow/almondflow/clock"
)

// observePacket derives from a packet whether the flow's target answers. It reports whether the
// packet is the first sign that the previous one was not answered in time.
func (e *Engine) observePacket(now clock.Millis, p *Packet, f *flow) bool {
	if int32(p.Ack-f.ack) > 0 {
		f.responseBytes += p.Ack - f.ack
		f.ack = p.Ack
		e.recordAnswer(now, f)
		e.markAnswered(f)
	}
	e.resumeMeter(f)
	if p.DataLength == 0 {
		return false
	}
	if !f.hasForwarded(p) {
		f.recordForwarded(p)
		f.sentAt, f.retransmits, f.isTimedOut = now, 0, false
		if !f.isBusy && f.phase == open {
			e.beginRequest(now, f)
			e.markBusy(f)
		}
		return false
	}
	f.retransmits++
	if f.retransmits >= minFailedRetransmits && f.backend.evidence.lastAnswerAt > f.sentAt {
		e.recordNoResponse(now, f)
	}
	if f.isTimedOut || now-f.sentAt < answerTimeout {
		return false
	}
	if !e.isMeasurable(f) {
		f.sentAt = now
		return false
	}
	f.isTimedOut = true
	e.recordTimeout(now, f, true)
	return true
}

// recordAnswer records that the flow's target answered. If the target counted as dead, something near
// this VM was the cause.
func (e *Engine) recordAnswer(now clock.Millis, f *flow) {
	b := f.backend
	wasDead := b.isDead(now)
	b.evidence.recordAnswer(now, f.sentAt)
	b.probe.refute(f.sentAt)
	if wasDead && !b.isDead(now) {
		e.holdOffUntil = now + holdOffTime
	}
	if f.isBusy && f.phase == open {
		b.latency.Add(now, now-f.sentAt)
		f.responseTime = now - f.sentAt
		e.observeResponseTime(f)
	}
	if l := e.linkTo(b); l != nil {
		l.recordAnswer(f.sentAt)
	}
	f.isTimedOut = false
}

// isPortReuse reports whether a packet belongs to another flow than the tracked one, because
// the client reused its port through another VM. Shortly after the opening a different tag is
// no sign of that: two targets may have answered, and the flow stays with the first. The tags of targets that
// this VM sent copies of the opening are none later, either: their answers may be late.
func (e *Engine) isPortReuse(now clock.Millis, p *Packet, f *flow) bool {
	if p.Tag == f.backend.tag || p.Tag == 0 {
		return false
	}
	return now-f.openedAt > openingLifetime && !slices.Contains(f.otherTags[:], p.Tag)
}
