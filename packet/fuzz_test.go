package packet_test

import (
	"bytes"
	"testing"

	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
)

// FuzzParse parses arbitrary bytes. A packet that is accepted must still parse after its
// endpoints were rewritten, and then have the new endpoints.
func FuzzParse(f *testing.F) {
	for _, v := range versions {
		key := flow.NewKey(flow.UDP, v.client, v.routed)
		f.Add(packet.AppendUDP(nil, key, []byte("hold")))
		f.Add(packet.AppendTCP(nil, key, packet.Segment{Flags: packet.SYN}))
		f.Add(unreachable(f, key, []byte("hold")))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var p packet.Packet
		if p.Parse(b) != nil {
			return
		}
		key := p.Key()
		v := versions[0]
		if !key.Source().Is4() {
			v = versions[1]
		}
		length := len(p.Bytes())
		if !p.SetSource(v.client) || !p.SetDestination(v.target) {
			t.Fatal("rejected an endpoint of the same IP version")
		}
		if embedded, isError := p.EmbeddedKey(); isError {
			p.SetEmbeddedSource(v.client)
			p.SetEmbeddedDestination(embedded.Destination())
		}
		again := parse(t, bytes.Clone(p.Bytes()))
		if len(again.Bytes()) != length || again.Key() != p.Key() {
			t.Fatalf("length after rewriting: %d bytes, want %d", len(again.Bytes()), length)
		}
		packet.AppendReset(nil, again)
		packet.AppendUnreachable(nil, again)
	})
}
