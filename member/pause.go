package member

import "github.com/almondflow/almondflow/clock"

// detectPause discards the answers received before a time in which the process did not
// run, because they may be stale.
func (m *Machine) detectPause(now clock.Millis) {
	if now-m.lastTick <= maxTickGap {
		return
	}
	m.lastTick = now
	m.paused = true
	m.pausedAt = now
	m.outstanding = m.outstanding[:0]
	clear(m.lease.states)
	m.nextProbeAt = now
	m.fastProbingUntil = now + fastProbingDuration
	for _, id := range m.suspects {
		m.peers[id].suspectedAt = now
	}
	m.sink.Event(Event{At: now, Kind: Paused})
}

func (m *Machine) resume(now clock.Millis) {
	if !m.paused {
		return
	}
	m.paused = false
	m.sink.Event(Event{At: now, Kind: Resumed})
}

// expirePause ends the pause of a daemon that gets no answers, for example on the
// minority side of a partition, so that it serves what it can. It cannot vote in this
// state.
func (m *Machine) expirePause(now clock.Millis) {
	isAlone := m.list != nil && len(m.peers) == 0
	if m.paused && (isAlone || now-m.pausedAt >= resumeTimeout) {
		m.resume(now)
	}
}
