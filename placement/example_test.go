package placement_test

import (
	"fmt"

	"github.com/almondflow/almondflow/placement"
	"github.com/almondflow/almondflow/table"
)

// A host that is marked as leaving takes no new flows, and a flow above the limits is
// refused.
func ExamplePlacer() {
	tables, err := table.Parse([]byte(`{"version":1,
		"routes":[{"name":"booking","destination":"203.0.113.10","port":443,"protocol":"tcp","pool":"booking-core"}],
		"pools":[{"name":"booking-core","prefer":"balance","hosts":[
			{"name":"b1","address":"192.0.2.1","port":8443,"domain":"kadikoy","connections":2},
			{"name":"b2","address":"192.0.2.2","port":8443,"domain":"kadikoy","mark":"leaving"}]}]}`))
	if err != nil {
		panic(err)
	}
	placer := placement.New()
	placer.SetTables(0, tables)
	for hash := range uint64(3) {
		target, code := placer.Place(0, tables.Routes()[0], hash, 0)
		fmt.Println(target.Endpoint(), code)
	}
	// Output:
	// 192.0.2.1:8443 placed
	// 192.0.2.1:8443 placed
	// [::]:0 refused_full
}
