package placement

import (
	"sync/atomic"

	"github.com/almondflow/almondflow/clock"
)

// windowLength is the length of one counting window.
const windowLength = 1 * clock.Second

// Layout of the packed windows: the number of the current window, called its epoch, then the
// counts of the previous and of the current window.
const (
	countBits = 20
	countMask = 1<<countBits - 1
	epochMask = 1<<(64-2*countBits) - 1
)

// window counts the events of the current and the previous window in a single word, which
// goroutines update without a lock. The counts saturate at 2^20-1 per window.
type window struct {
	packed atomic.Uint64
}

func pack(epoch, previous, current uint64) uint64 {
	return epoch<<(2*countBits) | previous<<countBits | current
}

// unpackAt returns the epoch and the counts of the packed windows as of now.
func unpackAt(packed uint64, now clock.Millis) (epoch, previous, current uint64) {
	epoch = uint64(now/windowLength) & epochMask
	stored := packed >> (2 * countBits)
	switch epoch {
	case stored:
		return epoch, packed >> countBits & countMask, packed & countMask
	case (stored + 1) & epochMask:
		return epoch, packed & countMask, 0
	default:
		return epoch, 0, 0
	}
}

// add counts one event.
func (w *window) add(now clock.Millis) {
	for {
		packed := w.packed.Load()
		epoch, previous, current := unpackAt(packed, now)
		if w.packed.CompareAndSwap(packed, pack(epoch, previous, min(current+1, countMask))) {
			return
		}
	}
}

// remove subtracts one event, from the previous window if that has any. It does nothing if
// there is none.
func (w *window) remove(now clock.Millis) {
	for {
		packed := w.packed.Load()
		epoch, previous, current := unpackAt(packed, now)
		switch {
		case previous > 0:
			previous--
		case current > 0:
			current--
		default:
			return
		}
		if w.packed.CompareAndSwap(packed, pack(epoch, previous, current)) {
			return
		}
	}
}

// count returns the events of the current and the previous window.
func (w *window) count(now clock.Millis) int64 {
	_, previous, current := unpackAt(w.packed.Load(), now)
	return int64(previous + current)
}
