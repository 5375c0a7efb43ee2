package core_test

import (
	"fmt"
	"net/netip"

	"github.com/almondflow/almondflow/core"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/placement"
	"github.com/almondflow/almondflow/steer"
	"github.com/almondflow/almondflow/table"
)

// printSink is a core.Sink that prints the destinations of packets and the kinds of
// messages.
type printSink struct{}

func (printSink) SendToFabric(inner []byte) {
	var p packet.Packet
	if err := p.Parse(inner); err != nil {
		fmt.Println(err)
		return
	}
	key := p.Key()
	fmt.Println("to the fabric:", key.String())
}

func (printSink) SendToPeer(_ fleet.ID, m *steer.Message, _ []byte) {
	fmt.Println("to a peer:", m.Kind)
}

// To embed a Node, give it tables, a member list and packets. This fleet has a single
// entry VM, which owns every flow.
func ExampleNode() {
	tables, err := table.Parse([]byte(`{"version":1,
		"routes":[{"name":"feed","destination":"203.0.113.10","port":443,"protocol":"udp","pool":"feeds","repeatable":true}],
		"pools":[{"name":"feeds","hosts":[{"name":"f1","address":"10.0.0.1","port":8443,"domain":"a"}]}]}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	vm := fleet.NewVM("a1", "a", netip.AddrPort{}, netip.AddrPort{}, fleet.Serving)
	placer := placement.New()
	node := core.New(core.Options{Self: vm.ID(), Placer: placer})
	placer.SetTables(0, tables)
	node.SetTables(0, tables)
	node.SetRanking(0, fleet.NewRanking(fleet.NewList(1, []fleet.VM{vm})))

	client := flow.NewEndpoint(netip.MustParseAddrPort("192.0.2.1:5000"))
	service := flow.NewEndpoint(netip.MustParseAddrPort("203.0.113.10:443"))
	target := flow.NewEndpoint(netip.MustParseAddrPort("10.0.0.1:8443"))
	fmt.Println(node.ReceiveFromFabric(1, packet.AppendUDP(nil, flow.NewKey(flow.UDP, client, service), []byte("hello")), printSink{}))
	fmt.Println(node.ReceiveFromFabric(2, packet.AppendUDP(nil, flow.NewKey(flow.UDP, target, client), []byte("answer")), printSink{}))
	// Output:
	// to the fabric: udp 192.0.2.1:5000 > 10.0.0.1:8443
	// forwarded
	// to the fabric: udp 203.0.113.10:443 > 192.0.2.1:5000
	// replied
}
