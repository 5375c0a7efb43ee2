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
	// DefaultControlRate is the rate for fleets of up to nine entry VMs.
	DefaultControlRate = 4_000
	// MaxControlRate is the rate for the largest fleets.
	MaxControlRate = 24_000
)

// burstDuration is the time in which the rate fills an empty bucket.
const burstDuration = 2 * clock.Second

// reservedPerMille is the part of the bucket, in thousandths, that each class must leave to
// those of higher priority.
var reservedPerMille = [classCount]int64{0, 100, 300, 500}

const perMille = 1000

// RateLimiter limits the control traffic that a daemon sends. It is a token bucket, part of
// which is reserved for classes of higher priority. Unlike the limiter of golang.org/x/time/rate,
// its balance may become negative, as bytes are also charged after they were sent. It is safe for
// concurrent use.
type RateLimiter struct {
	mu       sync.Mutex
	rate     int64 // bytes per second
	tokens   int64 // thousandths of a byte, negative after Charge or Reconcile exceeded the balance
	updated  clock.Millis
	spent    [classCount]uint64
	rejected [classCount]uint64
	framing  uint64
}

// NewRateLimiter returns a full RateLimiter for a rate in bytes per second.
func NewRateLimiter(now clock.Millis, rate int) *RateLimiter {
	l := &RateLimiter{rate: int64(rate), updated: now}
	l.tokens = l.capacity()
	return l
}

// Rate returns the limit in bytes per second.
func (l *RateLimiter) Rate() int { return int(l.rate) }

// Allow reports whether a class may send a number of bytes, and charges them if so.
func (l *RateLimiter) Allow(now clock.Millis, class Class, bytes int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	cost := int64(bytes) * perMille
	if l.tokens-cost < l.capacity()/perMille*reservedPerMille[class] {
		l.rejected[class]++
		return false
	}
	l.tokens -= cost
	l.spent[class] += uint64(bytes)
	return true
}

// Charge charges bytes that were sent in addition to those passed to Allow, such as
// framing. The balance may become negative; Allow then rejects requests until it has
// recovered.
func (l *RateLimiter) Charge(now clock.Millis, class Class, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	l.tokens -= int64(bytes) * perMille
	l.spent[class] += uint64(bytes)
}

// Reconcile charges the bytes by which the total sent since the start, as counted at the
// sockets, exceeds the total charged so far.
func (l *RateLimiter) Reconcile(now clock.Millis, sent uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	charged := l.framing
	for _, spent := range l.spent {
		charged += spent
	}
	if sent > charged {
		l.tokens -= int64(sent-charged) * perMille
		l.framing += sent - charged
	}
}

// Framing returns the bytes charged by Reconcile since the start.
func (l *RateLimiter) Framing() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.framing
}

// Spent returns the bytes charged to a class since the start.
func (l *RateLimiter) Spent(class Class) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.spent[class]
}

// Rejected returns how many requests of a class were rejected since the start.
func (l *RateLimiter) Rejected(class Class) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rejected[class]
}

func (l *RateLimiter) capacity() int64 {
	return l.rate * int64(burstDuration)
}

// refill adds the tokens for the time since the last update. A rate of one byte per
// second is one thousandth of a byte per millisecond.
func (l *RateLimiter) refill(now clock.Millis) {
	if now <= l.updated {
		return
	}
	passed := min(int64(now-l.updated), 2*int64(burstDuration))
	l.tokens = min(l.tokens+passed*l.rate, l.capacity())
	l.updated = now
}
