package fleet_test

import (
	"fmt"
	"net/netip"

	"github.com/almondflow/almondflow/fleet"
)

// A Ranking selects the holders of a flow from the hash of the flow and the published list.
func ExampleRanking() {
	var vms []fleet.VM
	for _, name := range []string{"a1", "a2", "b1", "b2", "c1"} {
		vms = append(vms, fleet.NewVM(name, name[:1], netip.AddrPort{}, netip.AddrPort{}, fleet.Serving))
	}
	ranking := fleet.NewRanking(fleet.NewList(1, vms), fleet.WithBuckets(1024))
	holders := ranking.Holders(42, fleet.DistinctDomains)
	for i := range holders.Len() {
		vm, _ := ranking.List().Find(holders.At(i))
		fmt.Println(vm.Domain())
	}
	fmt.Println("majority:", holders.Majority())
	// Unordered output:
	// a
	// b
	// c
	// majority: 2
}
