package member

import (
	"sync"

	"github.com/almondflow/almondflow/clock"
)

// Class is the priority class of control traffic. Lower values have higher priority.
type Class uint8

// Classes of control traffic.
const (
	// ClassVersions covers digests and pulls of tables and lists.
	ClassVersions Class = iota
	// ClassSuspicion covers indirect probes and status updates.
	ClassSuspicion
	// ClassTargetReports covers reports about targets.
	ClassTargetReports
	// ClassRepair covers flow records sent by the background repair.
	ClassRepair

	classCount = int(ClassRepair) + 1
)

// String returns the name used in metrics.
func (c Class) String() string {
	switch c {
	case ClassVersions:
		return "versions"
	case ClassSuspicion:
		return "suspicion"
	case ClassTargetReports:
		return "counts"
	case ClassRepair:
		return "repair"
	default:
		return "unknown"
	}
}

// Rates of control traffic in bytes per second.
const (
	// DefaultBudgetRate is the rate for fleets of up to nine entry VMs.
	DefaultBudgetRate = 4_000
	// MaxBudgetRate is the rate for the largest fleets.
	MaxBudgetRate = 24_000
)

// burstDuration is the time in which the rate fills an empty bucket.
const burstDuration = 2 * clock.Second

// reservedPerMille is the part of the bucket that a class must leave to higher classes,
// in thousandths.
var reservedPerMille = [classCount]int64{0, 100, 300, 500}

const perMille = 1000

// Budget limits the control traffic that a daemon sends. It is a token bucket in which
// part of the tokens is reserved for higher classes. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	rate     int64 // bytes per second
	tokens   int64 // thousandths of a byte, negative after Charge or Reconcile exceeded the balance
	updated  clock.Millis
	spent    [classCount]uint64
	rejected [classCount]uint64
	framing  uint64
}

// NewBudget returns a full Budget for a rate in bytes per second.
func NewBudget(now clock.Millis, rate int) *Budget {
	b := &Budget{rate: int64(rate), updated: now}
	b.tokens = b.capacity()
	return b
}

// Rate returns the limit in bytes per second.
func (b *Budget) Rate() int { return int(b.rate) }

// Allow reports whether a class may send a number of bytes, and charges them if so.
func (b *Budget) Allow(now clock.Millis, class Class, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	cost := int64(bytes) * perMille
	if b.tokens-cost < b.capacity()/perMille*reservedPerMille[class] {
		b.rejected[class]++
		return false
	}
	b.tokens -= cost
	b.spent[class] += uint64(bytes)
	return true
}

// Charge charges bytes that were sent in addition to those passed to Allow, such as
// framing. The balance may become negative; Allow then rejects requests until it has
// recovered.
func (b *Budget) Charge(now clock.Millis, class Class, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens -= int64(bytes) * perMille
	b.spent[class] += uint64(bytes)
}

// Reconcile charges the bytes by which the total sent since the start, as counted at the
// sockets, exceeds the total charged so far.
func (b *Budget) Reconcile(now clock.Millis, sent uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	granted := b.framing
	for _, spent := range b.spent {
		granted += spent
	}
	if sent > granted {
		b.tokens -= int64(sent-granted) * perMille
		b.framing += sent - granted
	}
}

// Framing returns the bytes charged by Reconcile since the start.
func (b *Budget) Framing() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.framing
}

// Spent returns the bytes charged to a class since the start.
func (b *Budget) Spent(class Class) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent[class]
}

// Rejected returns how many requests of a class were rejected since the start.
func (b *Budget) Rejected(class Class) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rejected[class]
}

func (b *Budget) capacity() int64 {
	return b.rate * int64(burstDuration)
}

// refill adds the tokens for the time since the last update. A rate of one byte per
// second is one thousandth of a byte per millisecond.
func (b *Budget) refill(now clock.Millis) {
	if now <= b.updated {
		return
	}
	passed := min(int64(now-b.updated), 2*int64(burstDuration))
	b.tokens = min(b.tokens+passed*b.rate, b.capacity())
	b.updated = now
}
