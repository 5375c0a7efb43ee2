package packet_test

import (
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/result"
)

// unreachable builds the ICMP port unreachable error for a UDP packet.
func unreachable(t rapid.TB, k flow.Key, payload []byte) []byte {
	t.Helper()
	return packet.AppendUnreachable(nil, parse(t, packet.AppendUDP(nil, k, payload)))
}

// icmpMessage builds an ICMP message with gopacket that quotes arbitrary bytes.
func icmpMessage(t rapid.TB, v endpoints, kind uint8, quoted []byte) []byte {
	t.Helper()
	from, to := v.routed.AddrPort().Addr().AsSlice(), v.client.AddrPort().Addr().AsSlice()
	message := []gopacket.SerializableLayer{
		&layers.IPv4{Version: 4, Protocol: layers.IPProtocolICMPv4, SrcIP: from, DstIP: to},
		&layers.ICMPv4{TypeCode: layers.CreateICMPv4TypeCode(kind, 0)},
		gopacket.Payload(quoted),
	}
	if !v.client.Is4() {
		ip := &layers.IPv6{Version: 6, NextHeader: layers.IPProtocolICMPv6, SrcIP: from, DstIP: to}
		icmp := &layers.ICMPv6{TypeCode: layers.CreateICMPv6TypeCode(kind, 0)}
		_ = icmp.SetNetworkLayerForChecksum(ip)
		message = []gopacket.SerializableLayer{ip, icmp, gopacket.Payload(append(make([]byte, 4), quoted...))}
	}
	b := gopacket.NewSerializeBuffer()
	if err := gopacket.SerializeLayers(b, gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}, message...); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

func TestICMPErrorsQuoteThePacket(t *testing.T) {
	is := is.New(t)
	for _, v := range versions {
		for _, size := range []int{0, 4, 1400} {
			key := flow.NewKey(flow.UDP, v.client, v.routed)
			original := parse(t, packet.AppendUDP(nil, key, make([]byte, size)))
			tooBig := packet.AppendTooBig(nil, original, 1296)
			mtuOffset := 26 // offset of the last field of the ICMP header
			if !v.client.Is4() {
				mtuOffset = 46
			}
			is.Equal(tooBig[mtuOffset:mtuOffset+2], []byte{1296 >> 8, 1296 & 0xff})
			for _, b := range [][]byte{packet.AppendUnreachable(nil, original), tooBig} {
				decode(t, b)
				is.True(len(b) <= 1280) // never fragmented
				p := parse(t, b)
				got, ok := p.EmbeddedKey()
				is.True(ok)
				is.Equal(got, key)
				outer := p.Key()
				is.Equal(outer.Source().Address16(), v.routed.Address16())
				is.Equal(outer.Destination().Address16(), v.client.Address16())
				is.Equal(len(packet.AppendUnreachable(packet.AppendTooBig(nil, p, 1296), p)), 0) // no response to errors
			}
		}
	}
}

func TestICMPErrorTranslation(t *testing.T) {
	is := is.New(t)
	for i, v := range versions {
		// Each side must receive the same bytes as without a load balancer.
		p := parse(t, unreachable(t, flow.NewKey(flow.UDP, v.client, v.target), []byte("hold")))
		is.True(p.TranslateErrorForClient(v.routed))
		is.Equal(p.Bytes(), unreachable(t, flow.NewKey(flow.UDP, v.client, v.routed), []byte("hold")))
		p = parse(t, unreachable(t, flow.NewKey(flow.UDP, v.routed, v.client), []byte("answer")))
		is.True(p.TranslateErrorForTarget(v.target))
		is.Equal(p.Bytes(), unreachable(t, flow.NewKey(flow.UDP, v.target, v.client), []byte("answer")))
		// The address of a router on the path is kept.
		router := []flow.Endpoint{endpoint("198.51.100.1:0"), endpoint("[2001:db8:9::1]:0")}[i]
		p = parse(t, unreachable(t, flow.NewKey(flow.UDP, v.client, v.target), []byte("hold")))
		is.True(p.SetSource(router) && p.TranslateErrorForClient(v.routed))
		key := p.Key()
		is.Equal(key.Source(), router)
		decode(t, p.Bytes())
		// A packet that is not an error is left unchanged.
		p = parse(t, packet.AppendUDP(nil, flow.NewKey(flow.UDP, v.client, v.target), nil))
		is.True(!p.TranslateErrorForClient(v.routed) && !p.TranslateErrorForTarget(v.target))
	}
}

