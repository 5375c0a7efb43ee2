package core

import "github.com/almondflow/almondflow/clock"

// Parameters for detecting whether clients can reach only this side of a partition.
const (
	// retryWindow is the time within which a client retransmits an unanswered packet.
	retryWindow = 3 * clock.Second
	// minRetryGap is the minimum time between a packet and its retransmission.
	minRetryGap = 500 * clock.Millisecond
	// minEvaluated is the number of packets to evaluate before the result is used.
	minEvaluated = 16
	// onlyPathShare is the minimum share of packets retransmitted to this side at which
	// clients are assumed to have no other path.
	onlyPathShare = 0.7
	// smoothingFactor is the weight of the newest packet in the moving average.
	smoothingFactor = 0.1
	// minorityGrace is how long after a partition holders on its other side may still be
	// considered dead.
	minorityGrace = 5 * clock.Second
	// maxTracked limits the packets tracked at once.
	maxTracked = 64
)

// retryTracker estimates whether clients can reach only this side of a partition. If a
// minority side places flows whose packets the fabric also delivers to the other side, it
// breaks them; if it does not place flows of clients that have no other path, nobody
// serves them. Clients retransmit unanswered packets, so if the fabric spreads packets
// over both sides, only few of the retransmissions arrive here.
type retryTracker struct {
	tracked      []openingPacket
	evaluated    int
	retriedShare float64
}

// openingPacket is a tracked first packet of a flow.
type openingPacket struct {
	hash      uint64
	firstSeen clock.Millis
	retried   bool
}

// add records an opening packet, which may be a retransmission.
func (t *retryTracker) add(now clock.Millis, hash uint64) {
	t.evaluate(now)
	for i := range t.tracked {
		p := &t.tracked[i]
		if p.hash == hash {
			p.retried = p.retried || now-p.firstSeen >= minRetryGap
			return
		}
	}
	if len(t.tracked) < maxTracked {
		t.tracked = append(t.tracked, openingPacket{hash: hash, firstSeen: now})
	}
}

// evaluate updates the share of retransmitted packets with those whose retry window has
// passed.
func (t *retryTracker) evaluate(now clock.Millis) {
	due := 0
	for due < len(t.tracked) && now-t.tracked[due].firstSeen >= retryWindow {
		sample := 0.0
		if t.tracked[due].retried {
			sample = 1
		}
		t.retriedShare += smoothingFactor * (sample - t.retriedShare)
		t.evaluated++
		due++
	}
	t.tracked = append(t.tracked[:0], t.tracked[due:]...)
}

// isOnlyPath reports whether clients appear to have no path other than this side.
func (t *retryTracker) isOnlyPath() bool {
	return t.evaluated >= minEvaluated && t.retriedShare >= onlyPathShare
}

// mayPlace reports whether a flow without a record may be placed here. On the minority
// side of a partition that requires that clients have no other path.
func (s *shard) mayPlace(fc *flowContext) bool {
	if !fc.view.isMinority(fc.now) {
		if s.retries.evaluated > 0 || len(s.retries.tracked) > 0 {
			s.retries = retryTracker{}
		}
		return true
	}
	s.retries.add(fc.now, fc.hash)
	return s.retries.isOnlyPath()
}
