package packet_test

import (
	"testing"

	"github.com/gopacket/gopacket/layers"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
)

// unreachable builds the ICMP error that the destination of a UDP packet answers.
func unreachable(t rapid.TB, k flow.Key, payload []byte) []byte {
	t.Helper()
	return packet.AppendUnreachable(nil, parse(t, packet.AppendUDP(nil, k, payload)))
}

func TestUnreachableQuotesThePacket(t *testing.T) {
	is := is.New(t)
	for _, v := range versions {
		for _, size := range []int{0, 4, 1400} {
			key := flow.NewKey(flow.UDP, v.client, v.routed)
			b := unreachable(t, key, make([]byte, size))
			d := decode(t, b)
			is.True(len(b) <= 1280)
			quoted := d.Layer(layers.LayerTypeICMPv4)
			if !v.client.Is4() {
				quoted = d.Layer(layers.LayerTypeICMPv6)
			}
			is.True(quoted != nil)
			p := parse(t, b)
			got, ok := p.ICMPError()
			is.True(ok)
			is.Equal(got, key)
			outer := p.Key()
			is.Equal(outer.Source().Address16(), v.routed.Address16())
			is.Equal(outer.Destination().Address16(), v.client.Address16())
		}
	}
}

func TestTooBigTellsTheMTU(t *testing.T) {
	is := is.New(t)
	for _, v := range versions {
		key := flow.NewKey(flow.UDP, v.client, v.routed)
		b := packet.AppendTooBig(nil, parse(t, packet.AppendUDP(nil, key, make([]byte, 1300))), 1296)
		decode(t, b)
		at := 26 // the last field of the ICMP header
		if !v.client.Is4() {
			at = 46
		}
		is.Equal(b[at:at+2], []byte{1296 >> 8, 1296 & 0xff})
		got, ok := parse(t, b).ICMPError()
		is.True(ok)
		is.Equal(got, key)
		is.Equal(len(packet.AppendTooBig(nil, parse(t, b), 1296)), 0) // an error is never answered
	}
}

func TestErrorFromTargetReachesClient(t *testing.T) {
	is := is.New(t)
	for _, v := range versions {
		p := parse(t, unreachable(t, flow.NewKey(flow.UDP, v.client, v.target), []byte("hold")))
		is.True(p.ErrorToClient(v.routed))
		// What the client gets equals what the routed destination itself would have sent.
		want := unreachable(t, flow.NewKey(flow.UDP, v.client, v.routed), []byte("hold"))
		is.Equal(p.Bytes(), want)
	}
}

func TestErrorFromRouterKeepsItsSource(t *testing.T) {
	is := is.New(t)
	for i, v := range versions {
		router := []flow.Endpoint{end("198.51.100.1:0"), end("[2001:db8:9::1]:0")}[i]
		p := parse(t, unreachable(t, flow.NewKey(flow.UDP, v.client, v.target), []byte("hold")))
		is.True(p.SetSource(router))
		is.True(p.ErrorToClient(v.routed))
		key := p.Key()
		is.Equal(key.Source(), router)
		decode(t, p.Bytes())
	}
}

func TestErrorAboutReplyReachesTarget(t *testing.T) {
	is := is.New(t)
	for _, v := range versions {
		p := parse(t, unreachable(t, flow.NewKey(flow.UDP, v.routed, v.client), []byte("answer")))
		is.True(p.ErrorToTarget(v.target))
		want := unreachable(t, flow.NewKey(flow.UDP, v.target, v.client), []byte("answer"))
		is.Equal(p.Bytes(), want)
	}
}

func TestEmbeddedRewriteKeepsChecksumsRight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := rapid.SampledFrom(versions).Draw(t, "version")
		payload := rapid.SliceOfN(rapid.Byte(), 0, 700).Draw(t, "payload")
		p := parse(t, unreachable(t, flow.NewKey(flow.UDP, v.client, v.target), payload))
		from, to := drawEndpoint(t, v.client.Is4()), drawEndpoint(t, v.client.Is4())
		if !p.SetEmbeddedSource(from) || !p.SetEmbeddedDestination(to) {
			t.Fatal("refused an endpoint of the same IP version")
		}
		outer := decode(t, p.Bytes())
		key, _ := parse(t, p.Bytes()).ICMPError()
		if key != flow.NewKey(flow.UDP, from, to) {
			t.Fatalf("embedded key is %v", &key)
		}
		quoted := outer.ApplicationLayer().LayerContents()
		if !from.Is4() {
			quoted = quoted[4:] // the unused field of ICMPv6
		}
		if len(payload) < 500 {
			decode(t, quoted)
		}
	})
}

func TestResetAnswersAsAClosedPort(t *testing.T) {
	is := is.New(t)
	cases := []struct {
		name string
		in   packet.Segment
		want packet.Segment
	}{
		{"syn", packet.Segment{Sequence: 100, Flags: packet.SYN}, packet.Segment{Acknowledgment: 101, Flags: packet.RST | packet.ACK}},
		{"syn with data", packet.Segment{Sequence: 1<<32 - 1, Flags: packet.SYN, Payload: []byte("abc")}, packet.Segment{Acknowledgment: 3, Flags: packet.RST | packet.ACK}},
		{"fin", packet.Segment{Sequence: 100, Flags: packet.FIN}, packet.Segment{Acknowledgment: 101, Flags: packet.RST | packet.ACK}},
		{"ack", packet.Segment{Sequence: 100, Acknowledgment: 7, Flags: packet.ACK}, packet.Segment{Sequence: 7, Flags: packet.RST}},
	}
	for _, v := range versions {
		for _, c := range cases {
			p := parse(t, packet.AppendTCP(nil, flow.NewKey(flow.TCP, v.client, v.routed), c.in))
			got := packet.AppendReset(nil, p)
			is.Equal(got, packet.AppendTCP(nil, flow.NewKey(flow.TCP, v.routed, v.client), c.want)) // reset
			decode(t, got)
		}
		reset := parse(t, packet.AppendTCP(nil, flow.NewKey(flow.TCP, v.client, v.routed), packet.Segment{Flags: packet.RST}))
		is.Equal(len(packet.AppendReset(nil, reset)), 0)       // a reset is never answered
		is.Equal(len(packet.AppendUnreachable(nil, reset)), 0) // ICMP answers UDP only
	}
}
