package standin

import (
	"errors"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// innerPacket is what the fabric sees of a packet from an entry VM.
type innerPacket struct {
	source      netip.AddrPort
	destination netip.AddrPort
	payload     []byte
	// unreachable says that an entry VM refused the flow of the client destination.
	unreachable bool
}

var errNotUDP = errors.New("inner packet is neither UDP nor a port unreachable error")

// timeToLive is the hop limit of the packets the fabric builds.
const timeToLive = 64

// appendDatagram appends a Geneve datagram with an IPv4 UDP packet inside.
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

// openDatagram decodes a Geneve datagram from an entry VM.
func openDatagram(datagram []byte) (innerPacket, error) {
	decoded := gopacket.NewPacket(datagram, layers.LayerTypeGeneve, gopacket.NoCopy)
	ip, isIP := decoded.Layer(layers.LayerTypeIPv4).(*layers.IPv4)
	if !isIP {
		return innerPacket{}, errNotUDP
	}
	source, _ := netip.AddrFromSlice(ip.SrcIP)
	destination, _ := netip.AddrFromSlice(ip.DstIP)
	if icmp, isICMP := decoded.Layer(layers.LayerTypeICMPv4).(*layers.ICMPv4); isICMP {
		return openUnreachable(icmp)
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

// openUnreachable finds the client in the packet that an ICMP error quotes.
func openUnreachable(icmp *layers.ICMPv4) (innerPacket, error) {
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
