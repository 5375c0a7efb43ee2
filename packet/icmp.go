package packet

import (
	"encoding/binary"

	"github.com/gopacket/gopacket/layers"

	"github.com/almondflow/almondflow/flow"
)

func (p *Packet) decodeICMP() error {
	message := p.bytes[p.outer.transport:]
	if len(message) < icmpHeaderSize {
		return errTruncated
	}
	isError, err := p.decodeICMPType(message)
	if err != nil {
		return errTransportHeader
	}
	if !isError {
		return errICMPMessage
	}
	p.payloadLength = len(message) - icmpHeaderSize
	p.outer.checksum = p.outer.transport + icmpChecksum
	p.outer.readEndpoints(p.bytes)
	return p.decodeEmbedded()
}

// decodeICMPType decodes the ICMP header and reports whether the message is an error that
// quotes an undeliverable packet.
func (p *Packet) decodeICMPType(message []byte) (bool, error) {
	if p.outer.protocol == flow.ICMP {
		err := p.icmp4.DecodeFromBytes(message, p)
		return isError4(p.icmp4.TypeCode.Type()), err
	}
	err := p.icmp6.DecodeFromBytes(message, p)
	return isError6(p.icmp6.TypeCode.Type()), err
}

func isError4(kind uint8) bool {
	switch kind {
	case layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4TypeTimeExceeded, layers.ICMPv4TypeParameterProblem:
		return true
	default:
		return false
	}
}

func isError6(kind uint8) bool {
	switch kind {
	case layers.ICMPv6TypeDestinationUnreachable, layers.ICMPv6TypePacketTooBig,
		layers.ICMPv6TypeTimeExceeded, layers.ICMPv6TypeParameterProblem:
		return true
	default:
		return false
	}
}

// decodeEmbedded decodes the packet that an ICMP error quotes. It may be truncated anywhere
// after the first minQuotedTransport bytes of its transport header.
func (p *Packet) decodeEmbedded() error {
	h := &p.embedded
	if err := p.decodeNetwork(h, p.bytes, p.outer.transport+icmpHeaderSize); err != nil {
		return err
	}
	if h.version != p.outer.version {
		return errIPVersion
	}
	quoted := p.bytes[h.transport:h.end]
	if len(quoted) < minQuotedTransport {
		return errTruncated
	}
	switch h.protocol {
	case flow.TCP:
		if len(quoted) >= tcpChecksum+2 {
			h.checksum = h.transport + tcpChecksum
		}
	case flow.UDP:
		if binary.BigEndian.Uint16(quoted[udpChecksum:]) != 0 {
			h.checksum = h.transport + udpChecksum
		}
	default:
		return errICMPMessage
	}
	h.readEndpoints(p.bytes)
	return nil
}
