package placement

import (
	"sync/atomic"

	"github.com/almondflow/almondflow/clock"
)

const (
	// retryShare is the number of retries allowed for each new flow.
	retryShare = 0.1
	// minRetryRate is the number of retries allowed each second even if there are few new
	// flows.
	minRetryRate = 2
	// maxSavedRetries is the largest number of retries that the bucket can hold.
	maxSavedRetries = 50
	// tokensPerRetry is the number of bucket tokens that one retry costs.
	tokensPerRetry = 1000
)

// retryBudget is a token bucket that limits retries to a share of the new flows of a pool,
// so that the retries of a failing pool do not multiply its load.
type retryBudget struct {
	tokens     atomic.Int64
	refilledAt atomic.Int64
}

func newRetryBudget(now clock.Millis) *retryBudget {
	b := &retryBudget{}
	b.tokens.Store(maxSavedRetries * tokensPerRetry)
	b.refilledAt.Store(int64(now))
	return b
}

// credit adds the tokens that one new flow contributes.
func (b *retryBudget) credit() {
	b.add(retryShare * tokensPerRetry)
}

// spend takes the tokens of one retry. It returns false if the bucket holds too few.
func (b *retryBudget) spend(now clock.Millis) bool {
	refilledAt := b.refilledAt.Load()
	if elapsed := int64(now) - refilledAt; elapsed > 0 && b.refilledAt.CompareAndSwap(refilledAt, int64(now)) {
		b.add(min(elapsed*minRetryRate*tokensPerRetry/int64(clock.Second), maxSavedRetries*tokensPerRetry))
	}
	if b.tokens.Add(-tokensPerRetry) >= 0 {
		return true
	}
	b.tokens.Add(tokensPerRetry)
	return false
}

func (b *retryBudget) add(tokens int64) {
	if b.tokens.Add(tokens) > maxSavedRetries*tokensPerRetry {
		b.tokens.Store(maxSavedRetries * tokensPerRetry)
	}
}
