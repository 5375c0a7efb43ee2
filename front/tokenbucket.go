package front

import "github.com/almondflow/almondflow/clock"

// tokenBucket limits the bytes sent per second. Unused bytes accumulate for burstSeconds.
type tokenBucket struct {
	perSecond  int
	tokens     int
	refilledAt clock.Millis
}

// burstSeconds is the size of the largest burst, in seconds of the rate.
const burstSeconds = 2

func newTokenBucket(perSecond int) *tokenBucket {
	return &tokenBucket{perSecond: perSecond, tokens: burstSeconds * perSecond}
}

// allow reports whether some bytes may be sent now, and removes them from the bucket. Less urgent
// senders leave a reserve to others.
func (b *tokenBucket) allow(now clock.Millis, bytes, reserve int) bool {
	b.refill(now)
	if b.tokens-bytes < reserve {
		return false
	}
	b.tokens -= bytes
	return true
}

// refill adds the bytes of the time since the last refill.
func (b *tokenBucket) refill(now clock.Millis) {
	capacity := burstSeconds * b.perSecond
	gained := (now - b.refilledAt) * clock.Millis(b.perSecond) / clock.Second
	if gained == 0 {
		return // less than one byte; keep refilledAt so that the time adds up
	}
	b.tokens = int(min(clock.Millis(capacity), clock.Millis(b.tokens)+gained))
	b.refilledAt = now
}
