package clock

import "golang.org/x/sys/unix"

// PauseDetector detects that the machine was suspended. A monotonic clock does not count the
// time suspended, whereas the system's clock since boot does. A PauseDetector is not safe for
// concurrent use.
type PauseDetector struct {
	sinceBoot func() (Millis, error)
	monotonic Clock
	offset    Millis // of the clock since boot relative to the monotonic clock
	hasOffset bool
}

// NewPauseDetector returns a PauseDetector that compares a monotonic clock with the system's
// clock since boot.
func NewPauseDetector(monotonic Clock) *PauseDetector {
	return NewPauseDetectorWithClocks(monotonic, readSinceBoot)
}

// NewPauseDetectorWithClocks returns a PauseDetector that compares a monotonic clock with the
// given clock since boot, which includes time suspended.
func NewPauseDetectorWithClocks(monotonic Clock, sinceBoot func() (Millis, error)) *PauseDetector {
	return &PauseDetector{sinceBoot: sinceBoot, monotonic: monotonic}
}

// PausedFor returns how long the machine was suspended since the last call, and zero on the
// first call. It fails if the clock since boot cannot be read.
func (d *PauseDetector) PausedFor() (Millis, error) {
	boot, err := d.sinceBoot()
	if err != nil {
		return 0, err
	}
	offset := boot - d.monotonic.Now()
	paused := offset - d.offset
	isFirst := !d.hasOffset
	d.offset, d.hasOffset = offset, true
	if isFirst {
		return 0, nil
	}
	return max(0, paused), nil
}

func readSinceBoot() (Millis, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return Millis(t.Nano() / 1e6), nil
}
