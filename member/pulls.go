package member

import (
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
)

// pull is a document that a peer has in a higher version.
type pull struct {
	name    string
	version uint64
	from    fleet.ID // the peer that last offered it
	due     clock.Millis
}

// hearVersions compares a peer's digest with this daemon's.
func (m *Machine) hearVersions(now clock.Millis, from fleet.ID, message *Message) {
	for _, v := range message.Versions[:min(len(message.Versions), MaximumVersions)] {
		if v.Number > m.versions.number(v.Name) {
			m.wantPull(now, from, v)
		}
	}
}

// wantPull schedules a pull after a random delay, so that daemons that learn of a
// version together do not ask together.
func (m *Machine) wantPull(now clock.Millis, from fleet.ID, v Version) {
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
	if len(m.pulls) == MaximumVersions {
		return
	}
	due := now + clock.Millis(m.random.Int64N(int64(pullJitter)))
	m.pulls = append(m.pulls, pull{name: v.Name, version: v.Number, from: from, due: due})
}

// requestPulls asks for the pulls that are due. Each is asked again, of the peer that
// offered it last, until the version is in force.
func (m *Machine) requestPulls(now clock.Millis) {
	for i := range m.pulls {
		p := &m.pulls[i]
		if now < p.due {
			continue
		}
		p.due = now + pullRetry + clock.Millis(m.random.Int64N(int64(pullJitter)))
		m.sink.Event(Event{At: now, Kind: PullWanted, Member: p.from, Name: p.name, Version: p.version})
	}
}

func (m *Machine) dropPull(name string, inForce uint64) {
	m.pulls = slices.DeleteFunc(m.pulls, func(p pull) bool {
		return p.name == name && p.version <= inForce
	})
}
