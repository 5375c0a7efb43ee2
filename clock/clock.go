// Package clock holds the one time type of almondflow: monotonic milliseconds.
package clock

import (
	"sync/atomic"
	"time"
)

// Millis is a point on a monotonic clock, or a span of it, in milliseconds.
// The origin is arbitrary, so two processes cannot compare their points.
type Millis int64

// Spans that settings and constants are written in.
const (
	Millisecond Millis = 1
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
	Hour               = 60 * Minute
)

// Duration converts a span to the standard library's type.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration converts a standard library span, rounding towards zero.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock tells the current point in time.
type Clock interface {
	Now() Millis
}

// System reads the monotonic clock of the operating system.
type System struct {
	origin time.Time
}

// NewSystem returns a System clock whose origin is the moment of the call.
func NewSystem() *System {
	return &System{origin: time.Now()}
}

// Now returns the milliseconds since the origin.
func (s *System) Now() Millis {
	return FromDuration(time.Since(s.origin))
}

// Fake is a Clock for tests that only moves when it is told to.
type Fake struct {
	now atomic.Int64
}

// Now returns the point last set.
func (f *Fake) Now() Millis {
	return Millis(f.now.Load())
}

// Advance moves the clock forward by the span d.
func (f *Fake) Advance(d Millis) {
	f.now.Add(int64(d))
}
