// Package clock defines the time type of almondflow, monotonic milliseconds, and its
// clocks.
package clock

import (
	"sync/atomic"
	"time"
)

// Millis is a point in time on a monotonic clock, or a duration, in milliseconds. The
// origin is arbitrary, so points in time of different processes cannot be compared.
type Millis int64

// Common durations.
const (
	Millisecond Millis = 1
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
	Hour               = 60 * Minute
)

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Time converts m for libraries that use only the differences of times.
func (m Millis) Time() time.Time { return time.UnixMilli(int64(m)) }

// FromDuration converts a time.Duration, rounding towards zero.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock returns the current time.
type Clock interface {
	Now() Millis
}

// System is a Clock that reads the monotonic clock of the operating system.
type System struct {
	origin time.Time
}

// NewSystem returns a System clock whose origin is the time of the call.
func NewSystem() *System {
	return &System{origin: time.Now()}
}

// Now returns the milliseconds since the origin.
func (s *System) Now() Millis {
	return FromDuration(time.Since(s.origin))
}

// Fake is a Clock for tests that moves only when Advance is called.
type Fake struct {
	now atomic.Int64
}

// Now returns the current time of the fake clock.
func (f *Fake) Now() Millis {
	return Millis(f.now.Load())
}

// Advance moves the clock forward by d milliseconds.
func (f *Fake) Advance(d Millis) {
	f.now.Add(int64(d))
}
