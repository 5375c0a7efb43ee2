package front

import (
	"sync"

	"github.com/almondflow/almondflow/clock"
)

// minPause is the shortest pause of the machine that makes its view unreliable.
const minPause = 500 * clock.Millisecond

// backlogReadTime is the maximum time to read the messages that waited during a pause.
const backlogReadTime = 300 * clock.Millisecond

// pauseDetector counts the pauses of the machine. The monotonic clock does not advance during a
// pause, so messages and responses that waited meanwhile appear younger than they are.
type pauseDetector struct {
	mu       sync.Mutex
	detector *clock.PauseDetector
	count    int
}

// check detects a pause since the last check. It returns the duration of the pause, or zero, and
// the number of pauses so far. It returns an error if the operating system's clock cannot be read.
func (p *pauseDetector) check() (clock.Millis, int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	paused, err := p.detector.PausedFor()
	if err != nil || paused < minPause {
		return 0, p.count, err
	}
	p.count++
	return paused, p.count, nil
}

// checkForPause makes a VM that was paused read the store before it relies on its view, and ignore
// messages that may have waited during the pause. It returns the number of pauses so far.
func (d *Daemon) checkForPause(now clock.Millis) int {
	paused, count, err := d.pauseDetector.check()
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
	d.mu.Unlock()
	d.log.Warn("paused", "at_ms", now, "for_ms", paused)
	d.wakeReader()
	return count
}
