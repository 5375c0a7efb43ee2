package packet

import (
	"encoding/binary"

	"github.com/gopacket/gopacket/layers"

	"github.com/almondflow/almondflow/flow"
)

// quoteLimit4 and quoteLimit6 bound the whole ICMP error in bytes, so that it is never
// fragmented on its way (RFC 1812, section 4.3.2.3, and RFC 4443, section 2.4).
const (
	quoteLimit4 = 576
	quoteLimit6 = 1280
)

// icmp6ValueSize is the length of the field that follows the type, code and checksum.
const icmp6ValueSize = 4

// Smallest MTUs in bytes that a network may have (RFC 791 and RFC 8200).
const (
	minMTU4 = 68
	minMTU6 = 1280
)

// Where an IPv4 packet says that it must not be fragmented.
const (
	ip4Flags     = 6
	dontFragment = 0x40
)

// AppendReset appends the reset that answers a TCP packet as a closed port would
// (RFC 9293, section 3.10.7.1). To a reset or another protocol there is no answer and
// nothing is appended.
func AppendReset(dst []byte, p *Packet) []byte {
	if p.outer.protocol != flow.TCP || p.flags.Has(RST) {
		return dst
	}
	segment := p.bytes[p.outer.transport:]
	reset := Segment{Flags: RST}
	if p.flags.Has(ACK) {
		reset.Sequence = binary.BigEndian.Uint32(segment[tcpAcknowledge:])
	} else {
		reset.Flags |= ACK
		reset.Acknowledgment = binary.BigEndian.Uint32(segment[tcpSequence:]) + p.sequenceLength()
	}
	return AppendTCP(dst, p.reverseKey(flow.TCP), reset)
}

// sequenceLength is the room that a segment takes in the sequence space.
func (p *Packet) sequenceLength() uint32 {
	length := uint32(p.payload)
	if p.flags.Has(SYN) {
		length++
	}
	if p.flags.Has(FIN) {
		length++
	}
	return length
}

// AppendUnreachable appends the ICMP or ICMPv6 port unreachable error that answers a
// UDP packet. For other protocols nothing is appended.
func AppendUnreachable(dst []byte, p *Packet) []byte {
	if p.outer.protocol != flow.UDP {
		return dst
	}
	if p.outer.version == 6 {
		return p.appendError6(dst, layers.ICMPv6TypeDestinationUnreachable, layers.ICMPv6CodePortUnreachable, 0)
	}
	return p.appendError4(dst, layers.ICMPv4CodePort, 0)
}

// AppendTooBig appends the ICMP error "fragmentation needed" or the ICMPv6 error "packet
// too big" that answers a TCP or UDP packet. mtu is the size in bytes of the largest
// packet that would have been carried. For other protocols, and for an IPv4 packet that
// may be fragmented, nothing is appended.
func AppendTooBig(dst []byte, p *Packet, mtu int) []byte {
	if !p.outer.hasPorts() {
		return dst
	}
	if p.outer.version == 6 {
		return p.appendError6(dst, layers.ICMPv6TypePacketTooBig, 0, uint32(max(mtu, minMTU6)))
	}
	if p.bytes[ip4Flags]&dontFragment == 0 {
		return dst
	}
	return p.appendError4(dst, layers.ICMPv4CodeFragmentationNeeded, uint16(max(mtu, minMTU4)))
}

// appendError4 appends a destination unreachable error with a value in its last field.
func (p *Packet) appendError4(dst []byte, code uint8, value uint16) []byte {
	k := p.reverseKey(flow.ICMP)
	b := takeBuilder(&k, flow.ICMP)
	defer builders.Put(b)
	b.icmp4 = layers.ICMPv4{
		TypeCode: layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, code),
		Seq:      value,
	}
	return b.append(dst, &b.icmp4, p.quote(quoteLimit4-ip4HeaderSize-icmpHeaderSize))
}

// appendError6 appends an error with a value in the four bytes after its checksum.
func (p *Packet) appendError6(dst []byte, kind, code uint8, value uint32) []byte {
	k := p.reverseKey(flow.ICMPv6)
	b := takeBuilder(&k, flow.ICMPv6)
	defer builders.Put(b)
	b.icmp6 = layers.ICMPv6{TypeCode: layers.CreateICMPv6TypeCode(kind, code)}
	_ = b.icmp6.SetNetworkLayerForChecksum(b.network)
	quoted := p.quote(quoteLimit6 - ip6HeaderSize - icmpHeaderSize)
	binary.BigEndian.PutUint32(b.quote[:], value)
	copy(b.quote[icmp6ValueSize:], quoted)
	return b.append(dst, &b.icmp6, b.quote[:icmp6ValueSize+len(quoted)])
}

func (p *Packet) quote(limit int) []byte {
	return p.bytes[:min(limit, len(p.bytes))]
}

func (p *Packet) reverseKey(protocol flow.Protocol) flow.Key {
	return flow.NewKey(protocol, p.outer.ends[destination], p.outer.ends[source])
}
