package placement

import (
	"sync/atomic"

	"github.com/almondflow/almondflow/clock"
)

const (
	// retryShare is the share of new flows that may be placed again after a refusal.
	retryShare = 0.1
	// retryFloor is the number of retries a second that are allowed however few flows
	// there are.
	retryFloor = 2
	// retryBurst is the largest number of retries that can be saved up.
	retryBurst = 50
	// retryUnit is the fraction of a retry that the counter holds.
	retryUnit = 1000
)

// retryBudget is a token bucket. It bounds the retries that a failing pool causes to a
// share of its new flows, so that they do not multiply its load.
type retryBudget struct {
	tokens atomic.Int64
	filled atomic.Int64
}

func newRetryBudget(now clock.Millis) *retryBudget {
	b := &retryBudget{}
	b.tokens.Store(retryBurst * retryUnit)
	b.filled.Store(int64(now))
	return b
}

// earn adds the share of a retry that one new flow allows.
func (b *retryBudget) earn() {
	b.add(retryShare * retryUnit)
}

// take spends one retry. It reports false when none is left.
func (b *retryBudget) take(now clock.Millis) bool {
	filled := b.filled.Load()
	if elapsed := int64(now) - filled; elapsed > 0 && b.filled.CompareAndSwap(filled, int64(now)) {
		b.add(min(elapsed*retryFloor*retryUnit/int64(clock.Second), retryBurst*retryUnit))
	}
	if b.tokens.Add(-retryUnit) >= 0 {
		return true
	}
	b.tokens.Add(retryUnit)
	return false
}

func (b *retryBudget) add(tokens int64) {
	if b.tokens.Add(tokens) > retryBurst*retryUnit {
		b.tokens.Store(retryBurst * retryUnit)
	}
}
