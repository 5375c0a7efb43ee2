package clock

import "golang.org/x/sys/unix"

// PauseWatch detects that the machine was suspended. The monotonic clock does not count
// that time, whereas the clock since boot does.
type PauseWatch struct {
	sinceBoot func() (Millis, error)
	monotonic Clock
	offset    Millis // of the clock since boot relative to the monotonic clock
	hasOffset bool
}

// NewPauseWatch returns a PauseWatch that compares a monotonic clock with the system's
// clock since boot.
func NewPauseWatch(monotonic Clock) *PauseWatch {
	return NewPauseWatchBeside(monotonic, readSinceBoot)
}

// NewPauseWatchBeside returns a PauseWatch that compares a monotonic clock with the given
// clock since boot, which includes time suspended.
func NewPauseWatchBeside(monotonic Clock, sinceBoot func() (Millis, error)) *PauseWatch {
	return &PauseWatch{sinceBoot: sinceBoot, monotonic: monotonic}
}

// Paused returns how long the machine was suspended since the last call. It fails if the
// clock since boot cannot be read.
func (w *PauseWatch) Paused() (Millis, error) {
	boot, err := w.sinceBoot()
	if err != nil {
		return 0, err
	}
	offset := boot - w.monotonic.Now()
	paused := offset - w.offset
	isFirst := !w.hasOffset
	w.offset, w.hasOffset = offset, true
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
