package packet

import (
	"encoding/binary"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/almondflow/almondflow/flow"
)

// Lengths in bytes.
const (
	ip4HeaderSize  = 20
	ip6HeaderSize  = 40
	tcpHeaderSize  = 20
	udpHeaderSize  = 8
	icmpHeaderSize = 8
	// quotedSize is what an ICMP error quotes at least of a transport header.
	quotedSize = 8

	ip4AddressSize = 4
	ip6AddressSize = 16
	portSize       = 2
)

// Offsets of fields in bytes. The destination follows the source.
const (
	ip4Length      = 2
	ip4Source      = 12
	ip6Length      = 4
	ip6Source      = 8
	ip6NextHeader  = 6
	ip4Checksum    = 10
	tcpChecksum    = 16
	udpLength      = 4
	udpChecksum    = 6
	icmpChecksum   = 2
	tcpDataOffset  = 12
	tcpFlags       = 13
	tcpSequence    = 4
	tcpAcknowledge = 8
)

// Parse decodes the packet that b starts with and keeps a reference to it. An error is
// of type *Error; the Packet must not be used after one.
func (p *Packet) Parse(b []byte) error {
	p.bytes, p.flags, p.payload = nil, 0, 0
	p.embedded = header{}
	if err := p.decodeNetwork(&p.outer, b, 0); err != nil {
		return err
	}
	p.bytes = b[:p.outer.end]
	return p.decodeTransport()
}

// decodeNetwork decodes the IP header at an offset. Only a quoted packet, one that does
// not stand at the start, may be truncated. Here and below, what gopacket would refuse is
// refused before it is asked, because it allocates its errors.
func (p *Packet) decodeNetwork(h *header, b []byte, offset int) error {
	*h = header{network: offset}
	if len(b) <= offset {
		return errTruncated
	}
	p.truncated = false
	h.version = b[offset] >> 4
	switch h.version {
	case 4:
		return p.decodeIPv4(h, b[offset:])
	case 6:
		return p.decodeIPv6(h, b[offset:])
	default:
		return errVersion
	}
}

func (p *Packet) decodeIPv4(h *header, b []byte) error {
	if len(b) < ip4HeaderSize {
		return errTruncated
	}
	if b[0]&0xf > ip4HeaderSize/4 {
		return errOption
	}
	if binary.BigEndian.Uint16(b[ip4Length:]) < ip4HeaderSize {
		return errLength
	}
	if b[0]&0xf < ip4HeaderSize/4 {
		return errNetwork
	}
	if err := p.ip4.DecodeFromBytes(b, p); err != nil {
		return errNetwork
	}
	isQuoted := h.network > 0
	hasMore := p.ip4.Flags&layers.IPv4MoreFragments != 0
	if p.ip4.FragOffset != 0 || hasMore && !isQuoted {
		return errFragment
	}
	if !isQuoted {
		if p.truncated {
			return errTruncated
		}
		if gopacket.FoldChecksum(gopacket.ComputeChecksum(p.ip4.Contents, 0)) != 0 {
			return errChecksum
		}
	}
	h.transport = h.network + ip4HeaderSize
	h.end = h.transport + len(p.ip4.Payload)
	h.protocol = flow.Protocol(p.ip4.Protocol)
	if h.protocol == flow.ICMPv6 {
		return errProtocol
	}
	return nil
}

func (p *Packet) decodeIPv6(h *header, b []byte) error {
	if len(b) < ip6HeaderSize {
		return errTruncated
	}
	if binary.BigEndian.Uint16(b[ip6Length:]) == 0 {
		return errLength
	}
	h.protocol = flow.Protocol(b[ip6NextHeader])
	if h.protocol != flow.TCP && h.protocol != flow.UDP && h.protocol != flow.ICMPv6 {
		return errProtocol
	}
	if err := p.ip6.DecodeFromBytes(b, p); err != nil {
		return errNetwork
	}
	if p.truncated && h.network == 0 {
		return errTruncated
	}
	h.transport = h.network + ip6HeaderSize
	h.end = h.transport + len(p.ip6.Payload)
	return nil
}

func (p *Packet) decodeTransport() error {
	switch p.outer.protocol {
	case flow.TCP:
		return p.decodeTCP()
	case flow.UDP:
		return p.decodeUDP()
	case flow.ICMP, flow.ICMPv6:
		return p.decodeICMP()
	default:
		return errProtocol
	}
}

// decodeTCP reads the fixed header itself, because gopacket decodes every option and
// allocates for some of them.
func (p *Packet) decodeTCP() error {
	segment := p.bytes[p.outer.transport:]
	if len(segment) < tcpHeaderSize {
		return errTruncated
	}
	size := int(segment[tcpDataOffset]>>4) * 4
	if size < tcpHeaderSize || size > len(segment) {
		return errTransport
	}
	p.flags = Flags(segment[tcpFlags]) & flagMask
	p.payload = len(segment) - size
	p.outer.checksum = p.outer.transport + tcpChecksum
	p.outer.readEnds(p.bytes)
	return nil
}

func (p *Packet) decodeUDP() error {
	datagram := p.bytes[p.outer.transport:]
	if len(datagram) < udpHeaderSize {
		return errTruncated
	}
	if binary.BigEndian.Uint16(datagram[udpLength:]) < udpHeaderSize {
		return errLength
	}
	p.truncated = false
	if err := p.udp.DecodeFromBytes(datagram, p); err != nil {
		return errTransport
	}
	if p.truncated {
		return errTruncated
	}
	p.payload = len(p.udp.Payload)
	p.outer.readEnds(p.bytes)
	if p.udp.Checksum != 0 {
		p.outer.checksum = p.outer.transport + udpChecksum
		return nil
	}
	if p.outer.version == 6 {
		return errChecksum
	}
	return nil
}

// readEnds takes the endpoints from the IP header and the ports that start a TCP or UDP
// header.
func (h *header) readEnds(b []byte) {
	for s := range h.ends {
		var port uint16
		if h.hasPorts() {
			port = binary.BigEndian.Uint16(b[h.transport+portSize*s:])
		}
		a := [16]byte{10: 0xff, 11: 0xff}
		if h.version == 6 {
			copy(a[:], b[h.network+ip6Source+ip6AddressSize*s:])
		} else {
			copy(a[12:], b[h.network+ip4Source+ip4AddressSize*s:])
		}
		h.ends[s] = flow.EndpointOf(a, port)
	}
}

func (h *header) hasPorts() bool {
	return h.protocol == flow.TCP || h.protocol == flow.UDP
}