func TestEmbeddedRewriteUpdatesChecksums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := rapid.SampledFrom(versions).Draw(t, "version")
		quoted := drawPacket(t, v)
		header := 48
		kind := uint8(layers.ICMPv6TypeTimeExceeded)
		if v.client.Is4() {
			header, kind = 28, layers.ICMPv4TypeTimeExceeded
		}
		length := rapid.IntRange(header, len(quoted)).Draw(t, "quoted")
		p := parse(t, icmpMessage(t, v, kind, quoted[:length]))
		from, to := drawEndpoint(t, v.client.Is4()), drawEndpoint(t, v.client.Is4())
		if !p.SetEmbeddedSource(from) || !p.SetEmbeddedDestination(to) {
			t.Fatal("rejected an endpoint of the same IP version")
		}
		decode(t, p.Bytes())
		key, _ := parse(t, p.Bytes()).EmbeddedKey()
		if key != flow.NewKey(key.Protocol(), from, to) {
			t.Fatalf("embedded key is %v", &key)
		}
		if length == len(quoted) {
			decode(t, p.Bytes()[len(p.Bytes())-length:])
		}
	})
}

func TestInvalidICMPMessagesAreRejected(t *testing.T) {
	v4, v6 := versions[0], versions[1]
	cases := []struct {
		name string
		v    endpoints
		kind uint8
		edit func([]byte) []byte
		want result.Code
	}{
		{"echo", v4, 8, setByte(0, 0x45), result.DroppedUnsupported},
		{"redirect", v4, 5, setByte(0, 0x45), result.DroppedUnsupported},
		{"echo over IPv6", v6, 128, setByte(0, 0x60), result.DroppedUnsupported},
		{"other IP version quoted", v4, 3, func([]byte) []byte { return unreachable(t, flow.NewKey(flow.UDP, v6.client, v6.routed), nil) }, result.DroppedMalformed},
		{"nothing quoted", v4, 3, func([]byte) []byte { return nil }, result.DroppedMalformed},
		{"truncated ports", v4, 3, func(b []byte) []byte { return b[:27] }, result.DroppedMalformed},
		{"later fragment quoted", v4, 3, setByte(7, 1), result.DroppedUnsupported},
		{"first fragment quoted", v4, 3, setByte(6, 0x20), result.OK},
		{"error quoted", v4, 3, setByte(9, 1), result.DroppedUnsupported},
		{"error quoted over IPv6", v6, 1, setByte(6, 58), result.DroppedUnsupported},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			quoted := packet.AppendUDP(nil, flow.NewKey(flow.UDP, c.v.client, c.v.routed), []byte("hold"))
			is.New(t).Equal(parseCode(icmpMessage(t, c.v, c.kind, c.edit(quoted))), c.want)
		})
	}
}

func TestResetMatchesAClosedPort(t *testing.T) {
	is := is.New(t)
	cases := []struct{ in, want packet.Segment }{
		{packet.Segment{Sequence: 100, Flags: packet.SYN}, packet.Segment{Acknowledgment: 101, Flags: packet.RST | packet.ACK}},
		{packet.Segment{Sequence: 1<<32 - 1, Flags: packet.SYN, Payload: []byte("abc")}, packet.Segment{Acknowledgment: 3, Flags: packet.RST | packet.ACK}},
		{packet.Segment{Sequence: 100, Flags: packet.FIN}, packet.Segment{Acknowledgment: 101, Flags: packet.RST | packet.ACK}},
		{packet.Segment{Sequence: 100, Acknowledgment: 7, Flags: packet.ACK}, packet.Segment{Sequence: 7, Flags: packet.RST}},
	}
	for _, v := range versions {
		for _, c := range cases {
			p := parse(t, packet.AppendTCP(nil, flow.NewKey(flow.TCP, v.client, v.routed), c.in))
			got := packet.AppendReset(nil, p)
			is.Equal(got, packet.AppendTCP(nil, flow.NewKey(flow.TCP, v.routed, v.client), c.want)) // expected reset
			decode(t, got)
		}
		reset := parse(t, packet.AppendTCP(nil, flow.NewKey(flow.TCP, v.client, v.routed), packet.Segment{Flags: packet.RST}))
		is.Equal(len(packet.AppendReset(nil, reset)), 0)       // no response to resets
		is.Equal(len(packet.AppendUnreachable(nil, reset)), 0) // ICMP errors are only sent for UDP
	}
}
