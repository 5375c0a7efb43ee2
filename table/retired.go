package table

import (
	"cmp"
	"slices"
	"strings"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
)

// Bounds of the memory of hosts that have left the tables.
const (
	// RetiredSpan is how long replies of a host that has left the tables are translated.
	RetiredSpan = 24 * clock.Hour
	// MaxRetired is the number of such hosts that are kept, those that left last first.
	MaxRetired = 16_384
)

// retired is a host that has left the tables while flows to it may live.
type retired struct {
	pool        string
	name        string
	generation  uint32
	endpoint    flow.Endpoint
	protocol    flow.Protocol
	destination flow.Endpoint
	// until is the end of its retention. In a parsed document it is the span left.
	until clock.Millis
}

func (r *retired) key() replyKey { return replyKey{r.endpoint, r.protocol} }

// HasRetired reports whether the snapshot knows hosts that have left the tables.
func (s *Snapshot) HasRetired() bool { return len(s.retired) > 0 }

// WithoutRetired returns the published part of the snapshot alone.
func (s *Snapshot) WithoutRetired() *Snapshot {
	published := *s
	published.retired, published.byRetired = nil, nil
	return &published
}

// setHanded stores the retired hosts of a parsed document, whose spans start to run
// when Succeed puts the snapshot in force.
func (s *Snapshot) setHanded(hosts []retired) {
	s.isHanded = true
	s.setRetired(hosts)
}

// setRetired stores the hosts whose address no host of the tables uses, up to the bound.
func (s *Snapshot) setRetired(hosts []retired) {
	kept := slices.DeleteFunc(hosts, func(r retired) bool {
		_, isLive := s.byEndpoint.get(r.key())
		return isLive
	})
	slices.SortFunc(kept, compareRetired)
	s.retired = kept[:min(len(kept), MaxRetired)]
	s.byRetired = make(map[replyKey]flow.Endpoint, len(s.retired))
	for i := range s.retired {
		s.byRetired[s.retired[i].key()] = s.retired[i].destination
	}
}

// compareRetired sorts the hosts that left last first.
func compareRetired(a, b retired) int {
	return cmp.Or(
		cmp.Compare(b.until, a.until),
		strings.Compare(a.pool, b.pool),
		strings.Compare(a.name, b.name),
		cmp.Compare(a.generation, b.generation),
		a.endpoint.AddrPort().Compare(b.endpoint.AddrPort()),
		cmp.Compare(a.protocol, b.protocol),
	)
}

// Succeed returns the snapshot to put in force at now in place of old, which may be nil.
// It is next with the hosts of old that next no longer has, so that their replies are
// still translated for RetiredSpan. An address that next uses again belongs to next.
func Succeed(old, next *Snapshot, now clock.Millis) *Snapshot {
	merged := make(map[replyKey]retired)
	keep := func(hosts []retired, base clock.Millis) {
		for _, r := range hosts {
			r.until += base
			if known, exists := merged[r.key()]; r.until > now && (!exists || known.until < r.until) {
				merged[r.key()] = r
			}
		}
	}
	keep(next.retired, next.base(now))
	if old != nil {
		keep(old.retired, old.base(now))
		keep(old.vanished(next), now)
	}
	hosts := make([]retired, 0, len(merged))
	for _, r := range merged {
		hosts = append(hosts, r)
	}
	s := *next
	s.isHanded = false
	s.setRetired(hosts)
	return &s
}

// AddRetired returns the snapshot at now with the retired hosts of a peer besides its own.
// It takes what RetiredDocument returns; the error is a *ProblemsError.
func (s *Snapshot) AddRetired(document []byte, now clock.Millis) (*Snapshot, error) {
	d := newDraft()
	if _, ok := compiled().retiredList.ReadElements("$", document, d.problems, d.elements()); !ok || d.problems.Len() > 0 {
		return nil, d.problems.Err()
	}
	next := s.WithoutRetired()
	next.setHanded(d.retired)
	return Succeed(s, next, now), nil
}

// base is the point that the ends of retention count from.
func (s *Snapshot) base(now clock.Millis) clock.Millis {
	if s.isHanded {
		return now
	}
	return 0
}

// vanished returns the routed hosts whose address next does not use, each with a whole
// span. Pools that both share need no look.
func (s *Snapshot) vanished(next *Snapshot) []retired {
	var hosts []retired
	walk(s.pools, next.pools, func(p *Pool) string { return p.name }, func(before, _ *Pool) {
		if before != nil && before.protocol != 0 {
			hosts = append(hosts, before.vanished(next)...)
		}
	})
	return hosts
}

func (p *Pool) vanished(next *Snapshot) []retired {
	var hosts []retired
	for i := range p.hosts {
		h := &p.hosts[i]
		if _, isLive := next.byEndpoint.get(replyKey{h.endpoint, p.protocol}); isLive {
			continue
		}
		hosts = append(hosts, retired{
			pool:        p.name,
			name:        h.name,
			generation:  h.generation,
			endpoint:    h.endpoint,
			protocol:    p.protocol,
			destination: p.destination,
			until:       RetiredSpan,
		})
	}
	return hosts
}
