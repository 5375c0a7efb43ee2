package packet_test

import (
	"testing"

	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
)

func BenchmarkParseAndRewrite(b *testing.B) {
	payload := make([]byte, 1200)
	for i, name := range []string{"ip4", "ip6"} {
		v := versions[i]
		inputs := []struct {
			name  string
			bytes []byte
		}{
			{"udp", packet.AppendUDP(nil, flow.NewKey(flow.UDP, v.client, v.routed), payload)},
			{"tcp", packet.AppendTCP(nil, flow.NewKey(flow.TCP, v.client, v.routed), packet.Segment{Payload: payload})},
			{"icmp", unreachable(b, flow.NewKey(flow.UDP, v.client, v.target), payload)},
		}
		for _, c := range inputs {
			b.Run(name+"/"+c.name, func(b *testing.B) {
				b.ReportAllocs()
				var p packet.Packet
				for b.Loop() {
					if err := p.Parse(c.bytes); err != nil {
						b.Fatal(err)
					}
					if _, isError := p.EmbeddedKey(); isError {
						p.TranslateErrorForClient(v.routed)
						p.SetEmbeddedDestination(v.target)
						continue
					}
					p.SetDestination(v.target)
				}
			})
		}
	}
}

func BenchmarkAppendReset(b *testing.B) {
	b.ReportAllocs()
	v := versions[0]
	p := parse(b, packet.AppendTCP(nil, flow.NewKey(flow.TCP, v.client, v.routed), packet.Segment{Flags: packet.SYN}))
	var buffer []byte
	for b.Loop() {
		buffer = packet.AppendReset(buffer[:0], p)
	}
}
