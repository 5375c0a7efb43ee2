package packet

import (
	"encoding/binary"

	"github.com/gopacket/gopacket/layers"

	"github.com/almondflow/almondflow/flow"
)

// maxErrorSize4 and maxErrorSize6 limit the size of ICMP and ICMPv6 errors in bytes, so that
// they are never fragmented (RFC 1812, section 4.3.2.3, and RFC 4443, section 2.4).
const (
	maxErrorSize4 = 576
	maxErrorSize6 = 1280
)

// icmp6ValueSize is the length in bytes of the field that follows the type, code and checksum.
const icmp6ValueSize = 4

// Smallest MTUs in bytes that IP allows (RFC 791 and RFC 8200).
const (
	minMTU4 = 68
	minMTU6 = 1280
)

// Offset in bytes of the IPv4 flags and mask of the "don't fragment" flag.
const (
	ip4Flags     = 6
	dontFragment = 0x40
)

// AppendReset appends the TCP reset that a closed port would send in response to a packet (RFC
// 9293, section 3.10.7.1). It appends nothing for resets and for other protocols.
func AppendReset(dst []byte, p *Packet) []byte {
	if p.outer.protocol != flow.TCP || p.flags.Has(RST) {
		return dst
	}
	segment := p.bytes[p.outer.transport:]
	reset := Segment{Flags: RST}
	if p.flags.Has(ACK) {
		reset.Sequence = binary.BigEndian.Uint32(segment[tcpAcknowledgment:])
	} else {
		reset.Flags |= ACK
		reset.Acknowledgment = binary.BigEndian.Uint32(segment[tcpSequence:]) + p.sequenceLength()
	}
	return AppendTCP(dst, p.replyKey(flow.TCP), reset)
}

// sequenceLength returns the length of the segment in the sequence space.
func (p *Packet) sequenceLength() uint32 {
	length := uint32(p.payloadLength)
	if p.flags.Has(SYN) {
		length++
	}
	if p.flags.Has(FIN) {
		length++
	}
	return length
}

// AppendUnreachable appends an ICMP or ICMPv6 port unreachable error in response to a UDP
// packet. It appends nothing for other protocols.
func AppendUnreachable(dst []byte, p *Packet) []byte {
	if p.outer.protocol != flow.UDP {
		return dst
	}
	if p.outer.version == 6 {
		return p.appendError6(dst, layers.ICMPv6TypeDestinationUnreachable, layers.ICMPv6CodePortUnreachable, 0)
	}
	return p.appendError4(dst, layers.ICMPv4CodePort, 0)
}

// AppendTooBig appends the ICMP error "fragmentation needed" or the ICMPv6 error "packet too
// big" in response to a TCP or UDP packet. The MTU is the size in bytes of the largest packet
// that can be forwarded. It appends nothing for other protocols and for IPv4 packets that may
// be fragmented.
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

// appendError4 appends a destination unreachable error with the given value in the last field
// of its header.
func (p *Packet) appendError4(dst []byte, code uint8, value uint16) []byte {
	k := p.replyKey(flow.ICMP)
	b := getBuilder(&k, flow.ICMP)
	defer builders.Put(b)
	b.icmp4 = layers.ICMPv4{
		TypeCode: layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, code),
		Seq:      value,
	}
	return b.append(dst, &b.icmp4, p.quote(maxErrorSize4-ip4HeaderSize-icmpHeaderSize))
}

// appendError6 appends an error with the given value in the four bytes after the checksum.
func (p *Packet) appendError6(dst []byte, kind, code uint8, value uint32) []byte {
	k := p.replyKey(flow.ICMPv6)
	b := getBuilder(&k, flow.ICMPv6)
	defer builders.Put(b)
	b.icmp6 = layers.ICMPv6{TypeCode: layers.CreateICMPv6TypeCode(kind, code)}
	_ = b.icmp6.SetNetworkLayerForChecksum(b.network)
	quoted := p.quote(maxErrorSize6 - ip6HeaderSize - icmpHeaderSize)
	binary.BigEndian.PutUint32(b.quote[:], value)
	copy(b.quote[icmp6ValueSize:], quoted)
	return b.append(dst, &b.icmp6, b.quote[:icmp6ValueSize+len(quoted)])
}

func (p *Packet) quote(limit int) []byte {
	return p.bytes[:min(limit, len(p.bytes))]
}

func (p *Packet) replyKey(protocol flow.Protocol) flow.Key {
	return flow.NewKey(protocol, p.outer.endpoints[destination], p.outer.endpoints[source])
}
