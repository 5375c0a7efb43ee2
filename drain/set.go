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
	// begin is that of the drain, if it was known. A mark that has ended keeps it.
	begin inband.Revision
	// isCopy is set if the drain had ended before the store came back from an older copy, which shows it again.
	isCopy bool
}

// isShownAgainBy reports whether a newer mark is the begin of a drain that has ended since. It has the number of the
// begin then, in a later era.
func (r *record) isShownAgainBy(m Mark) bool {
	hasEnded := r.mark.HasEnded || r.isCopy
	return hasEnded && !m.HasEnded && r.begin != 0 && m.Revision.Number() == r.begin.Number()
}

// isInForce reports whether the domain is drained.
func (r *record) isInForce() bool { return !r.mark.HasEnded && !r.isCopy }

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
	merged := record{mark: m, since: since, begin: m.Revision, isCopy: ok && known.isShownAgainBy(m)}
	if m.HasEnded {
		merged.begin = known.begin
	}
	s.marks[m.Domain] = merged
	return ok && known.isInForce() || merged.isInForce()
}

// Release puts the drains into force that only a copy of the store showed until now, and returns them. Those of an era
// after that of the revision stay as they are.
func (s *Set) Release(revision inband.Revision) []Mark {
	var released []Mark
	for _, m := range s.begun() {
		if r := s.marks[m.Domain]; r.isCopy && m.Revision.Era() <= revision.Era() {
			r.isCopy = false
			s.marks[m.Domain] = r
			released = append(released, m)
		}
	}
	return released
}

// Missing returns the ends of the drains in force that a complete list lacks. The list was read at a
// revision, so it says nothing about drains that began later. One that began at that very revision contradicts the
// list, and stays: to place no flows is the safer error. A list that the store gave after it came back from an older
// copy may lack drains that are in force, so it ends none of an earlier era.
func (s *Set) Missing(complete []Mark, revision inband.Revision) []Mark {
	var ends []Mark
	for _, m := range s.begun() {
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
	for _, m := range s.begun() {
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

// Newest returns the newest mark of a domain and whether it is drained. It reports false if none is known.
func (s *Set) Newest(domain string) (mark Mark, isInForce, isKnown bool) {
	r, ok := s.marks[domain]
	return r.mark, ok && r.isInForce(), ok
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
	for _, m := range s.begun() {
		if !s.marks[m.Domain].isCopy {
			inForce = append(inForce, m)
		}
	}
	return inForce
}

// begun returns the marks of the drains that have not ended in the store, ordered by domain. Some may not be in force.
func (s *Set) begun() []Mark {
	var begun []Mark
	for _, m := range s.All(0) {
		if !m.HasEnded {
			begun = append(begun, m)
		}
	}
	return begun
}

// Digest returns a hash of the drains that have not ended in the store and whose marks are not above a revision. It is zero if there are none.
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
