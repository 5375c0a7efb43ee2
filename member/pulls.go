package member

import (
	"slices"
	"strings"

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
	if message.List > m.listVersion() {
		m.wantPull(now, from, Version{Name: ListName, Number: message.List})
	}
	for _, v := range message.Versions[:min(len(message.Versions), MaximumVersions)] {
		if v.Name != ListName && v.Number > m.versionOf(v.Name) {
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

func (m *Machine) versionOf(name string) uint64 {
	at, found := m.findVersion(name)
	if !found {
		return 0
	}
	return m.versions[at].Number
}

func (m *Machine) findVersion(name string) (int, bool) {
	return slices.BinarySearchFunc(m.versions, name, func(v Version, name string) int {
		return strings.Compare(v.Name, name)
	})
}

// putVersion replaces the digest, which messages that were sent still refer to.
func (m *Machine) putVersion(v Version) {
	at, found := m.findVersion(v.Name)
	versions := slices.Clone(m.versions)
	if found {
		versions[at] = v
	} else if len(versions) < MaximumVersions {
		versions = slices.Insert(versions, at, v)
	}
	m.versions = versions
}
