package packet

import (
	"sync"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/almondflow/almondflow/flow"
)

// hopLimit is the time to live, or hop limit, of packets built by this package.
const hopLimit = 64

// maxPayload is the longest payload in bytes that fits into a TCP packet over IPv4. It limits
// the payloads of all packets built by this package.
const maxPayload = 1<<16 - 1 - ip4HeaderSize - tcpHeaderSize

// builder holds the reusable buffers for serializing one packet with gopacket.
type builder struct {
	buffer gopacket.SerializeBuffer
	ip4    layers.IPv4
	ip6    layers.IPv6
	tcp    layers.TCP
	udp    layers.UDP
	icmp4  layers.ICMPv4
	icmp6  layers.ICMPv6
	// network points to ip4 or ip6, whose addresses are slices of source and destination.
	network     networkLayer
	source      [16]byte
	destination [16]byte
	// quote is the body of an ICMPv6 error: a value followed by the quoted packet.
	quote [maxErrorSize6]byte
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
	// Sequence and Acknowledgment are the numbers in the header.
	Sequence, Acknowledgment uint32
	// Flags are the flags to set.
	Flags Flags
	// Window is the advertised window in bytes.
	Window uint16
	// Payload is the data of the segment.
	Payload []byte
}

// AppendUDP appends a UDP packet with valid checksums. Both endpoints of the key must have the
// same IP version. It appends nothing if the payload is longer than 65495 bytes.
func AppendUDP(dst []byte, k flow.Key, payload []byte) []byte {
	b := getBuilder(&k, flow.UDP)
	defer builders.Put(b)
	b.udp = layers.UDP{
		SrcPort: layers.UDPPort(k.Source().Port()),
		DstPort: layers.UDPPort(k.Destination().Port()),
	}
	_ = b.udp.SetNetworkLayerForChecksum(b.network)
	return b.append(dst, &b.udp, payload)
}

// AppendTCP appends a TCP packet with valid checksums. Both endpoints of the key must have the
// same IP version. It appends nothing if the payload is longer than 65495 bytes.
func AppendTCP(dst []byte, k flow.Key, s Segment) []byte {
	b := getBuilder(&k, flow.TCP)
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

// getBuilder returns a builder from the pool, with its IP header set from the key's addresses.
func getBuilder(k *flow.Key, protocol flow.Protocol) *builder {
	b, _ := builders.Get().(*builder)
	from, to := k.Source(), k.Destination()
	b.source, b.destination = from.Address16(), to.Address16()
	if from.Is4() {
		b.ip4 = layers.IPv4{
			Version:  4,
			TTL:      hopLimit,
			Flags:    layers.IPv4DontFragment,
			Protocol: layers.IPProtocol(protocol),
			SrcIP:    b.source[12:],
			DstIP:    b.destination[12:],
		}
		b.network = &b.ip4
		return b
	}
	b.ip6 = layers.IPv6{
		Version:    6,
		HopLimit:   hopLimit,
		NextHeader: layers.IPProtocol(protocol),
		SrcIP:      b.source[:],
		DstIP:      b.destination[:],
	}
	b.network = &b.ip6
	return b
}

// append serializes the payload, the transport header and the IP header and appends them to
// dst.
func (b *builder) append(dst []byte, transport gopacket.SerializableLayer, payload []byte) []byte {
	if len(payload) > maxPayload {
		return dst
	}
	_ = b.buffer.Clear()
	body, err := b.buffer.PrependBytes(len(payload))
	if err != nil {
		return dst
	}
	copy(body, payload)
	if err := transport.SerializeTo(b.buffer, serializeOptions); err != nil {
		return dst
	}
	if err := b.network.SerializeTo(b.buffer, serializeOptions); err != nil {
		return dst
	}
	return append(dst, b.buffer.Bytes()...)
}
