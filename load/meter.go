package load

import "github.com/almondflow/almondflow/clock"

// Times after which a change shows by about two thirds in the averages of a Meter.
const (
	// busySmoothingTime is shorter, as the time under way is summed exactly and a queue that has emptied must
	// not count for long.
	busySmoothingTime = 500 * clock.Millisecond
	// rateSmoothingTime is longer, as few requests finish in a window.
	rateSmoothingTime = 750 * clock.Millisecond
)

// Meter measures the work that this entry VM has at one target. Beginning and ending a request changes two
// counters and an exact sum; averages are taken when a window closes. The zero value is ready for use.
type Meter struct {
	busy      int32        // requests under way
	finished  int32        // requests answered in this window
	changedAt clock.Millis // when busy last changed
	busyTime  clock.Millis // time that requests were under way in this window, summed over them
	average   float32      // requests under way
	rate      float32      // requests finished per second
	hasWindow bool         // a window was measured before this one
}

// Begin records that a request begins.
func (m *Meter) Begin(now clock.Millis) {
	m.advance(now)
	m.busy++
}

// End records that a request is no longer under way, as far as this VM knows.
func (m *Meter) End(now clock.Millis) {
	m.advance(now)
	m.busy--
}

// AddFinished counts a request as finished.
func (m *Meter) AddFinished() { m.finished++ }

// CloseWindow adds the window that began the given time ago to the averages.
func (m *Meter) CloseWindow(now, elapsed clock.Millis) {
	m.advance(now)
	if elapsed > 0 {
		m.average += m.weightOf(elapsed, busySmoothingTime) * (float32(m.busyTime)/float32(elapsed) - m.average)
		m.rate += m.weightOf(elapsed, rateSmoothingTime) * (float32(m.finished)*float32(clock.Second)/float32(elapsed) - m.rate)
		m.hasWindow = true
	}
	m.startWindow(now)
}

// weightOf returns the weight of a window in the averages. The first one, or the first after Forget, makes them alone.
func (m *Meter) weightOf(elapsed, smoothingTime clock.Millis) float32 {
	if !m.hasWindow {
		return 1
	}
	return float32(elapsed) / float32(elapsed+smoothingTime)
}

// startWindow starts a new window.
func (m *Meter) startWindow(now clock.Millis) {
	m.changedAt, m.busyTime, m.finished = now, 0, 0
}

// Forget forgets what was measured. Requests under way remain counted until they end.
func (m *Meter) Forget() { *m = Meter{busy: m.busy, changedAt: m.changedAt} }

// Restart forgets what was measured and starts a new window, as the length of this one says nothing if the
// process stood still meanwhile.
func (m *Meter) Restart(now clock.Millis) {
	m.Forget()
	m.startWindow(now)
}

// Busy returns the number of requests under way now.
func (m *Meter) Busy() int { return int(m.busy) }

// Average returns the averages, with a number of open flows.
func (m *Meter) Average(flows int) Work {
	return Work{Busy: float64(m.average), Finished: float64(m.rate), Flows: float64(flows)}
}

// advance adds the time since the last change to the window.
func (m *Meter) advance(now clock.Millis) {
	m.busyTime += clock.Millis(m.busy) * max(0, now-m.changedAt)
	m.changedAt = max(m.changedAt, now)
}

// IsQuiet reports whether the averages round to nothing in a report.
func (m *Meter) IsQuiet() bool { return m.average < busyUnit/2 && m.rate < finishedUnit/2 }
