// Package table parses and validates the routes and pools that operators publish, and
// looks up the route and pool of a packet.
package table

import (
	"crypto/sha256"
	"encoding/binary"
	"net/netip"
	"slices"
	"strings"

	"github.com/almondflow/almondflow/flow"
)

// Snapshot is one validated version of the tables. It is immutable. Successive versions
// share the data that did not change.
type Snapshot struct {
	version             uint64
	routes              []*Route
	pools               []*Pool
	byRoute             index[routeKey, []*Route]
	byEndpoint          index[replyKey, hostReference]
	byID                index[flow.TargetID, hostReference]
	digest              [sha256.Size]byte
	retired             []retiredHost
	retiredDestinations map[replyKey]flow.Endpoint
	// hasRelativeExpiry is true while expiresAt of the retired hosts is a remaining lifetime
	// that has not started to count.
	hasRelativeExpiry bool
}

// routeKey identifies the routes that a packet from a client may match, which differ in
// their source prefixes.
type routeKey struct {
	destination flow.Endpoint
	protocol    flow.Protocol
}

func (k routeKey) shard() uint8 { return endpointShard(k.destination) }

// replyKey identifies the host that sent a reply.
type replyKey struct {
	target   flow.Endpoint
	protocol flow.Protocol
}

func (k replyKey) shard() uint8 { return endpointShard(k.target) }

func endpointShard(e flow.Endpoint) uint8 {
	address := e.Address16()
	return address[15] ^ address[14]<<3 ^ uint8(e.Port())
}

func idShard(id flow.TargetID) uint8 { return uint8(id) }

// hostReference refers to a host by its index in a pool.
type hostReference struct {
	pool  *Pool
	index int32
}

func (r hostReference) host() *Host { return &r.pool.hosts[r.index] }

// newSnapshot returns a Snapshot without routes and pools.
func newSnapshot() *Snapshot {
	return &Snapshot{
		byRoute:    newIndex[routeKey, []*Route](routeKey.shard),
		byEndpoint: newIndex[replyKey, hostReference](replyKey.shard),
		byID:       newIndex[flow.TargetID, hostReference](idShard),
	}
}

// Version returns the version number. Later versions have higher numbers.
func (s *Snapshot) Version() uint64 { return s.version }

// Routes returns the routes sorted by name. Callers must not change them.
func (s *Snapshot) Routes() []*Route { return s.routes }

// Pools returns the pools sorted by name. Callers must not change them.
func (s *Snapshot) Pools() []*Pool { return s.pools }

// Lookup returns the matching route with the longest source prefix for a packet from a
// client, or nil if no route matches.
func (s *Snapshot) Lookup(key *flow.Key) *Route {
	routes, _ := s.byRoute.get(routeKey{key.Destination(), key.Protocol()})
	if len(routes) == 0 {
		return nil
	}
	var source netip.Addr
	for _, r := range routes {
		if !r.source.IsValid() {
			return r
		}
		if !source.IsValid() {
			source = key.Source().AddrPort().Addr()
		}
		if r.source.Contains(source) {
			return r
		}
	}
	return nil
}

// ReplySource returns the destination that replaces the source of a packet from a target, so
// that the client sees the endpoint that it sent its packets to. It reports false if the
// target is neither a host of the tables nor a retired host.
func (s *Snapshot) ReplySource(target flow.Endpoint, protocol flow.Protocol) (flow.Endpoint, bool) {
	key := replyKey{target, protocol}
	if reference, ok := s.byEndpoint.get(key); ok && protocol != 0 {
		return reference.pool.destination, true
	}
	destination, ok := s.retiredDestinations[key]
	return destination, ok
}

// HostAt returns the current host with the endpoint. It reports false if there is none. Flow
// records of an earlier host with the same endpoint hold a different identity.
func (s *Snapshot) HostAt(target flow.Endpoint, protocol flow.Protocol) (*Host, bool) {
	reference, ok := s.byEndpoint.get(replyKey{target, protocol})
	if !ok {
		return nil, false
	}
	return reference.host(), true
}

// Host returns the host with the identity. It reports false if there is none.
func (s *Snapshot) Host(id flow.TargetID) (*Host, bool) {
	reference, ok := s.byID.get(id)
	if !ok {
		return nil, false
	}
	return reference.host(), true
}

func (s *Snapshot) pool(name string) (*Pool, bool) {
	i, ok := slices.BinarySearchFunc(s.pools, name, func(p *Pool, name string) int { return strings.Compare(p.name, name) })
	if !ok {
		return nil, false
	}
	return s.pools[i], true
}

func (s *Snapshot) route(name string) (*Route, bool) {
	i, ok := slices.BinarySearchFunc(s.routes, name, func(r *Route, name string) int { return strings.Compare(r.name, name) })
	if !ok {
		return nil, false
	}
	return s.routes[i], true
}

// digest is a truncated SHA-256 digest of the JSON form of a route or pool.
type digest [16]byte

func newDigest(message any) digest {
	sum := sha256.Sum256(encode(message))
	return digest(sum[:len(digest{})])
}

// Digest returns a SHA-256 digest of the version and the published content, without retired
// hosts. Snapshots with equal documents have equal digests.
func (s *Snapshot) Digest() [sha256.Size]byte { return s.digest }

func (s *Snapshot) computeDigest() [sha256.Size]byte {
	b := make([]byte, 0, (len(s.routes)+len(s.pools))*len(digest{})+2*8)
	b = binary.BigEndian.AppendUint64(b, s.version)
	b = binary.BigEndian.AppendUint64(b, uint64(len(s.routes)))
	for _, r := range s.routes {
		b = append(b, r.digest[:]...)
	}
	for _, p := range s.pools {
		b = append(b, p.digest[:]...)
	}
	return sha256.Sum256(b)
}
