package packet_test

import (
	"fmt"
	"net/netip"

	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
)

func ExamplePacket() {
	client := flow.NewEndpoint(netip.MustParseAddrPort("192.0.2.7:40001"))
	routed := flow.NewEndpoint(netip.MustParseAddrPort("203.0.113.10:443"))
	target := flow.NewEndpoint(netip.MustParseAddrPort("10.1.2.3:8443"))
	received := packet.AppendUDP(nil, flow.NewKey(flow.UDP, client, routed), []byte("hold"))

	var p packet.Packet
	if err := p.Parse(received); err != nil {
		fmt.Println(err)
		return
	}
	key := p.Key()
	fmt.Println(&key, "with", p.PayloadLength(), "bytes")
	p.SetDestination(target)
	key = p.Key()
	fmt.Println(&key)
	// Output:
	// udp 192.0.2.7:40001 > 203.0.113.10:443 with 4 bytes
	// udp 192.0.2.7:40001 > 10.1.2.3:8443
}
