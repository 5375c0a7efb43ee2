package placement

import (
	"sync/atomic"

	"github.com/almondflow/almondflow/clock"
)

// windowSpan is the length of one counting window.
const windowSpan = 1 * clock.Second

// Layout of the packed word of a window: the epoch, then the counts of the window
// before and of the current one.
const (
	countBits = 20
	countMask = 1<<countBits - 1
	epochMask = 1<<(64-2*countBits) - 1
)

// window counts events of the last one to two spans in one word, so that workers
// update it without a lock. Counts stop at 2^20-1 a span.
type window struct {
	word atomic.Uint64
}

func pack(epoch, before, current uint64) uint64 {
	return epoch<<(2*countBits) | before<<countBits | current
}

// rolled returns the epoch and counts of the word as they stand at now.
func rolled(word uint64, now clock.Millis) (epoch, before, current uint64) {
	epoch = uint64(now/windowSpan) & epochMask
	stored := word >> (2 * countBits)
	switch epoch {
	case stored:
		return epoch, word >> countBits & countMask, word & countMask
	case (stored + 1) & epochMask:
		return epoch, word & countMask, 0
	default:
		return epoch, 0, 0
	}
}

// add counts one event.
func (w *window) add(now clock.Millis) {
	for {
		word := w.word.Load()
		epoch, before, current := rolled(word, now)
		if w.word.CompareAndSwap(word, pack(epoch, before, min(current+1, countMask))) {
			return
		}
	}
}

// remove takes one event back. It does nothing when there is none.
func (w *window) remove(now clock.Millis) {
	for {
		word := w.word.Load()
		epoch, before, current := rolled(word, now)
		switch {
		case before > 0:
			before--
		case current > 0:
			current--
		default:
			return
		}
		if w.word.CompareAndSwap(word, pack(epoch, before, current)) {
			return
		}
	}
}

// count returns the events of the last one to two spans.
func (w *window) count(now clock.Millis) int64 {
	_, before, current := rolled(w.word.Load(), now)
	return int64(before + current)
}
