package catalog

import (
	"hash/fnv"
	"slices"
	"strconv"
	"strings"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// How long ended entries are kept and used.
const (
	// expiryGrace is how long a target whose entry ended without notice is still used if no
	// other target is left. Entries that expired during an outage of the store are published
	// again within two seconds of its return.
	expiryGrace = 2 * clock.Second
	// returnGrace is how long after its entry ended a target may turn out to be alive: the
	// time until expired entries are published again, plus the next read.
	returnGrace = 4 * clock.Second
	// staleViewAge is the view age from which entries may have expired unseen. The store
	// removes entries that got no heartbeat for some seconds, and it gets none while it is down.
	staleViewAge = 2 * clock.Second
	// slowStartTolerance is how much later a slow start may seem to end, by the lag of heartbeats, without
	// being a new one.
	slowStartTolerance = clock.Second
	// endedRetention is how long a target is kept for its open flows after its entry ended.
	endedRetention = 3 * clock.Minute
)

// Entry holds a target and the history of its entry in the store.
type Entry struct {
	target           *inband.Target
	endedAt          clock.Millis
	hasEnded         bool
	wasLeaving       bool // the target was leaving when its entry ended or became unusable
	mayHaveExpired   bool // the end was seen during or just after a time without a current view
	isNamed          bool // the target's service was named when its entry was believed
	slowStartUntil   clock.Millis
	assumedAt        inband.Revision // of the end of a drain, from which the slow start is assumed; 0 if its entry told
	changedRevision  inband.Revision // of the newest change that placement depends on
	believedRevision inband.Revision // of the newest entry that was believed
}

// Target returns the target as last published. Its state is Gone once its entry ended.
func (e *Entry) Target() *inband.Target { return e.target }

// FallbackUntil returns the time until which a target whose entry ended without notice is still
// used if no other target is left. It returns zero if the entry has not ended, or if the target
// was leaving.
func (e *Entry) FallbackUntil() clock.Millis {
	if !e.hasEnded || e.wasLeaving {
		return 0
	}
	return e.endedAt + expiryGrace
}

// MayReturnUntil returns the time until which a target whose entry ended may turn out to be alive
// and be published again. It returns zero if the entry has not ended, or if the target was
// leaving and its entry cannot have expired.
func (e *Entry) MayReturnUntil() clock.Millis {
	if !e.hasEnded || e.wasLeaving && !e.mayHaveExpired {
		return 0
	}
	return e.endedAt + returnGrace
}

// SlowStartUntil returns the time at which the target's slow start ends.
func (e *Entry) SlowStartUntil() clock.Millis { return e.slowStartUntil }

// targetAt returns the target with what is left of its slow start now.
func (e *Entry) targetAt(now clock.Millis) *inband.Target {
	left := max(0, e.slowStartUntil-now)
	if left == e.target.SlowStartLeftMS {
		return e.target
	}
	t := *e.target
	t.SlowStartLeftMS = left
	return &t
}

// assumeSlowStart takes the target for one in slow start, unless its entry is newer than a revision. It reports
// whether that is new.
func (e *Entry) assumeSlowStart(until clock.Millis, revision inband.Revision) bool {
	if e.hasEnded || e.believedRevision > revision || until <= e.slowStartUntil {
		return false
	}
	e.slowStartUntil, e.assumedAt = until, revision
	return true
}

// endAssumedSlowStart takes the rest of an assumed slow start from an entry that is newer than the assumption. It
// reports whether there was one.
func (e *Entry) endAssumedSlowStart(now clock.Millis) bool {
	if e.assumedAt == 0 || e.target.Revision <= e.assumedAt {
		return false
	}
	e.slowStartUntil, e.assumedAt = now+e.target.SlowStartLeftMS, 0
	return true
}

// updateSlowStart takes the slow start from the newest entry of the target. It reports whether a new slow start
// began; a late heartbeat during one only makes it seem a bit longer.
func (e *Entry) updateSlowStart(now clock.Millis) bool {
	left := e.target.SlowStartLeftMS
	if left == 0 {
		return false
	}
	until := now + left
	isNew := until > e.slowStartUntil+slowStartTolerance
	e.slowStartUntil = until
	return isNew
}

// hasLeftBefore reports whether the target began to leave, or left, before the store came back from an older
// copy, which shows this start of the target as serving.
func (e *Entry) hasLeftBefore(t *inband.Target) bool {
	isCopy := t.Revision.Era() > e.believedRevision.Era() && t.StartedAtMS == e.target.StartedAtMS
	isLeaving := e.target.State == inband.Leaving || (e.hasEnded || e.target.State == inband.Unusable) && e.wasLeaving
	return isCopy && isLeaving && t.State == inband.Serving
}

// end marks the target as gone and keeps its other fields for its open flows. The caller sets
// mayHaveExpired if the entry may have ended for lack of heartbeats.
func (e *Entry) end(now clock.Millis, revision inband.Revision, mayHaveExpired bool) Change {
	change := Change{Subject: "target " + e.target.ID, Before: e.target.State.String(), After: inband.Gone.String()}
	if !e.hasEnded {
		e.wasLeaving = e.target.State == inband.Leaving || e.target.State == inband.Unusable && e.wasLeaving
		e.endedAt, e.hasEnded, e.mayHaveExpired = now, true, mayHaveExpired
	}
	e.setState(inband.Gone, revision)
	return change
}

// makeUnusable keeps the target and its fields for its open flows, while its entry names nothing to use. It ends
// nothing: the entry may be another writer's, and the target may be running. An entry that has ended stays so.
func (e *Entry) makeUnusable(revision inband.Revision) Change {
	change := Change{Subject: "target " + e.target.ID, Before: e.target.State.String(), After: inband.Unusable.String()}
	e.noteLeaving()
	e.setState(inband.Unusable, revision)
	return change
}

// noteLeaving keeps whether the target was leaving before another writer's entry took its place.
func (e *Entry) noteLeaving() {
	if e.target.State != inband.Unusable {
		e.wasLeaving = e.target.State == inband.Leaving
	}
}

// setState changes the state and revision of the target, which is immutable, and keeps its other fields.
func (e *Entry) setState(state inband.State, revision inband.Revision) {
	changed := *e.target
	changed.State, changed.Revision, changed.WasLeaving = state, revision, e.wasLeaving
	e.target = &changed
}

// isSameForPlacement reports whether two versions of a target are equivalent for placement.
// A heartbeat changes only the revision and the rest of a slow start.
func isSameForPlacement(a, b *inband.Target) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Domain == b.Domain &&
		a.Slots == b.Slots && a.State == b.State && a.StartedAtMS == b.StartedAtMS
}

// hash returns the entry's share of the catalog's digest, which is zero for unknown and ended
// entries. It depends on what stands in the store, not on what this VM believes of it.
func (e *Entry) hash() uint64 {
	if e == nil {
		return 0
	}
	t := e.target
	if t.PassedOver != nil { // VMs that started later may believe it
		t = t.PassedOver
	}
	if t.State == inband.Gone || t.State == inband.Unusable { // VMs that started later don't know it
		return 0
	}
	h := fnv.New64a()
	for _, part := range []string{
		t.ID, t.Service, t.Address.String(), t.Domain, t.State.String(), strconv.FormatInt(t.StartedAtMS, 10), strconv.Itoa(t.Slots),
	} {
		_, _ = h.Write([]byte(part)) // writing to a hash never fails
	}
	return h.Sum64()
}

func sortByID(entries []*Entry) {
	slices.SortFunc(entries, func(a, b *Entry) int { return strings.Compare(a.target.ID, b.target.ID) })
}
