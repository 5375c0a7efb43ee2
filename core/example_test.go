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

// printer is a Sink that prints where packets go.
type printer struct{}

func (printer) Fabric(inner []byte) {
	var p packet.Packet
	if err := p.Parse(inner); err != nil {
		fmt.Println(err)
		return
	}
	key := p.Key()
	fmt.Println("to the fabric:", key.String())
}

func (printer) Peer(_ fleet.ID, m *steer.Message, _ []byte) {
	fmt.Println("to a peer:", m.Kind)
}

// A Node is embedded by giving it tables, a list and packets. This fleet has one entry VM,
// which owns every flow.
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
	node.SetList(0, fleet.NewRanking(fleet.NewList(1, []fleet.VM{vm})))

	client := flow.NewEndpoint(netip.MustParseAddrPort("192.0.2.1:5000"))
	service := flow.NewEndpoint(netip.MustParseAddrPort("203.0.113.10:443"))
	target := flow.NewEndpoint(netip.MustParseAddrPort("10.0.0.1:8443"))
	fmt.Println(node.FromFabric(1, packet.AppendUDP(nil, flow.NewKey(flow.UDP, client, service), []byte("hello")), printer{}))
	fmt.Println(node.FromFabric(2, packet.AppendUDP(nil, flow.NewKey(flow.UDP, target, client), []byte("answer")), printer{}))
	// Output:
	// to the fabric: udp 192.0.2.1:5000 > 10.0.0.1:8443
	// forwarded
	// to the fabric: udp 203.0.113.10:443 > 192.0.2.1:5000
	// replied
}
