package load

import (
	"cmp"
	"maps"
	"slices"

	"github.com/almondflow/almondflow/clock"
)

const (
	// FreshNewsTime is how long the sum of another failure domain counts in full. It is told less often
	// than what happens in the own domain.
	FreshNewsTime = 4 * clock.Second
	// NewsLifetime is the age at which it counts for nothing.
	NewsLifetime = 8 * clock.Second
	// maxNews limits the sums that are kept.
	maxNews = 512
)

// News keeps the newest sums of work that were heard of the VMs of other failure domains. Its maps are made
// by NewNews.
type News struct {
	entries map[newsKey]newsEntry
}

type newsKey struct{ pool, source uint32 }

type newsEntry struct {
	work       Work
	measuredAt clock.Millis
}

// NewNews returns an empty set of news.
func NewNews() *News { return &News{entries: map[newsKey]newsEntry{}} }

// Add keeps a sum if it is newer than the one that is known. If there are many, it takes the place of the oldest.
func (n *News) Add(now clock.Millis, p *PoolNews) {
	key := newsKey{p.Pool, p.Source}
	known, ok := n.entries[key]
	measuredAt := now - p.Age
	if p.Age >= NewsLifetime || ok && known.measuredAt >= measuredAt {
		return
	}
	if !ok && len(n.entries) >= maxNews {
		oldest := n.oldest()
		if n.entries[oldest].measuredAt >= measuredAt {
			return
		}
		delete(n.entries, oldest)
	}
	n.entries[key] = newsEntry{p.Work, measuredAt}
}

// oldest returns the key of the oldest sum.
func (n *News) oldest() newsKey {
	var oldest newsKey
	for key, entry := range n.entries {
		known, ok := n.entries[oldest]
		if !ok || cmp.Or(cmp.Compare(entry.measuredAt, known.measuredAt), cmp.Compare(key.pool, oldest.pool), cmp.Compare(key.source, oldest.source)) < 0 {
			oldest = key
		}
	}
	return oldest
}

// Prune removes the sums that count for nothing.
func (n *News) Prune(now clock.Millis) {
	maps.DeleteFunc(n.entries, func(_ newsKey, entry newsEntry) bool { return now-entry.measuredAt >= NewsLifetime })
}

// Forget forgets all news.
func (n *News) Forget() { clear(n.entries) }

// All returns the news with their ages as they are, in a fixed order, the newest first.
func (n *News) All(now clock.Millis) []PoolNews {
	all := make([]PoolNews, 0, len(n.entries))
	for key, entry := range n.entries {
		all = append(all, PoolNews{Pool: key.pool, Source: key.source, Work: entry.work, Age: now - entry.measuredAt})
	}
	slices.SortFunc(all, func(a, b PoolNews) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Source, b.Source))
	})
	return all
}

// Counted returns the part of the work that counts at the age of the news.
func (p *PoolNews) Counted() Work {
	weight := float64(NewsLifetime-p.Age) / float64(NewsLifetime-FreshNewsTime)
	return p.Work.Scale(min(1, max(0, weight)))
}
