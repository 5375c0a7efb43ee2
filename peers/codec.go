package peers

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/member"
)

// encode converts a message to what goes over the wire.
func encode(m *member.Message) *Gossip {
	g := &Gossip{
		Kind:            Kind(m.Kind),
		Sequence:        m.Sequence,
		Subject:         uint64(m.Subject),
		Incarnation:     m.Incarnation,
		Run:             m.Run,
		AgeMilliseconds: uint64(max(m.Age, 0)),
		List:            m.List,
		Previous:        m.Previous,
		Settled:         m.Settled,
		Established:     m.Established,
		Counts:          m.Counts,
	}
	for _, v := range m.Versions {
		wire := &DocumentVersion{Name: v.Name, Number: v.Number}
		if v.Confirmed {
			wire.ConfirmedAgePlusOne = uint64(max(v.ConfirmedAge, 0)) + 1
		}
		g.Versions = append(g.Versions, wire)
	}
	for _, u := range m.Updates {
		g.Updates = append(g.Updates, &MemberUpdate{Id: uint64(u.ID), Status: uint32(u.Status), Incarnation: u.Incarnation})
	}
	return g
}

// decode converts what came over the wire. Parts beyond the bounds of a message are
// dropped, unknown kinds are left for the machine to ignore.
func decode(g *Gossip) *member.Message {
	m := &member.Message{
		Kind:        member.Kind(g.GetKind()),
		Sequence:    g.GetSequence(),
		Subject:     fleet.ID(g.GetSubject()),
		Incarnation: g.GetIncarnation(),
		Run:         g.GetRun(),
		Age:         millis(g.GetAgeMilliseconds()),
		List:        g.GetList(),
		Previous:    g.GetPrevious(),
		Settled:     g.GetSettled(),
		Established: g.GetEstablished(),
	}
	if len(g.GetCounts()) <= member.MaximumCountsBytes {
		m.Counts = g.GetCounts()
	}
	for _, v := range firstOf(g.GetVersions(), member.MaximumVersions) {
		version := member.Version{Name: v.GetName(), Number: v.GetNumber()}
		if age := v.GetConfirmedAgePlusOne(); age > 0 {
			version.Confirmed = true
			version.ConfirmedAge = millis(age - 1)
		}
		m.Versions = append(m.Versions, version)
	}
	for _, u := range firstOf(g.GetUpdates(), member.MaximumUpdates) {
		m.Updates = append(m.Updates, member.Update{
			ID: fleet.ID(u.GetId()), Status: memberStatus(u.GetStatus()), Incarnation: u.GetIncarnation(),
		})
	}
	return m
}

func firstOf[T any](all []T, most int) []T { return all[:min(len(all), most)] }

// longestAge keeps ages that a faulty peer sends from overflowing.
const longestAge = 10 * 365 * 24 * clock.Hour

func millis(age uint64) clock.Millis { return clock.Millis(min(age, uint64(longestAge))) }

// memberStatus maps unknown numbers to 0, which the machine ignores.
func memberStatus(number uint32) member.Status {
	if number > uint32(member.Left) {
		return 0
	}
	return member.Status(number)
}
