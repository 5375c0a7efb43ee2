package member

import (
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
)

// pull is a pending request for a document of which a peer has a higher version.
type pull struct {
	name    string
	version uint64
	from    fleet.ID // peer that last offered it
	due     clock.Millis
}

// compareVersions schedules pulls for documents of which the sender has a higher version.
func (m *Machine) compareVersions(now clock.Millis, from fleet.ID, message *Message) {
	for _, v := range message.Versions[:min(len(message.Versions), MaxVersions)] {
		if v.Number > m.versions.number(v.Name) {
			m.schedulePull(now, from, v)
		}
	}
}

// schedulePull schedules a pull after a random delay, which spreads the requests of
// daemons that learn of a version at the same time.
func (m *Machine) schedulePull(now clock.Millis, from fleet.ID, v Version) {
	for i := range m.pulls {
		p := &m.pulls[i]
		if p.name == v.Name {
			if v.Number >= p.version {
				p.version = v.Number
				p.from = from
			}
			return
		}
	}
	if len(m.pulls) == MaxVersions {
		return
	}
	due := now + clock.Millis(m.random.Int64N(int64(maxPullJitter)))
	m.pulls = append(m.pulls, pull{name: v.Name, version: v.Number, from: from, due: due})
}

// requestPulls requests the pulls that are due. Each is repeated, from the peer that last
// offered the version, until the daemon uses it.
func (m *Machine) requestPulls(now clock.Millis) {
	for i := range m.pulls {
		p := &m.pulls[i]
		if now < p.due {
			continue
		}
		p.due = now + pullRetryDelay + clock.Millis(m.random.Int64N(int64(maxPullJitter)))
		m.sink.Event(Event{At: now, Kind: PullRequested, Member: p.from, Name: p.name, Version: p.version})
	}
}

func (m *Machine) cancelPull(name string, current uint64) {
	m.pulls = slices.DeleteFunc(m.pulls, func(p pull) bool {
		return p.name == name && p.version <= current
	})
}
