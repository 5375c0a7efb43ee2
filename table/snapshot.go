// Package table holds the routes and pools that operators publish, checks them and
// answers which pool a packet belongs to.
package table

import (
	"crypto/sha256"
	"encoding/binary"
	"net/netip"
	"slices"
	"strings"

	"github.com/almondflow/almondflow/flow"
)

// Snapshot is one accepted version of the tables. It is immutable. Versions that follow
// each other share what is equal in both.
type Snapshot struct {
	version    uint64
	routes     []*Route
	pools      []*Pool
	byRoute    index[routeKey, []*Route]
	byEndpoint index[replyKey, hostReference]
	byID       index[flow.TargetID, hostReference]
	digest     [sha256.Size]byte
	retired    []retired
	byRetired  map[replyKey]flow.Endpoint
	// isHanded reports whether the ends of retention are spans that do not run yet.
	isHanded bool
}

type routeKey struct {
	destination flow.Endpoint
	protocol    flow.Protocol
}

func (k routeKey) shard() uint8 { return endpointShard(k.destination) }

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

// hostReference names a host of a pool.
type hostReference struct {
	pool  *Pool
	index int32
}

func (r hostReference) host() *Host { return &r.pool.hosts[r.index] }

// newSnapshot returns tables without routes and pools.
func newSnapshot() *Snapshot {
	return &Snapshot{
		byRoute:    newIndex[routeKey, []*Route](routeKey.shard),
		byEndpoint: newIndex[replyKey, hostReference](replyKey.shard),
		byID:       newIndex[flow.TargetID, hostReference](idShard),
	}
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

// Reply returns the routed endpoint in whose name a target's packet is answered. It
// knows the hosts of the tables and those that have left them lately.
func (s *Snapshot) Reply(target flow.Endpoint, protocol flow.Protocol) (flow.Endpoint, bool) {
	key := replyKey{target, protocol}
	if reference, ok := s.byEndpoint.get(key); ok && protocol != 0 {
		return reference.pool.destination, true
	}
	destination, ok := s.byRetired[key]
	return destination, ok
}

// HostAt returns the host that has the endpoint now. Records of an earlier host of the
// same endpoint name another identity.
func (s *Snapshot) HostAt(target flow.Endpoint, protocol flow.Protocol) (*Host, bool) {
	reference, ok := s.byEndpoint.get(replyKey{target, protocol})
	if !ok {
		return nil, false
	}
	return reference.host(), true
}

// Host returns the host with the identity.
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

// digest identifies a route or pool.
type digest [16]byte

func digestOf(message any) digest {
	whole := sha256.Sum256(encode(message))
	return digest(whole[:len(digest{})])
}

// Digest identifies the version and the published content, without retired hosts.
// Snapshots with equal documents have equal digests.
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
