package placement_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/placement"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/table"
)

// TestPoolWithOnlyLeavingHostsRefusesFlows guards against new flows on a pool whose last host
// is leaving.
func TestPoolWithOnlyLeavingHostsRefusesFlows(t *testing.T) {
	is := is.New(t)
	tables, err := table.Parse([]byte(`{"version":1,
		"routes":[{"name":"r","destination":"203.0.113.10","port":443,"protocol":"udp","pool":"p"}],
		"pools":[{"name":"p","hosts":[{"name":"h","address":"192.0.2.1","port":1,"domain":"a","mark":"leaving"}]}]}`))
	is.NoErr(err)
	list, err := fleet.ParseList([]byte(`{"version":1,"vms":[
		{"name":"a1","domain":"a","data_address":"192.0.2.11:1","peer_address":"192.0.2.11:2","state":"serving"}]}`))
	is.NoErr(err)
	placer := placement.New()
	placer.SetFleet(1, placement.NewFleetShares(list, fleet.NewID("a1"), func(fleet.ID) bool { return true }))
	placer.SetTables(1, tables)
	_, code := placer.Place(2, tables.Routes()[0], 7, 0)
	is.Equal(code, result.RefusedNoTarget)
}
