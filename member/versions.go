package member

import (
	"slices"
	"strings"

	"github.com/almondflow/almondflow/clock"
)

// currentVersion is the version of a document that this daemon uses.
type currentVersion struct {
	name        string
	number      uint64
	confirmed   bool
	confirmedAt clock.Millis
}

// versions holds the current versions of all documents, sorted by name.
type versions []currentVersion

// SetVersions sets which versions of documents this daemon uses and when the platform
// last confirmed them. Versions that are not higher are ignored. So is the version of the
// list, which SetList sets, except for its confirmation.
func (m *Machine) SetVersions(now clock.Millis, current []Version) {
	m.detectPause(now)
	for _, v := range current {
		if v.Name != ListName && m.versions.advance(v) {
			m.cancelPull(v.Name, v.Number)
			m.sink.Event(Event{At: now, Kind: VersionInUse, Name: v.Name, Version: v.Number})
		}
		m.versions.confirm(now, v)
	}
}

// advance stores a version if it is higher than the current one and reports whether it
// did.
func (v *versions) advance(version Version) bool {
	at, found := v.find(version.Name)
	switch {
	case found && version.Number > (*v)[at].number:
		(*v)[at] = currentVersion{name: version.Name, number: version.Number}
	case !found && len(*v) < MaxVersions:
		*v = slices.Insert(*v, at, currentVersion{name: version.Name, number: version.Number})
	default:
		return false
	}
	return true
}

// confirm records when the platform was last known to hold nothing newer than the current
// version.
func (v *versions) confirm(now clock.Millis, version Version) {
	at, found := v.find(version.Name)
	if !found || !version.Confirmed || (*v)[at].number != version.Number {
		return
	}
	c := &(*v)[at]
	confirmedAt := now - max(version.ConfirmedAge, 0)
	if !c.confirmed || confirmedAt > c.confirmedAt {
		c.confirmed = true
		c.confirmedAt = confirmedAt
	}
}

func (v *versions) number(name string) uint64 {
	at, found := v.find(name)
	if !found {
		return 0
	}
	return (*v)[at].number
}

func (v *versions) find(name string) (int, bool) {
	return slices.BinarySearchFunc(*v, name, func(c currentVersion, name string) int {
		return strings.Compare(c.name, name)
	})
}

// digest returns the current versions as sent in messages.
func (v *versions) digest(now clock.Millis) []Version {
	digest := make([]Version, 0, len(*v))
	for _, c := range *v {
		version := Version{Name: c.name, Number: c.number, Confirmed: c.confirmed}
		if c.confirmed {
			version.ConfirmedAge = now - c.confirmedAt
		}
		digest = append(digest, version)
	}
	return digest
}
