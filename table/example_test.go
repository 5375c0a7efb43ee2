package table_test

import (
	"fmt"
	"net/netip"

	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/table"
)

func ExampleParse() {
	tables, err := table.Parse([]byte(`{
		"version": 1,
		"routes": [{"name": "booking", "destination": "203.0.113.10", "port": 443, "protocol": "udp", "pool": "booking-core"}],
		"pools": [{"name": "booking-core", "hosts": [{"name": "booking-1", "address": "10.1.1.1", "port": 8443, "domain": "kadikoy"}]}]
	}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	client := flow.NewEndpoint(netip.MustParseAddrPort("198.51.100.7:50000"))
	booking := flow.NewEndpoint(netip.MustParseAddrPort("203.0.113.10:443"))
	key := flow.NewKey(flow.UDP, client, booking)
	route := tables.Lookup(&key)
	host := &route.Pool().Hosts()[0]
	reply, _ := tables.ReplySource(host.Endpoint(), flow.UDP)
	fmt.Println(route.Name(), host.Name(), host.Endpoint(), "replies as", reply)
	// Output: booking booking-1 10.1.1.1:8443 replies as 203.0.113.10:443
}
