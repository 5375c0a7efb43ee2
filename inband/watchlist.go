package inband

import (
	"cmp"
	"slices"

	"github.com/almondflow/almondflow/clock"
)

// pruneInterval is the least time between two passes that remove recovered targets.
const pruneInterval = 250 * clock.Millisecond

// minWatchedFailureRate is the lowest failure rate at which a target is watched.
const minWatchedFailureRate = 0.01

// watchlist holds the targets that recently timed out or failed requests, ordered by id. It
// keeps the cost of monitoring independent of the number of healthy targets.
type watchlist struct {
	backends    []*Backend
	nextPruneAt clock.Millis // time of the next removal of recovered targets
}

// add lists a target.
func (w *watchlist) add(b *Backend) {
	if b.isWatched {
		return
	}
	b.isWatched = true
	i, _ := slices.BinarySearchFunc(w.backends, b, compareID)
	w.backends = slices.Insert(w.backends, i, b)
}

// prune removes targets that need no watching or are no longer known.
func (w *watchlist) prune(now clock.Millis, known map[string]*Backend) {
	if now < w.nextPruneAt {
		return
	}
	w.nextPruneAt = now + pruneInterval
	w.backends = slices.DeleteFunc(w.backends, func(b *Backend) bool {
		b.isWatched = known[b.target.ID] == b && b.needsWatching(now)
		return !b.isWatched
	})
}

func compareID(a, b *Backend) int { return cmp.Compare(a.target.ID, b.target.ID) }

// needsWatching reports whether the target timed out or failed requests and may still need a
// reaction.
func (b *Backend) needsWatching(now clock.Millis) bool {
	return b.evidence.isUnresponsive() || b.isSuspectedNow(now) || b.isFailing || b.unreported.failed > 0 ||
		b.stats.FailureRate(now) >= minWatchedFailureRate
}

// isSuspectedNow reports whether there are recent signs about the target, of this VM or another one, or
// it counts as dead.
func (b *Backend) isSuspectedNow(now clock.Millis) bool {
	return b.evidence.hasRecentSign(now) || b.probe.isProof(now) || b.probe.isSilent(now)
}

// watchTarget adds a target to the watchlist, unless the target is no longer known and only has
// remaining flows.
func (e *Engine) watchTarget(b *Backend) {
	if e.byID[b.target.ID] == b {
		e.watchlist.add(b)
	}
}

// WatchedTargets returns the number of watched targets.
func (e *Engine) WatchedTargets() int { return len(e.watchlist.backends) }
