package member

import "github.com/almondflow/almondflow/clock"

// observe notices that the process did not run for a while. What it heard before may
// have changed meanwhile, so it is forgotten.
func (m *Machine) observe(now clock.Millis) {
	if now-m.lastTick <= pauseGap {
		return
	}
	m.lastTick = now
	m.paused = true
	m.pausedAt = now
	m.outstanding = m.outstanding[:0]
	clear(m.lease.evidence)
	m.nextProbe = now
	m.fastUntil = now + fastSpan
	for _, id := range m.suspects {
		m.peers[id].since = now
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

// endFruitlessPause resumes a daemon that reaches nobody: cut off, it goes on serving
// what it can. Voting stays impossible for it.
func (m *Machine) endFruitlessPause(now clock.Millis) {
	isAlone := m.list != nil && len(m.peers) == 0
	if m.paused && (isAlone || now-m.pausedAt >= resumeTimeout) {
		m.resume(now)
	}
}
