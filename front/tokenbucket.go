package front

import (
	"golang.org/x/time/rate"

	"github.com/almondflow/almondflow/clock"
)

// burstSeconds is the size of the largest burst, in seconds of the rate.
const burstSeconds = 2

// tokenBucket limits the bytes or probes sent per second. Unused ones accumulate for burstSeconds.
type tokenBucket struct{ limiter *rate.Limiter }

func newTokenBucket(perSecond int) *tokenBucket {
	return &tokenBucket{rate.NewLimiter(rate.Limit(perSecond), burstSeconds*perSecond)}
}

// allow reports whether an amount may be sent now, and removes it from the bucket. Less urgent senders
// leave a reserve to others.
func (b *tokenBucket) allow(now clock.Millis, amount, reserve int) bool {
	if b.limiter.TokensAt(now.Time()) < float64(amount+reserve) {
		return false
	}
	return b.limiter.AllowN(now.Time(), amount)
}
