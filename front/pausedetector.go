package front

import (
	"sync"
	"sync/atomic"

	"github.com/almondflow/almondflow/clock"
)

const (
	// minPause is the shortest pause of the machine that makes its view unreliable.
	minPause = 500 * clock.Millisecond
	// minStall is the shortest time without a check that counts as a pause of the process. The
	// periodic tasks check every tickInterval, so that several ticks must have been missed.
	minStall = 1500 * clock.Millisecond
)

// backlogReadTime is the maximum time to read the messages that waited during a pause.
const backlogReadTime = 300 * clock.Millisecond

// pauseDetector counts the pauses of the machine, during which the monotonic clock does not advance,
// and those of the process alone, during which it does. Messages that waited meanwhile appear younger
// than they are after either, and responses after the first.
type pauseDetector struct {
	mu        sync.Mutex
	detector  *clock.PauseDetector
	count     int
	checkedAt atomic.Int64 // time of the last check in milliseconds
}

// isStalled reports whether no check was made for so long that the process must have been paused.
func (p *pauseDetector) isStalled(now clock.Millis) bool {
	return now-clock.Millis(p.checkedAt.Load()) >= minStall
}

// check detects a pause since the last check. It returns the duration of the pause, or zero, and
// the number of pauses so far. It returns an error if the operating system's clock cannot be read.
func (p *pauseDetector) check(now clock.Millis) (clock.Millis, int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	stalled := now - clock.Millis(p.checkedAt.Swap(int64(now)))
	paused, err := p.detector.PausedFor()
	if stalled >= minStall {
		paused = max(paused, 0) + stalled
	}
	if paused < minPause {
		return 0, p.count, err
	}
	p.count++
	return paused, p.count, err
}

// checkForPause makes a VM that was paused read the store before it relies on its view, and ignore
// messages that may have waited during the pause. It returns the number of pauses so far.
func (d *Daemon) checkForPause(now clock.Millis) int {
	paused, count, err := d.pauseDetector.check(now)
	if err != nil {
		d.logRoutine("pause_unknown", "error", err)
	}
	if paused == 0 {
		return count
	}
	d.mu.Lock()
	d.ignoreMessagesUntil = now + backlogReadTime
	d.readScheduler.RecordPause()
	d.engine.HoldOff(now)
	d.engine.ForgetLoad()
	d.mu.Unlock()
	d.log.Warn("paused", "at_ms", now, "for_ms", paused)
	d.wakeReader()
	return count
}
