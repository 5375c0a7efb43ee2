// Package packet decodes and rewrites the inner IP packets that the fabric carries:
// TCP and UDP over IPv4 and IPv6, and the ICMP errors that concern them. Decoding and
// rewriting work in place and allocate nothing, because every packet passes here.
package packet

import (
	"github.com/gopacket/gopacket/layers"

	"github.com/almondflow/almondflow/flow"
)

// Flags are the TCP flags that the state of a flow depends on.
type Flags uint8

// TCP flags, with the bits they have in the header.
const (
	FIN Flags = 1 << iota
	SYN
	RST
	PSH
	ACK
)

const flagMask = FIN | SYN | RST | PSH | ACK

// Has reports whether all the flags of f are set.
func (s Flags) Has(f Flags) bool { return s&f == f }

// Packet is a decoded inner packet. The zero value is ready for Parse, and a Packet is
// meant to be reused. It refers to the bytes it was parsed from and rewrites them.
type Packet struct {
	bytes    []byte
	outer    header
	embedded header
	flags    Flags
	payload  int

	ip4       layers.IPv4
	ip6       layers.IPv6
	udp       layers.UDP
	icmp4     layers.ICMPv4
	icmp6     layers.ICMPv6
	truncated bool
}

// header locates the fields of one IP packet in the bytes of a Packet.
type header struct {
	// ends are the endpoints by side.
	ends      [2]flow.Endpoint
	protocol  flow.Protocol
	version   uint8
	network   int
	transport int
	end       int
	// checksum is the offset of the transport checksum, or 0 where there is none.
	checksum int
}

func (h *header) key() flow.Key {
	return flow.NewKey(h.protocol, h.ends[source], h.ends[destination])
}

// Bytes returns the packet without anything that followed its IP length.
func (p *Packet) Bytes() []byte { return p.bytes }

// Key returns the endpoints and protocol that stand in the header. The ports of an
// ICMP error are 0.
func (p *Packet) Key() flow.Key { return p.outer.key() }

// Flags returns the TCP flags, or 0 for other protocols.
func (p *Packet) Flags() Flags { return p.flags }

// PayloadLength returns the bytes of transport payload.
func (p *Packet) PayloadLength() int { return p.payload }

// ICMPError returns the key in the header of the packet that an ICMP error quotes. It
// reports false when the packet is not an ICMP error.
func (p *Packet) ICMPError() (flow.Key, bool) {
	return p.embedded.key(), p.embedded.version != 0
}

// SetTruncated implements gopacket.DecodeFeedback.
func (p *Packet) SetTruncated() { p.truncated = true }
