package member

import (
	"sync"

	"github.com/almondflow/almondflow/clock"
)

// Class is the priority class of control bytes, highest first.
type Class uint8

// Classes of control bytes.
const (
	// ClassVersions are digests and pulls of tables and lists.
	ClassVersions Class = iota
	// ClassSuspicion are indirect probes and updates about members.
	ClassSuspicion
	// ClassCounts are load counts.
	ClassCounts
	// ClassRepair are flow records of the background repair.
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
	case ClassCounts:
		return "counts"
	case ClassRepair:
		return "repair"
	default:
		return "unknown"
	}
}

// Rates of control traffic in bytes a second.
const (
	// DefaultBudgetRate is the rate for fleets of up to nine entry VMs.
	DefaultBudgetRate = 4_000
	// MaximumBudgetRate is the rate that the largest fleet may use.
	MaximumBudgetRate = 24_000
)

// budgetBurst is the time whose bytes the bucket holds.
const budgetBurst = 2 * clock.Second

// reservedPerMille is the part of the bucket that a class leaves to higher ones.
var reservedPerMille = [classCount]int64{0, 100, 300, 500}

const perMille = 1000

// Budget limits the control bytes that a daemon sends. It is a token bucket from which
// lower classes may take only what lies above the part reserved for higher ones. It is
// safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	rate     int64 // bytes a second
	tokens   int64 // thousandths of a byte, negative after a Charge
	updated  clock.Millis
	spent    [classCount]uint64
	rejected [classCount]uint64
	framing  uint64
}

// NewBudget returns a full bucket for a rate in bytes a second.
func NewBudget(now clock.Millis, rate int) *Budget {
	b := &Budget{rate: int64(rate), updated: now}
	b.tokens = b.capacity()
	return b
}

// Rate returns the limit in bytes a second.
func (b *Budget) Rate() int { return int(b.rate) }

// Allow takes bytes for a class and reports whether they may be sent.
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

// Charge takes bytes that were sent beyond what Allow was asked for, such as framing.
// The bucket may go into debt, which later calls of Allow have to wait for.
func (b *Budget) Charge(now clock.Millis, class Class, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens -= int64(bytes) * perMille
	b.spent[class] += uint64(bytes)
}

// Reconcile charges the bytes by which everything that was sent, counted at the sockets,
// exceeds what was granted so far.
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

// Framing returns the bytes that Reconcile charged since the start.
func (b *Budget) Framing() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.framing
}

// Spent returns the bytes that a class was granted since the start.
func (b *Budget) Spent(class Class) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent[class]
}

// Rejected returns how often a class was refused since the start.
func (b *Budget) Rejected(class Class) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rejected[class]
}

func (b *Budget) capacity() int64 {
	return b.rate * int64(budgetBurst)
}

// refill adds the tokens of the time that passed. A rate of one byte a second is one
// thousandth of a byte a millisecond.
func (b *Budget) refill(now clock.Millis) {
	if now <= b.updated {
		return
	}
	passed := min(int64(now-b.updated), 2*int64(budgetBurst))
	b.tokens = min(b.tokens+passed*b.rate, b.capacity())
	b.updated = now
}
