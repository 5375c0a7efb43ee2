package standin

import (
	"errors"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// innerPacket is a packet that an entry VM sent to the fabric, without its encapsulation.
type innerPacket struct {
	source      netip.AddrPort
	destination netip.AddrPort
	payload     []byte
	// unreachable is set if an entry VM refused the flow of the client in destination.
	unreachable bool
}

var errNotUDP = errors.New("inner packet is neither UDP nor an ICMP port unreachable error")

// timeToLive is the TTL of the packets that the fabric creates.
const timeToLive = 64

// appendDatagram appends a Geneve datagram that encapsulates an IPv4 UDP packet.
func appendDatagram(b []byte, source, destination netip.AddrPort, payload []byte) []byte {
	ip := &layers.IPv4{
		Version:  4,
		TTL:      timeToLive,
		Protocol: layers.IPProtocolUDP,
		SrcIP:    source.Addr().AsSlice(),
		DstIP:    destination.Addr().AsSlice(),
		Flags:    layers.IPv4DontFragment,
	}
	udp := &layers.UDP{SrcPort: layers.UDPPort(source.Port()), DstPort: layers.UDPPort(destination.Port())}
	_ = udp.SetNetworkLayerForChecksum(ip)
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	err := gopacket.SerializeLayers(buffer, options, &layers.Geneve{Protocol: layers.EthernetTypeIPv4}, ip, udp, gopacket.Payload(payload))
	if err != nil {
		return b
	}
	return append(b, buffer.Bytes()...)
}

// decodeDatagram decodes a Geneve datagram from an entry VM. It returns errNotUDP for inner
// packets other than UDP and port unreachable errors.
func decodeDatagram(datagram []byte) (innerPacket, error) {
	decoded := gopacket.NewPacket(datagram, layers.LayerTypeGeneve, gopacket.NoCopy)
	ip, isIP := decoded.Layer(layers.LayerTypeIPv4).(*layers.IPv4)
	if !isIP {
		return innerPacket{}, errNotUDP
	}
	source, _ := netip.AddrFromSlice(ip.SrcIP)
	destination, _ := netip.AddrFromSlice(ip.DstIP)
	if icmp, isICMP := decoded.Layer(layers.LayerTypeICMPv4).(*layers.ICMPv4); isICMP {
		return decodeUnreachable(icmp)
	}
	udp, isUDP := decoded.Layer(layers.LayerTypeUDP).(*layers.UDP)
	if !isUDP {
		return innerPacket{}, errNotUDP
	}
	return innerPacket{
		source:      netip.AddrPortFrom(source, uint16(udp.SrcPort)),
		destination: netip.AddrPortFrom(destination, uint16(udp.DstPort)),
		payload:     udp.Payload,
	}, nil
}

// decodeUnreachable returns the client whose packet an ICMP port unreachable error quotes.
func decodeUnreachable(icmp *layers.ICMPv4) (innerPacket, error) {
	if icmp.TypeCode != layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodePort) {
		return innerPacket{}, errNotUDP
	}
	quoted := gopacket.NewPacket(icmp.Payload, layers.LayerTypeIPv4, gopacket.NoCopy)
	ip, isIP := quoted.Layer(layers.LayerTypeIPv4).(*layers.IPv4)
	udp, isUDP := quoted.Layer(layers.LayerTypeUDP).(*layers.UDP)
	if !isIP || !isUDP {
		return innerPacket{}, errNotUDP
	}
	client, _ := netip.AddrFromSlice(ip.SrcIP)
	return innerPacket{destination: netip.AddrPortFrom(client, uint16(udp.SrcPort)), unreachable: true}, nil
}
