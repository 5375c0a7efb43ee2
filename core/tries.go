package core

import "github.com/almondflow/almondflow/clock"

// Bounds of the judgment whether clients reach this side of a partition only.
const (
	// repeatSpan is the span in which a client repeats a packet that nobody answers.
	repeatSpan = 3 * clock.Second
	// repeatGap is the shortest span between a packet and its repetition.
	repeatGap = 500 * clock.Millisecond
	// judgedTries is the number of packets that a judgment needs.
	judgedTries = 16
	// exclusiveShare is the share of packets whose repetition comes here as well, from
	// which on the clients are taken to have no other way.
	exclusiveShare = 0.7
	// newestWeight is the weight of the newest packet in the share.
	newestWeight = 0.1
	// recoverySpan is how long after a partition holders on its other side may still be
	// taken for dead.
	recoverySpan = 5 * clock.Second
	// maxTries bounds the packets that are watched at once.
	maxTries = 64
)

// tries tells whether clients reach this side of a partition only. A cut-off minority that
// places flows which the fabric also hands to the other side breaks them, and one that
// does not place the flows of clients that have no other way serves nobody. Unanswered
// clients repeat their packets. If the fabric spreads the packets over both sides, few of
// the repetitions come here.
type tries struct {
	watched []try
	judged  int
	share   float64
}

type try struct {
	hash     uint64
	at       clock.Millis
	repeated bool
}

// note takes a packet that would open a flow.
func (t *tries) note(now clock.Millis, hash uint64) {
	t.judge(now)
	for i := range t.watched {
		w := &t.watched[i]
		if w.hash == hash {
			w.repeated = w.repeated || now-w.at >= repeatGap
			return
		}
	}
	if len(t.watched) < maxTries {
		t.watched = append(t.watched, try{hash: hash, at: now})
	}
}

// judge counts packets whose repetition is due.
func (t *tries) judge(now clock.Millis) {
	due := 0
	for due < len(t.watched) && now-t.watched[due].at >= repeatSpan {
		hit := 0.0
		if t.watched[due].repeated {
			hit = 1
		}
		t.share += newestWeight * (hit - t.share)
		t.judged++
		due++
	}
	t.watched = append(t.watched[:0], t.watched[due:]...)
}

// isExclusive reports whether clients have no other way than this side.
func (t *tries) isExclusive() bool {
	return t.judged >= judgedTries && t.share >= exclusiveShare
}

// mayPlace reports whether a flow without a record may be placed here. On the smaller side
// of a partition it may only when clients have no other way.
func (s *shard) mayPlace(a *arrival) bool {
	if !a.view.isCutOff(a.now) {
		if s.tries.judged > 0 || len(s.tries.watched) > 0 {
			s.tries = tries{}
		}
		return true
	}
	s.tries.note(a.now, a.hash)
	return s.tries.isExclusive()
}
