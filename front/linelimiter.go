package front

import "github.com/almondflow/almondflow/clock"

// lineLimiter limits the routine log lines per second. Lines about rare events and failures are
// not limited.
type lineLimiter struct {
	perSecond   int
	remaining   int
	suppressed  int
	windowStart clock.Millis
}

func newLineLimiter(perSecond int) *lineLimiter {
	return &lineLimiter{perSecond: perSecond, remaining: perSecond}
}

// allow reports whether a routine line may be logged, and counts it.
func (l *lineLimiter) allow() bool {
	if l.remaining == 0 {
		l.suppressed++
		return false
	}
	l.remaining--
	return true
}

// refill starts a new window once the current one is a second old, and returns how many lines it
// suppressed.
func (l *lineLimiter) refill(now clock.Millis) int {
	if now-l.windowStart < clock.Second {
		return 0
	}
	suppressed := l.suppressed
	l.windowStart, l.remaining, l.suppressed = now, l.perSecond, 0
	return suppressed
}
