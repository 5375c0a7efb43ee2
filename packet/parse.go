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
	// minQuotedTransport is the least length of a transport header that an ICMP error quotes.
	minQuotedTransport = 8

	ip4AddressSize = 4
	ip6AddressSize = 16
	portSize       = 2
)

// Offsets of header fields in bytes. A destination directly follows its source.
const (
	ip4Length         = 2
	ip4Source         = 12
	ip6Length         = 4
	ip6Source         = 8
	ip6NextHeader     = 6
	ip4Checksum       = 10
	tcpChecksum       = 16
	udpLength         = 4
	udpChecksum       = 6
	icmpChecksum      = 2
	tcpDataOffset     = 12
	tcpFlags          = 13
	tcpSequence       = 4
	tcpAcknowledgment = 8
)

// Parse decodes the packet at the start of b and keeps a reference to b. Its errors are of type
// *Error; after an error the Packet must not be used.
func (p *Packet) Parse(b []byte) error {
	p.bytes, p.flags, p.payloadLength = nil, 0, 0
	p.embedded = header{}
	if err := p.decodeNetwork(&p.outer, b, 0); err != nil {
		return err
	}
	p.bytes = b[:p.outer.end]
	return p.decodeTransport()
}

// decodeNetwork decodes the IP header at the given offset. Only a quoted packet, at an offset
// above 0, may be truncated. The decoders reject packets that gopacket would reject before
// calling it, because gopacket allocates its errors.
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
		return errIPVersion
	}
}

func (p *Packet) decodeIPv4(h *header, b []byte) error {
	if len(b) < ip4HeaderSize {
		return errTruncated
	}
	if b[0]&0xf > ip4HeaderSize/4 {
		return errIPOption
	}
	if binary.BigEndian.Uint16(b[ip4Length:]) < ip4HeaderSize {
		return errLength
	}
	if b[0]&0xf < ip4HeaderSize/4 {
		return errIPHeader
	}
	if err := p.ip4.DecodeFromBytes(b, p); err != nil {
		return errIPHeader
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
		return errIPHeader
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

// decodeTCP decodes the fixed header without gopacket, which decodes every option and allocates
// for some of them.
func (p *Packet) decodeTCP() error {
	segment := p.bytes[p.outer.transport:]
	if len(segment) < tcpHeaderSize {
		return errTruncated
	}
	size := int(segment[tcpDataOffset]>>4) * 4
	if size < tcpHeaderSize || size > len(segment) {
		return errTransportHeader
	}
	p.flags = Flags(segment[tcpFlags]) & flagMask
	p.payloadLength = len(segment) - size
	p.outer.checksum = p.outer.transport + tcpChecksum
	p.outer.readEndpoints(p.bytes)
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
		return errTransportHeader
	}
	if p.truncated {
		return errTruncated
	}
	p.payloadLength = len(p.udp.Payload)
	p.outer.readEndpoints(p.bytes)
	if p.udp.Checksum != 0 {
		p.outer.checksum = p.outer.transport + udpChecksum
		return nil
	}
	if p.outer.version == 6 {
		return errChecksum
	}
	return nil
}

// readEndpoints reads the addresses from the IP header and the ports at the start of a TCP or
// UDP header.
func (h *header) readEndpoints(b []byte) {
	for s := range h.endpoints {
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
		h.endpoints[s] = flow.EndpointFrom16(a, port)
	}
}

func (h *header) hasPorts() bool {
	return h.protocol == flow.TCP || h.protocol == flow.UDP
}
