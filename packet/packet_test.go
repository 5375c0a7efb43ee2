package packet_test

import (
	"bytes"
	"errors"
	"net/netip"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/result"
)

func endpoint(s string) flow.Endpoint { return flow.NewEndpoint(netip.MustParseAddrPort(s)) }

// endpoints holds the client, the routed destination and the target in one IP version.
type endpoints struct{ client, routed, target flow.Endpoint }

var versions = []endpoints{
	{endpoint("192.0.2.7:40001"), endpoint("203.0.113.10:443"), endpoint("10.1.2.3:8443")},
	{endpoint("[2001:db8::7]:40001"), endpoint("[2001:db8:1::10]:443"), endpoint("[fd00::3]:8443")},
}

// decode decodes the packet with gopacket, as an independent implementation, and verifies every
// checksum.
func decode(t rapid.TB, b []byte) gopacket.Packet {
	t.Helper()
	first := layers.LayerTypeIPv4
	if b[0]>>4 == 6 {
		first = layers.LayerTypeIPv6
	}
	d := gopacket.NewPacket(b, first, gopacket.Default)
	if len(d.Layers()) < 2 || d.Layers()[1].LayerType() == gopacket.LayerTypeDecodeFailure {
		t.Fatalf("gopacket: %v", d.ErrorLayer().Error())
	}
	for _, l := range d.Layers() {
		if c, ok := l.(interface {
			SetNetworkLayerForChecksum(gopacket.NetworkLayer) error
		}); ok {
			_ = c.SetNetworkLayerForChecksum(d.NetworkLayer())
		}
	}
	err, mismatches := d.VerifyChecksums()
	if err != nil || len(mismatches) > 0 {
		t.Fatalf("checksums: %v %+v", err, mismatches)
	}
	return d
}

func parse(t rapid.TB, b []byte) *packet.Packet {
	t.Helper()
	var p packet.Packet
	if err := p.Parse(b); err != nil {
		t.Fatal(err)
	}
	return &p
}

func drawPacket(t *rapid.T, v endpoints) []byte {
	payload := rapid.SliceOfN(rapid.Byte(), 0, 60).Draw(t, "payload")
	port := rapid.Uint16().Draw(t, "port")
	client := flow.EndpointFrom16(v.client.Address16(), port)
	if rapid.Bool().Draw(t, "tcp") {
		return packet.AppendTCP(nil, flow.NewKey(flow.TCP, client, v.routed), packet.Segment{
			Sequence: rapid.Uint32().Draw(t, "sequence"),
			Flags:    packet.Flags(rapid.IntRange(0, 31).Draw(t, "flags")),
			Payload:  payload,
		})
	}
	return packet.AppendUDP(nil, flow.NewKey(flow.UDP, client, v.routed), payload)
}

func drawEndpoint(t *rapid.T, is4 bool) flow.Endpoint {
	var a [16]byte
	copy(a[:], rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "address"))
	if is4 {
		copy(a[:], []byte{10: 0xff, 11: 0xff})
		clear(a[:10])
	} else {
		a[0] = 0x20
	}
	return flow.EndpointFrom16(a, rapid.Uint16().Draw(t, "new port"))
}

func TestRewriteUpdatesChecksums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := rapid.SampledFrom(versions).Draw(t, "version")
		b := drawPacket(t, v)
		decode(t, b)
		p := parse(t, b)
		key := p.Key()
		from, to := drawEndpoint(t, v.client.Is4()), drawEndpoint(t, v.client.Is4())
		if !p.SetSource(from) || !p.SetDestination(to) {
			t.Fatal("rejected an endpoint of the same IP version")
		}
		network := decode(t, p.Bytes()).NetworkLayer().NetworkFlow()
		if network.Src().String() != from.AddrPort().Addr().String() || network.Dst().String() != to.AddrPort().Addr().String() {
			t.Fatalf("addresses are %v, want %v > %v", network, from, to)
		}
		again := parse(t, p.Bytes())
		if again.Key() != flow.NewKey(key.Protocol(), from, to) || again.Key() != p.Key() {
			t.Fatalf("key is %v", again.Key())
		}
	})
}

