// Package table holds the routes and pools that operators publish, checks them and
// answers which pool a packet belongs to.
package table

import (
	"net/netip"
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
)

// Mark is what operators say of a host.
type Mark uint8

// Marks of a host.
const (
	// Serving hosts take new flows.
	Serving Mark = iota + 1
	// Joining hosts take new flows at a growing rate.
	Joining
	// Leaving hosts keep the flows they have and take no new ones.
	Leaving
)

// String returns the name used in the tables.
func (m Mark) String() string {
	switch m {
	case Serving:
		return "serving"
	case Joining:
		return "joining"
	case Leaving:
		return "leaving"
	default:
		return "unknown"
	}
}

// Preference says what weighs more in a pool where the two conflict.
type Preference uint8

// Preferences of a pool.
const (
	// PreferFlows places so that few flows move when holders lose their records.
	PreferFlows Preference = iota + 1
	// PreferBalance places on the least loaded host.
	PreferBalance
)

// String returns the name used in the tables.
func (p Preference) String() string {
	if p == PreferBalance {
		return "balance"
	}
	return "flows"
}

// Host is one target of a pool.
type Host struct {
	id          flow.TargetID
	name        string
	domain      string
	endpoint    flow.Endpoint
	protocol    flow.Protocol
	mark        Mark
	generation  uint32
	weight      uint32
	slots       uint32
	connections uint32
}

// ID returns the identity that records carry.
func (h *Host) ID() flow.TargetID { return h.id }

// Name returns the name, unique within the pool.
func (h *Host) Name() string { return h.name }

// Domain returns the failure domain.
func (h *Host) Domain() string { return h.domain }

// Endpoint returns the address and port.
func (h *Host) Endpoint() flow.Endpoint { return h.endpoint }

// Protocol returns the protocol the host is reached by.
func (h *Host) Protocol() flow.Protocol { return h.protocol }

// Mark returns the operators' mark.
func (h *Host) Mark() Mark { return h.mark }

// Generation returns the number of the run of this host, raised when its name is reused.
func (h *Host) Generation() uint32 { return h.generation }

// Weight returns the relative share of flows, at least 1.
func (h *Host) Weight() uint32 { return h.weight }

// Slots returns the requests the host works on at once. Zero means no limit.
func (h *Host) Slots() uint32 { return h.slots }

// Connections returns the flows the host may have open. Zero means no limit.
func (h *Host) Connections() uint32 { return h.connections }

// Target returns what records say of the host.
func (h *Host) Target() flow.Target { return flow.NewTarget(h.id, h.endpoint) }

// Pool is a named set of hosts.
type Pool struct {
	name      string
	prefer    Preference
	spill     bool
	slowStart clock.Millis
	hosts     []Host
}

// Name returns the name that routes refer to.
func (p *Pool) Name() string { return p.name }

// Prefer returns what weighs more where flows and balance conflict.
func (p *Pool) Prefer() Preference { return p.prefer }

// Spill reports whether flows may go to another failure domain when their own has no
// usable host.
func (p *Pool) Spill() bool { return p.spill }

// SlowStart returns the span over which a joining host reaches its full share.
func (p *Pool) SlowStart() clock.Millis { return p.slowStart }

// Hosts returns the hosts sorted by name. Callers must not change them.
func (p *Pool) Hosts() []Host { return p.hosts }

// Route says which traffic belongs to which pool.
type Route struct {
	name        string
	destination flow.Endpoint
	protocol    flow.Protocol
	source      netip.Prefix
	pool        *Pool
	repeatable  bool
	hashDefault bool
	idleTimeout clock.Millis
}

// Name returns the name of the service.
func (r *Route) Name() string { return r.name }

// Destination returns the endpoint that clients address.
func (r *Route) Destination() flow.Endpoint { return r.destination }

// Protocol returns the protocol.
func (r *Route) Protocol() flow.Protocol { return r.protocol }

// Source returns the prefix that clients must be in. It is invalid where any may come.
func (r *Route) Source() netip.Prefix { return r.source }

// Pool returns the pool that serves the route.
func (r *Route) Pool() *Pool { return r.pool }

