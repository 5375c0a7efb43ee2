package table

import (
	"cmp"
	"slices"
	"strings"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
)

// Limits of the list of hosts that have left the tables.
const (
	// RetiredLifetime is the time for which replies of a host are still translated after it
	// has left the tables.
	RetiredLifetime = 24 * clock.Hour
	// MaxRetired is the maximum number of such hosts. Those that left first are dropped.
	MaxRetired = 16_384
)

// retiredHost is a host that has left the tables while flows to it may still exist.
type retiredHost struct {
	pool        string
	name        string
	generation  uint32
	endpoint    flow.Endpoint
	protocol    flow.Protocol
	destination flow.Endpoint
	// expiresAt is when the host is removed from the list. While the snapshot has
	// hasRelativeExpiry set, it is the remaining lifetime instead.
	expiresAt clock.Millis
}

func (r *retiredHost) key() replyKey { return replyKey{r.endpoint, r.protocol} }

// HasRetired reports whether the snapshot holds hosts that have left the tables.
func (s *Snapshot) HasRetired() bool { return len(s.retired) > 0 }

// WithoutRetired returns a copy of the snapshot without retired hosts.
func (s *Snapshot) WithoutRetired() *Snapshot {
	published := *s
	published.retired, published.retiredDestinations = nil, nil
	return &published
}

// setReceivedRetired sets the retired hosts of a parsed document. Their remaining
// lifetime starts to count when WithRetiredOf makes the snapshot the current one.
func (s *Snapshot) setReceivedRetired(hosts []retiredHost) {
	s.hasRelativeExpiry = true
	s.setRetired(hosts)
}

// setRetired sets the retired hosts, up to MaxRetired, without those whose endpoint a host
// of the tables uses.
func (s *Snapshot) setRetired(hosts []retiredHost) {
	kept := slices.DeleteFunc(hosts, func(r retiredHost) bool {
		_, isInTables := s.byEndpoint.get(r.key())
		return isInTables
	})
	slices.SortFunc(kept, compareByExpiry)
	s.retired = kept[:min(len(kept), MaxRetired)]
	s.retiredDestinations = make(map[replyKey]flow.Endpoint, len(s.retired))
	for i := range s.retired {
		s.retiredDestinations[s.retired[i].key()] = s.retired[i].destination
	}
}

// compareByExpiry orders the hosts that left last first.
func compareByExpiry(a, b retiredHost) int {
	return cmp.Or(
		cmp.Compare(b.expiresAt, a.expiresAt),
		strings.Compare(a.pool, b.pool),
		strings.Compare(a.name, b.name),
		cmp.Compare(a.generation, b.generation),
		a.endpoint.AddrPort().Compare(b.endpoint.AddrPort()),
		cmp.Compare(a.protocol, b.protocol),
	)
}

// WithRetiredOf returns the snapshot that replaces old, which may be nil, at now. It is a copy
// of next that also holds the hosts which left the tables with next or before, so that
// their replies are still translated for RetiredLifetime. An endpoint that next uses again
// belongs to the host in next.
func WithRetiredOf(old, next *Snapshot, now clock.Millis) *Snapshot {
	merged := make(map[replyKey]retiredHost)
	addHosts := func(hosts []retiredHost, base clock.Millis) {
		for _, r := range hosts {
			r.expiresAt += base
			if known, exists := merged[r.key()]; r.expiresAt > now && (!exists || known.expiresAt < r.expiresAt) {
				merged[r.key()] = r
			}
		}
	}
	addHosts(next.retired, next.expiryBase(now))
	if old != nil {
		addHosts(old.retired, old.expiryBase(now))
		addHosts(old.removedHosts(next), now)
	}
	hosts := make([]retiredHost, 0, len(merged))
	for _, r := range merged {
		hosts = append(hosts, r)
	}
	s := *next
	s.hasRelativeExpiry = false
	s.setRetired(hosts)
	return &s
}

// AddRetired returns the snapshot at now with the retired hosts of a peer added to its own.
// The document is one that RetiredDocument returned. The error is a *ProblemsError.
func (s *Snapshot) AddRetired(document []byte, now clock.Millis) (*Snapshot, error) {
	d := newDraft()
	if _, ok := compiledSchemas().retiredList.ReadElements("$", document, d.problems, d.elementReaders()); !ok || d.problems.Len() > 0 {
		return nil, d.problems.Err()
	}
	next := s.WithoutRetired()
	next.setReceivedRetired(d.retired)
	return WithRetiredOf(s, next, now), nil
}

// expiryBase returns the time that expiresAt of the retired hosts is relative to.
func (s *Snapshot) expiryBase(now clock.Millis) clock.Millis {
	if s.hasRelativeExpiry {
		return now
	}
	return 0
}

// removedHosts returns the routed hosts whose endpoint is not in next, each with the full
// lifetime. Pools that both snapshots share are skipped.
func (s *Snapshot) removedHosts(next *Snapshot) []retiredHost {
	var hosts []retiredHost
	compareSorted(s.pools, next.pools, func(p *Pool) string { return p.name }, func(before, _ *Pool) {
		if before != nil && before.protocol != 0 {
			hosts = append(hosts, before.removedHosts(next)...)
		}
	})
	return hosts
}

func (p *Pool) removedHosts(next *Snapshot) []retiredHost {
	var hosts []retiredHost
	for i := range p.hosts {
		h := &p.hosts[i]
		if _, isInTables := next.byEndpoint.get(replyKey{h.endpoint, p.protocol}); isInTables {
			continue
		}
		hosts = append(hosts, retiredHost{
			pool:        p.name,
			name:        h.name,
			generation:  h.generation,
			endpoint:    h.endpoint,
			protocol:    p.protocol,
			destination: p.destination,
			expiresAt:   RetiredLifetime,
		})
	}
	return hosts
}
