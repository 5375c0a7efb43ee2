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
		return errTransport
	}
	if !isError {
		return errMessage
	}
	p.payload = len(message) - icmpHeaderSize
	p.outer.checksum = p.outer.transport + icmpChecksum
	p.outer.readEnds(p.bytes)
	return p.decodeEmbedded()
}

// decodeICMPType reports whether the message quotes a packet that could not be delivered.
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

// decodeEmbedded decodes the packet that an ICMP error quotes, which may be cut short
// anywhere after the first bytes of its transport header.
func (p *Packet) decodeEmbedded() error {
	h := &p.embedded
	if err := p.decodeNetwork(h, p.bytes, p.outer.transport+icmpHeaderSize); err != nil {
		return err
	}
	if h.version != p.outer.version {
		return errVersion
	}
	quoted := p.bytes[h.transport:h.end]
	if len(quoted) < quotedSize {
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
		return errMessage
	}
	h.readEnds(p.bytes)
	return nil
}