func TestMissingUDPChecksumIsKeptOnIPv4(t *testing.T) {
	is := is.New(t)
	v := versions[0]
	b := packet.AppendUDP(nil, flow.NewKey(flow.UDP, v.client, v.routed), []byte("hold"))
	b[26], b[27] = 0, 0
	p := parse(t, b)
	is.True(p.SetDestination(v.target))
	is.Equal(p.Bytes()[26:28], []byte{0, 0})
	decode(t, p.Bytes())
}

func TestUDPChecksumNeverBecomesZero(t *testing.T) {
	is := is.New(t)
	for _, v := range versions {
		p := parse(t, packet.AppendUDP(nil, flow.NewKey(flow.UDP, v.client, v.routed), nil))
		checksum := p.Bytes()[len(p.Bytes())-2:]
		allOnes := 0
		for port := range 1 << 16 { // one of the ports makes the sum 0
			p.SetSource(flow.EndpointFrom16(v.client.Address16(), uint16(port)))
			is.True(checksum[0] != 0 || checksum[1] != 0)
			if checksum[0] == 0xff && checksum[1] == 0xff {
				decode(t, p.Bytes())
				allOnes++
			}
		}
		is.True(allOnes > 0)
	}
}

func TestUnbuildablePacketsAreNotAppended(t *testing.T) {
	is := is.New(t)
	v := versions[0]
	is.Equal(len(packet.AppendUDP(nil, flow.NewKey(flow.UDP, v.client, v.routed), make([]byte, 1<<16))), 0)
	fragmentable := packet.AppendUDP(nil, flow.NewKey(flow.UDP, v.client, v.routed), nil)
	is.Equal(len(packet.AppendTooBig(nil, parse(t, setIPv4Byte(6, 0)(fragmentable)), 1296)), 0)
}

func TestOtherIPVersionIsRejected(t *testing.T) {
	is := is.New(t)
	for i, v := range versions {
		b := packet.AppendUDP(nil, flow.NewKey(flow.UDP, v.client, v.routed), []byte("hold"))
		before := string(b)
		p := parse(t, b)
		is.True(!p.SetDestination(versions[1-i].target))
		is.True(!p.SetSource(versions[1-i].target))
		is.Equal(string(p.Bytes()), before)
	}
}

func TestFlagsAndPayloadLength(t *testing.T) {
	is := is.New(t)
	for _, v := range versions {
		key := flow.NewKey(flow.TCP, v.client, v.routed)
		p := parse(t, packet.AppendTCP(nil, key, packet.Segment{Flags: packet.SYN | packet.ACK, Payload: []byte("abc")}))
		is.Equal(p.Flags(), packet.SYN|packet.ACK)
		is.Equal(p.PayloadLength(), 3)
		is.Equal(p.Key(), key)
		_, isError := p.EmbeddedKey()
		is.True(!isError)
	}
}

// parseCode returns the result code of parsing.
func parseCode(b []byte) result.Code {
	var p packet.Packet
	var parseError *packet.Error
	if errors.As(p.Parse(b), &parseError) {
		return parseError.Code()
	}
	return result.OK
}

func setByte(offset int, value byte) func([]byte) []byte {
	return func(b []byte) []byte {
		b[offset] = value
		return b
	}
}

// setIPv4Byte returns an edit that also updates the IPv4 header checksum.
func setIPv4Byte(offset int, value byte) func([]byte) []byte {
	return func(b []byte) []byte {
		b[offset], b[10], b[11] = value, 0, 0
		sum := gopacket.FoldChecksum(gopacket.ComputeChecksum(b[:20], 0))
		b[10], b[11] = byte(sum>>8), byte(sum)
		return b
	}
}

