package packet

import (
	"sync"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/almondflow/almondflow/flow"
)

// hopLimit is the time to live of packets that are built here.
const hopLimit = 64

// maxPayload is the longest payload in bytes that fits an IPv4 packet over TCP.
const maxPayload = 1<<16 - 1 - ip4HeaderSize - tcpHeaderSize

// builder holds what gopacket needs to serialize one packet, to be used again.
type builder struct {
	buffer gopacket.SerializeBuffer
	ip4    layers.IPv4
	ip6    layers.IPv6
	tcp    layers.TCP
	udp    layers.UDP
	icmp4  layers.ICMPv4
	icmp6  layers.ICMPv6
	// network is ip4 or ip6, and refers to source and target.
	network networkLayer
	source  [16]byte
	target  [16]byte
	// quote is the body of an ICMPv6 error: a value and the quoted packet.
	quote [quoteLimit6]byte
}

type networkLayer interface {
	gopacket.NetworkLayer
	gopacket.SerializableLayer
}

var builders = sync.Pool{New: func() any {
	return &builder{buffer: gopacket.NewSerializeBuffer()}
}}

var serializeOptions = gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}

// Segment describes a TCP segment for AppendTCP.
type Segment struct {
	// Sequence and Acknowledgment are the numbers of the header.
	Sequence, Acknowledgment uint32
	// Flags are the flags that are set.
	Flags Flags
	// Window is the advertised window in bytes.
	Window uint16
	// Payload is the data.
	Payload []byte
}

// AppendUDP appends a UDP packet with right checksums. The endpoints of the key must be
// of one IP version; of a payload that does not fit an IP packet nothing is appended.
func AppendUDP(dst []byte, k flow.Key, payload []byte) []byte {
	b := takeBuilder(&k, flow.UDP)
	defer builders.Put(b)
	b.udp = layers.UDP{
		SrcPort: layers.UDPPort(k.Source().Port()),
		DstPort: layers.UDPPort(k.Destination().Port()),
	}
	_ = b.udp.SetNetworkLayerForChecksum(b.network)
	return b.append(dst, &b.udp, payload)
}

// AppendTCP appends a TCP packet with right checksums. The endpoints of the key must be
// of one IP version; of a payload that does not fit an IP packet nothing is appended.
func AppendTCP(dst []byte, k flow.Key, s Segment) []byte {
	b := takeBuilder(&k, flow.TCP)
	defer builders.Put(b)
	b.tcp = layers.TCP{
		SrcPort: layers.TCPPort(k.Source().Port()),
		DstPort: layers.TCPPort(k.Destination().Port()),
		Seq:     s.Sequence,
		Ack:     s.Acknowledgment,
		FIN:     s.Flags.Has(FIN),
		SYN:     s.Flags.Has(SYN),
		RST:     s.Flags.Has(RST),
		PSH:     s.Flags.Has(PSH),
		ACK:     s.Flags.Has(ACK),
		Window:  s.Window,
	}
	_ = b.tcp.SetNetworkLayerForChecksum(b.network)
	return b.append(dst, &b.tcp, s.Payload)
}

// takeBuilder returns a builder with the IP header of the key's addresses.
func takeBuilder(k *flow.Key, protocol flow.Protocol) *builder {
	b, _ := builders.Get().(*builder)
	from, to := k.Source(), k.Destination()
	b.source, b.target = from.Address16(), to.Address16()
	if from.Is4() {
		b.ip4 = layers.IPv4{
			Version:  4,
			TTL:      hopLimit,
			Flags:    layers.IPv4DontFragment,
			Protocol: layers.IPProtocol(protocol),
			SrcIP:    b.source[12:],
			DstIP:    b.target[12:],
		}
		b.network = &b.ip4
		return b
	}
	b.ip6 = layers.IPv6{
		Version:    6,
		HopLimit:   hopLimit,
		NextHeader: layers.IPProtocol(protocol),
		SrcIP:      b.source[:],
		DstIP:      b.target[:],
	}
	b.network = &b.ip6
	return b
}

// append serializes payload, transport and IP header and appends them to dst.
func (b *builder) append(dst []byte, transport gopacket.SerializableLayer, payload []byte) []byte {
	if len(payload) > maxPayload {
		return dst
	}
	_ = b.buffer.Clear()
	room, err := b.buffer.PrependBytes(len(payload))
	if err != nil {
		return dst
	}
	copy(room, payload)
	if err := transport.SerializeTo(b.buffer, serializeOptions); err != nil {
		return dst
	}
	if err := b.network.SerializeTo(b.buffer, serializeOptions); err != nil {
		return dst
	}
	return append(dst, b.buffer.Bytes()...)
}