// Repeatable reports whether a flow may reach a second target after a failure. Flows of
// other routes reach at most one target ever.
func (r *Route) Repeatable() bool { return r.repeatable }

// HashDefault reports whether a packet in mid-flow that nobody knows goes to the target
// that its hash names instead of being dropped.
func (r *Route) HashDefault() bool { return r.hashDefault }

// IdleTimeout returns the span without packets after which a flow is over.
func (r *Route) IdleTimeout() clock.Millis { return r.idleTimeout }

// Snapshot is one accepted version of the tables. It is immutable.
type Snapshot struct {
	version    uint64
	routes     []*Route
	pools      []*Pool
	byRoute    map[routeKey][]*Route
	byReply    map[replyKey]flow.Endpoint
	byEndpoint map[replyKey]*Host
	byID       map[flow.TargetID]*Host
	retired    []retired
	byRetired  map[replyKey]flow.Endpoint
	// isHanded reports whether the ends of retention are spans that do not run yet.
	isHanded bool
}

type routeKey struct {
	destination flow.Endpoint
	protocol    flow.Protocol
}

type replyKey struct {
	target   flow.Endpoint
	protocol flow.Protocol
}

// Version returns the version, which only rises.
func (s *Snapshot) Version() uint64 { return s.version }

// Routes returns the routes sorted by name. Callers must not change them.
func (s *Snapshot) Routes() []*Route { return s.routes }

// Pools returns the pools sorted by name. Callers must not change them.
func (s *Snapshot) Pools() []*Pool { return s.pools }

// Lookup returns the route of a packet from a client, the one with the longest source
// prefix that matches. It returns nil where there is none.
func (s *Snapshot) Lookup(key *flow.Key) *Route {
	routes := s.byRoute[routeKey{key.Destination(), key.Protocol()}]
	for _, r := range routes {
		if !r.source.IsValid() || r.source.Contains(key.Source().AddrPort().Addr()) {
			return r
		}
	}
	return nil
}

// Reply returns the routed endpoint in whose name a target's packet is answered. It
// knows the hosts of the tables and those that have left them lately.
func (s *Snapshot) Reply(target flow.Endpoint, protocol flow.Protocol) (flow.Endpoint, bool) {
	key := replyKey{target, protocol}
	destination, ok := s.byReply[key]
	if !ok {
		destination, ok = s.byRetired[key]
	}
	return destination, ok
}

// HostAt returns the host that has the endpoint now. Records of an earlier host of the
// same endpoint name another identity.
func (s *Snapshot) HostAt(target flow.Endpoint, protocol flow.Protocol) (*Host, bool) {
	h, ok := s.byEndpoint[replyKey{target, protocol}]
	return h, ok
}

// Host returns the host with the identity.
func (s *Snapshot) Host(id flow.TargetID) (*Host, bool) {
	h, ok := s.byID[id]
	return h, ok
}

// newSnapshot indexes checked routes and pools.
func newSnapshot(version uint64, routes []*Route, pools []*Pool) *Snapshot {
	s := &Snapshot{
		version:    version,
		routes:     routes,
		pools:      pools,
		byRoute:    make(map[routeKey][]*Route),
		byReply:    make(map[replyKey]flow.Endpoint),
		byEndpoint: make(map[replyKey]*Host),
		byID:       make(map[flow.TargetID]*Host),
	}
	for _, p := range pools {
		for i := range p.hosts {
			h := &p.hosts[i]
			s.byID[h.id] = h
			s.byEndpoint[replyKey{h.endpoint, h.protocol}] = h
		}
	}
	for _, r := range routes {
		key := routeKey{r.destination, r.protocol}
		s.byRoute[key] = append(s.byRoute[key], r)
		for i := range r.pool.hosts {
			s.byReply[replyKey{r.pool.hosts[i].endpoint, r.protocol}] = r.destination
		}
	}
	for _, routes := range s.byRoute {
		slices.SortStableFunc(routes, func(a, b *Route) int { return b.source.Bits() - a.source.Bits() })
	}
	return s
}