func TestInvalidPacketsAreRejected(t *testing.T) {
	v4, v6 := versions[0], versions[1]
	udp4 := packet.AppendUDP(nil, flow.NewKey(flow.UDP, v4.client, v4.routed), []byte("hold"))
	udp6 := packet.AppendUDP(nil, flow.NewKey(flow.UDP, v6.client, v6.routed), []byte("hold"))
	tcp4 := packet.AppendTCP(nil, flow.NewKey(flow.TCP, v4.client, v4.routed), packet.Segment{})
	cases := []struct {
		name   string
		packet []byte
		edit   func(b []byte) []byte
		want   result.Code
	}{
		{"empty", udp4, func([]byte) []byte { return nil }, result.DroppedMalformed},
		{"version", udp4, setByte(0, 0x50), result.DroppedMalformed},
		{"short header", udp4, setByte(0, 0x44), result.DroppedMalformed},
		{"IPv4 option", udp4, setByte(0, 0x46), result.DroppedUnsupported},
		{"truncated header", udp4, func(b []byte) []byte { return b[:19] }, result.DroppedMalformed},
		{"truncated payload", udp4, func(b []byte) []byte { return b[:len(b)-1] }, result.DroppedMalformed},
		{"length zero", udp4, setIPv4Byte(3, 0), result.DroppedMalformed},
		{"header checksum", udp4, setByte(10, 0), result.DroppedMalformed},
		{"more fragments", udp4, setIPv4Byte(6, 0x20), result.DroppedUnsupported},
		{"later fragment", udp4, setIPv4Byte(7, 1), result.DroppedUnsupported},
		{"protocol", udp4, setIPv4Byte(9, 47), result.DroppedUnsupported},
		{"ICMPv6 over IPv4", udp4, setIPv4Byte(9, 58), result.DroppedUnsupported},
		{"UDP length above the packet", udp4, setByte(25, 200), result.DroppedMalformed},
		{"UDP length below the header", udp4, setByte(25, 7), result.DroppedMalformed},
		{"UDP truncated header", udp4, func(b []byte) []byte { return setIPv4Byte(3, 27)(b)[:27] }, result.DroppedMalformed},
		{"UDP length zero", udp4, setByte(25, 0), result.DroppedMalformed},
		{"IPv6 truncated header", udp6, func(b []byte) []byte { return b[:39] }, result.DroppedMalformed},
		{"IPv6 truncated payload", udp6, func(b []byte) []byte { return b[:len(b)-1] }, result.DroppedMalformed},
		{"IPv6 length zero", udp6, setByte(5, 0), result.DroppedMalformed},
		{"IPv6 hop by hop", udp6, setByte(6, 0), result.DroppedUnsupported},
		{"IPv6 fragment", udp6, setByte(6, 44), result.DroppedUnsupported},
		{"ICMP over IPv6", udp6, setByte(6, 1), result.DroppedUnsupported},
		{"UDP over IPv6 without checksum", udp6, func(b []byte) []byte { return setByte(46, 0)(setByte(47, 0)(b)) }, result.DroppedMalformed},
		{"TCP truncated header", tcp4, func(b []byte) []byte { return setIPv4Byte(3, 39)(b)[:39] }, result.DroppedMalformed},
		{"TCP offset below the header", tcp4, setByte(32, 0x40), result.DroppedMalformed},
		{"TCP offset above the packet", tcp4, setByte(32, 0x60), result.DroppedMalformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := c.edit(bytes.Clone(c.packet))
			is.Equal(parseCode(b), c.want)
			var p packet.Packet
			is.Equal(testing.AllocsPerRun(10, func() { _ = p.Parse(b) }), 0.0) // invalid packets do not allocate
		})
	}
}

func TestTrailingBytesAreIgnored(t *testing.T) {
	is := is.New(t)
	v := versions[0]
	b := packet.AppendUDP(nil, flow.NewKey(flow.UDP, v.client, v.routed), []byte("hold"))
	p := parse(t, append(b, 0, 0, 0))
	is.Equal(len(p.Bytes()), 32)
	is.Equal(p.PayloadLength(), 4)
}

func TestParseAndRewriteDoNotAllocate(t *testing.T) {
	for _, v := range versions {
		var p packet.Packet
		for _, b := range [][]byte{
			packet.AppendUDP(nil, flow.NewKey(flow.UDP, v.client, v.routed), []byte("hold")),
			packet.AppendTCP(nil, flow.NewKey(flow.TCP, v.client, v.routed), packet.Segment{}),
			unreachable(t, flow.NewKey(flow.UDP, v.client, v.target), []byte("hold")),
		} {
			allocations := testing.AllocsPerRun(10, func() {
				if p.Parse(b) == nil && !p.TranslateErrorForClient(v.target) {
					p.SetDestination(v.target)
				}
			})
			is.New(t).Equal(allocations, 0.0)
		}
	}
}
