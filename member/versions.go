package member

import (
	"slices"
	"strings"

	"github.com/almondflow/almondflow/clock"
)

// inForce is a document in force here.
type inForce struct {
	name        string
	number      uint64
	confirmed   bool
	confirmedAt clock.Millis
}

// versions are the documents in force, sorted by name.
type versions []inForce

// SetVersions tells which documents the daemon has in force and when the platform last
// confirmed them. Versions that are not higher are ignored; the version of the list is
// known from SetList.
func (m *Machine) SetVersions(now clock.Millis, inForce []Version) {
	m.observe(now)
	for _, v := range inForce {
		if v.Name != ListName && m.versions.raise(v) {
			m.dropPull(v.Name, v.Number)
			m.sink.Event(Event{At: now, Kind: VersionInForce, Name: v.Name, Version: v.Number})
		}
		m.versions.confirm(now, v)
	}
}

// raise takes a version over if it is higher and reports whether it was.
func (v *versions) raise(version Version) bool {
	at, found := v.find(version.Name)
	switch {
	case found && version.Number > (*v)[at].number:
		(*v)[at] = inForce{name: version.Name, number: version.Number}
	case !found && len(*v) < MaximumVersions:
		*v = slices.Insert(*v, at, inForce{name: version.Name, number: version.Number})
	default:
		return false
	}
	return true
}

// confirm notes when the platform held nothing newer than the version in force.
func (v *versions) confirm(now clock.Millis, version Version) {
	at, found := v.find(version.Name)
	if !found || !version.Confirmed || (*v)[at].number != version.Number {
		return
	}
	f := &(*v)[at]
	confirmedAt := now - max(version.ConfirmedAge, 0)
	if !f.confirmed || confirmedAt > f.confirmedAt {
		f.confirmed = true
		f.confirmedAt = confirmedAt
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
	return slices.BinarySearchFunc(*v, name, func(f inForce, name string) int {
		return strings.Compare(f.name, name)
	})
}

// digest returns what a message tells of the versions.
func (v *versions) digest(now clock.Millis) []Version {
	digest := make([]Version, 0, len(*v))
	for _, f := range *v {
		version := Version{Name: f.name, Number: f.number, Confirmed: f.confirmed}
		if f.confirmed {
			version.ConfirmedAge = now - f.confirmedAt
		}
		digest = append(digest, version)
	}
	return digest
}
