// Package flow defines the identity of flows and their targets.
package flow

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Protocol is an IP protocol number.
type Protocol uint8

// The protocols that the load balancer handles.
const (
	ICMP   Protocol = 1
	TCP    Protocol = 6
	UDP    Protocol = 17
	ICMPv6 Protocol = 58
)

// String returns the name used in tables and logs, or "protocol_" and the number for other
// protocols.
func (p Protocol) String() string {
	switch p {
	case TCP:
		return "tcp"
	case UDP:
		return "udp"
	case ICMP:
		return "icmp"
	case ICMPv6:
		return "icmpv6"
	default:
		return fmt.Sprintf("protocol_%d", uint8(p))
	}
}

// Endpoint is an IP address and a port. It is comparable, has a fixed size and contains no
// pointers, so that the garbage collector need not scan tables of millions of flows. IPv4
// addresses are stored in IPv6-mapped form.
type Endpoint struct {
	address [16]byte
	port    uint16
}

// NewEndpoint returns the Endpoint for a netip.AddrPort.
func NewEndpoint(addrPort netip.AddrPort) Endpoint {
	return Endpoint{address: addrPort.Addr().As16(), port: addrPort.Port()}
}

// EndpointFrom16 returns the Endpoint for an address in 16-byte form and a port.
func EndpointFrom16(address [16]byte, port uint16) Endpoint {
	return Endpoint{address: address, port: port}
}

// AddrPort returns the endpoint as a netip.AddrPort, with IPv4 addresses unmapped.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(e.address).Unmap(), e.port)
}

// Address16 returns the address in 16-byte form.
func (e Endpoint) Address16() [16]byte { return e.address }

// Port returns the port.
func (e Endpoint) Port() uint16 { return e.port }

// Is4 reports whether the address is IPv4.
func (e Endpoint) Is4() bool {
	return netip.AddrFrom16(e.address).Is4In6()
}

// String returns the endpoint as address:port.
func (e Endpoint) String() string { return e.AddrPort().String() }

// Key identifies a flow from the client's point of view by the client's endpoint, the
// routed destination and the protocol. It is comparable and contains no pointers.
type Key struct {
	source      Endpoint
	destination Endpoint
	protocol    Protocol
}

// NewKey returns the Key of a flow from a client's endpoint to a routed destination.
func NewKey(p Protocol, source, destination Endpoint) Key {
	return Key{source: source, destination: destination, protocol: p}
}

// Source returns the client's endpoint.
func (k *Key) Source() Endpoint { return k.source }

// Destination returns the routed endpoint that the client sends to.
func (k *Key) Destination() Endpoint { return k.destination }

// Protocol returns the IP protocol.
func (k *Key) Protocol() Protocol { return k.protocol }

// String returns the key in the form "tcp 192.0.2.1:1000 > 198.51.100.1:443".
func (k *Key) String() string {
	return k.protocol.String() + " " + k.source.String() + " > " + k.destination.String()
}

// KeySize is the encoded size of a Key in bytes.
const KeySize = 37

// Append appends the encoded key, KeySize bytes, to b.
func (k *Key) Append(b []byte) []byte {
	b = append(b, k.source.address[:]...)
	b = binary.BigEndian.AppendUint16(b, k.source.port)
	b = append(b, k.destination.address[:]...)
	b = binary.BigEndian.AppendUint16(b, k.destination.port)
	return append(b, byte(k.protocol))
}

// DecodeKey decodes a key encoded by Append. It reports false if b is too short.
func DecodeKey(b []byte) (Key, bool) {
	if len(b) < KeySize {
		return Key{}, false
	}
	var k Key
	copy(k.source.address[:], b)
	k.source.port = binary.BigEndian.Uint16(b[16:])
	copy(k.destination.address[:], b[18:])
	k.destination.port = binary.BigEndian.Uint16(b[34:])
	k.protocol = Protocol(b[36])
	return k, true
}

// Hash returns the seeded hash of the key, which determines the flow's shard and the
// ranking of its holders. All daemons of a fleet use the same seed, which is not known to
// clients, so that clients cannot choose the owner of a flow.
func (k *Key) Hash(seed uint64) uint64 {
	var b [KeySize + 8]byte
	binary.BigEndian.PutUint64(b[:8], seed)
	k.Append(b[:8])
	return xxhash.Sum64(b[:])
}
