package peers

import (
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/member"
)

// encode converts a message to its protobuf form.
func encode(m *member.Message) *Gossip {
	g := &Gossip{
		Kind:            Kind(m.Kind),
		Sequence:        m.Sequence,
		Subject:         uint64(m.Subject),
		Incarnation:     m.Incarnation,
		Run:             m.StartIncarnation,
		AgeMilliseconds: uint64(max(m.ProcessAge, 0)),
		List:            m.ListVersion,
		Anchor:          m.AnchorVersion,
		Visited:         m.VisitedVersions,
		Wanted:          m.WantedPredecessor,
		Settled:         m.SettledVersion,
		Established:     m.Established,
		Counts:          m.TargetReports,
	}
	g.PredecessorVersion = m.Predecessor.Version
	for _, id := range m.Predecessor.Members {
		g.PredecessorMembers = append(g.PredecessorMembers, uint64(id))
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

// decode converts a message from its protobuf form. It discards versions and updates beyond
// the limits of a message, and target reports that are too long. It keeps unknown kinds, which
// member.Machine ignores.
func decode(g *Gossip) *member.Message {
	m := &member.Message{
		Kind:              member.Kind(g.GetKind()),
		Sequence:          g.GetSequence(),
		Subject:           fleet.ID(g.GetSubject()),
		Incarnation:       g.GetIncarnation(),
		StartIncarnation:  g.GetRun(),
		ProcessAge:        millis(g.GetAgeMilliseconds()),
		ListVersion:       g.GetList(),
		AnchorVersion:     g.GetAnchor(),
		VisitedVersions:   g.GetVisited(),
		WantedPredecessor: g.GetWanted(),
		SettledVersion:    g.GetSettled(),
		Established:       g.GetEstablished(),
	}
	if len(g.GetCounts()) <= member.MaxTargetReportBytes {
		m.TargetReports = g.GetCounts()
	}
	for _, v := range truncate(g.GetVersions(), member.MaxVersions) {
		version := member.Version{Name: v.GetName(), Number: v.GetNumber()}
		if age := v.GetConfirmedAgePlusOne(); age > 0 {
			version.Confirmed = true
			version.ConfirmedAge = millis(age - 1)
		}
		m.Versions = append(m.Versions, version)
	}
	for _, u := range truncate(g.GetUpdates(), member.MaxUpdates) {
		m.Updates = append(m.Updates, member.Update{
			ID:          fleet.ID(u.GetId()),
			Status:      memberStatus(u.GetStatus()),
			Incarnation: u.GetIncarnation(),
		})
	}
	decodePredecessor(g, &m.Predecessor)
	return m
}

// decodePredecessor decodes the members of the preceding list. If there are too many, it decodes
// none of them, because a majority can't be computed from a part of the members.
func decodePredecessor(g *Gossip, p *member.ListMembers) {
	members := g.GetPredecessorMembers()
	if g.GetPredecessorVersion() == 0 || len(members) > member.MaxPredecessorMembers {
		return
	}
	p.Version = g.GetPredecessorVersion()
	for _, id := range members {
		p.Members = append(p.Members, fleet.ID(id))
	}
	slices.Sort(p.Members)
}

// truncate returns the first limit elements of all, or all if there are fewer.
func truncate[T any](all []T, limit int) []T { return all[:min(len(all), limit)] }

// maxAge limits received ages, so that a faulty peer cannot cause an overflow.
const maxAge = 10 * 365 * 24 * clock.Hour

// millis converts a received age.
func millis(age uint64) clock.Millis { return clock.Millis(min(age, uint64(maxAge))) }

// memberStatus converts a received status. It maps unknown numbers to 0, which
// member.Machine ignores.
func memberStatus(number uint32) member.Status {
	if number > uint32(member.Left) {
		return 0
	}
	return member.Status(number)
}
