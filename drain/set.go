package drain

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strings"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// tombstoneRetention is how long the end of a drain is remembered. No message or response is under way
// for longer.
const tombstoneRetention = 3 * clock.Minute

// Set holds the newest mark of each domain. The zero value is empty. A Set is not safe for concurrent use.
type Set struct {
	marks map[string]record
}

// record is a mark with the time from which it was known.
type record struct {
	mark  Mark
	since clock.Millis
}

// Merge adds a mark unless a newer one of the same domain is known. It reports whether the drains in force
// changed, or the revision of one of them.
func (s *Set) Merge(now clock.Millis, m Mark) bool {
	known, ok := s.marks[m.Domain]
	if m.Domain == "" || ok && m.Revision <= known.mark.Revision {
		return false
	}
	if !ok && m.KnownMS > tombstoneRetention {
		return false // it was forgotten here
	}
	if s.marks == nil {
		s.marks = map[string]record{}
	}
	since := now - max(0, m.KnownMS)
	m.KnownMS = 0
	s.marks[m.Domain] = record{mark: m, since: since}
	wasInForce := ok && !known.mark.HasEnded
	return wasInForce || !m.HasEnded
}

// Missing returns the ends of the drains in force that a complete list lacks. The list was read at a
// revision, so it says nothing about drains that began later. One that began at that very revision contradicts the
// list, and stays: to place no flows is the safer error. A list that the store gave after it came back from an older
// copy may lack drains that are in force, so it ends none of an earlier era.
func (s *Set) Missing(complete []Mark, revision inband.Revision) []Mark {
	var ends []Mark
	for _, m := range s.InForce() {
		isListed := slices.ContainsFunc(complete, func(other Mark) bool { return other.Domain == m.Domain })
		if !isListed && m.Revision < revision && m.Revision.Era() == revision.Era() {
			ends = append(ends, Mark{Domain: m.Domain, Revision: revision, HasEnded: true})
		}
	}
	return ends
}

// EndsOfEarlierEras returns the ends, at a revision, of the drains in force that were last written before its era.
func (s *Set) EndsOfEarlierEras(revision inband.Revision) []Mark {
	var ends []Mark
	for _, m := range s.InForce() {
		if m.Revision.Era() < revision.Era() {
			ends = append(ends, Mark{Domain: m.Domain, Revision: revision, HasEnded: true})
		}
	}
	return ends
}

// Prune forgets the drains that ended long ago.
func (s *Set) Prune(now clock.Millis) {
	for domain, e := range s.marks {
		if e.mark.HasEnded && now > e.since+tombstoneRetention {
			delete(s.marks, domain)
		}
	}
}

// Newest returns the newest mark of a domain. It reports false if none is known.
func (s *Set) Newest(domain string) (Mark, bool) {
	e, ok := s.marks[domain]
	return e.mark, ok
}

// All returns all marks, including those of ended drains and how long these have been known, ordered by domain.
func (s *Set) All(now clock.Millis) []Mark {
	var all []Mark
	for _, e := range s.marks {
		m := e.mark
		if m.HasEnded {
			m.KnownMS = now - e.since
		}
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b Mark) int { return strings.Compare(a.Domain, b.Domain) })
	return all
}

// InForce returns the marks of the drains in force, ordered by domain.
func (s *Set) InForce() []Mark {
	var inForce []Mark
	for _, m := range s.All(0) {
		if !m.HasEnded {
			inForce = append(inForce, m)
		}
	}
	return inForce
}

// Digest returns a hash of the drains in force whose marks are not above a revision. It is zero if there are none.
func (s *Set) Digest(upTo inband.Revision) uint64 {
	digest := uint64(0)
	for _, e := range s.marks {
		if !e.mark.HasEnded && e.mark.Revision <= upTo {
			digest ^= e.mark.hash()
		}
	}
	return digest
}

func (m Mark) hash() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte("drain " + m.Domain)) // writing to a hash never fails
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(m.Revision)))
	return h.Sum64()
}
