package experiment

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// seenPackets is what a VM has seen of the flows that it carries, kept apart from its engine to check that.
type seenPackets struct {
	flows          map[inband.Key]*seenFlow
	answeredSentAt map[*target]clock.Millis // when the newest packet was forwarded that a target answered
	repeatedAt     map[*target]clock.Millis // when a client last repeated a packet to a target
}

// seenFlow is a flow as a VM has seen it.
type seenFlow struct {
	target     *target
	firstAt    clock.Millis
	seenAt     clock.Millis
	sentAt     clock.Millis // when its newest data, or its opening, was first forwarded
	dataSeq    uint32       // of the request that it waits for
	ack        uint32
	isOpen     bool
	isWaiting  bool // for an answer to data or to the opening
	isRepeated bool // what it waits for was sent again
}

func newSeenPackets() seenPackets {
	return seenPackets{
		flows: map[inband.Key]*seenFlow{}, answeredSentAt: map[*target]clock.Millis{}, repeatedAt: map[*target]clock.Millis{},
	}
}

// isWaiting reports whether a flow waits for an answer.
func (s *seenPackets) isWaiting(key inband.Key) bool {
	f := s.flows[key]
	return f == nil || f.isWaiting
}

// observeOpening records an opening that is forwarded to a target.
func (s *seenPackets) observeOpening(now clock.Millis, p *inband.Packet, t *target) {
	if f := s.flows[p.Key]; f != nil && !f.isOpen && p.Ack > 0 {
		s.repeatedAt[f.target] = now
		f.target, f.seenAt, f.isRepeated = t, now, true
		return
	}
	s.flows[p.Key] = &seenFlow{target: t, firstAt: now, seenAt: now, sentAt: now, isWaiting: true}
}

// observe records another packet of a flow of a target.
func (s *seenPackets) observe(now clock.Millis, p *inband.Packet, t *target) {
	f := s.flows[p.Key]
	if f == nil || f.isOpen && f.target != t {
		f = &seenFlow{target: t, firstAt: now, sentAt: now, ack: p.Ack, isOpen: true}
		s.flows[p.Key] = f
	}
	f.seenAt = now
	switch {
	case !f.isOpen:
		if f.target == t {
			s.recordAnswer(f)
		}
		f.target, f.isOpen, f.ack = t, true, p.Ack
	case int32(p.Ack-f.ack) > 0:
		f.ack = p.Ack
		s.recordAnswer(f)
	}
	if p.DataLength > 0 {
		s.observeData(now, p, f)
	}
}

// recordAnswer records that a flow's newest packet was answered.
func (s *seenPackets) recordAnswer(f *seenFlow) {
	s.answeredSentAt[f.target] = max(s.answeredSentAt[f.target], f.sentAt)
	f.isWaiting, f.isRepeated = false, false
}

// observeData records data, which may have been seen before. Each request is one packet.
func (s *seenPackets) observeData(now clock.Millis, p *inband.Packet, f *seenFlow) {
	if f.isWaiting && p.Seq == f.dataSeq {
		f.isRepeated = true
		s.repeatedAt[f.target] = now
		return
	}
	f.dataSeq, f.sentAt, f.isWaiting, f.isRepeated = p.Seq, now, true, false
}
