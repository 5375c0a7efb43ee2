// Package packet decodes and rewrites the inner IP packets that the fabric carries: TCP and UDP
// over IPv4 and IPv6, and the ICMP errors about them. As every packet passes through this
// package, decoding and rewriting work in place and do not allocate.
package packet

import (
	"github.com/gopacket/gopacket/layers"

	"github.com/almondflow/almondflow/flow"
)

// Flags holds the TCP flags that affect the state of a flow.
type Flags uint8

// TCP flags, with their bit values in the header.
const (
	FIN Flags = 1 << iota
	SYN
	RST
	PSH
	ACK
)

const flagMask = FIN | SYN | RST | PSH | ACK

// Has reports whether all flags of f are set.
func (s Flags) Has(f Flags) bool { return s&f == f }

// Packet is a decoded inner packet. The zero value is ready for Parse, and a Packet can be
// reused. It keeps a reference to the bytes it was parsed from and rewrites them in place.
type Packet struct {
	bytes         []byte
	outer         header
	embedded      header
	flags         Flags
	payloadLength int

	ip4       layers.IPv4
	ip6       layers.IPv6
	udp       layers.UDP
	icmp4     layers.ICMPv4
	icmp6     layers.ICMPv6
	truncated bool
}

// header holds the endpoints of one IP packet and the offsets of its parts in the bytes of a
// Packet.
type header struct {
	// endpoints is indexed by side.
	endpoints [2]flow.Endpoint
	protocol  flow.Protocol
	version   uint8
	network   int
	transport int
	end       int
	// checksum is the offset of the transport checksum, or 0 if there is none.
	checksum int
}

func (h *header) key() flow.Key {
	return flow.NewKey(h.protocol, h.endpoints[source], h.endpoints[destination])
}

// Bytes returns the packet without any bytes beyond its IP length.
func (p *Packet) Bytes() []byte { return p.bytes }

// Key returns the protocol and the endpoints of the packet. The ports of an ICMP error are 0.
func (p *Packet) Key() flow.Key { return p.outer.key() }

// Flags returns the TCP flags, or 0 for other protocols.
func (p *Packet) Flags() Flags { return p.flags }

// PayloadLength returns the length of the transport payload in bytes.
func (p *Packet) PayloadLength() int { return p.payloadLength }

// EmbeddedKey returns the key of the packet quoted by an ICMP error. It reports false if the
// packet is not an ICMP error.
func (p *Packet) EmbeddedKey() (flow.Key, bool) {
	return p.embedded.key(), p.embedded.version != 0
}

// SetTruncated implements gopacket.DecodeFeedback.
func (p *Packet) SetTruncated() { p.truncated = true }
