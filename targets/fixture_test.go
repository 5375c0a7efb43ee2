package targets_test

import (
	"github.com/almondflow/almondflow/seedtest"

	"fmt"
	"strings"
	"testing"

	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/table"
	"github.com/almondflow/almondflow/targets"
)

func TestMain(m *testing.M) { seedtest.Main(m) }

// fataler is the method that testing.TB and rapid.T have in common.
type fataler interface{ Fatal(arguments ...any) }

func hostID(i int) flow.TargetID { return flow.NewTargetID("booking-core", hostName(i), 1) }

func hostName(i int) string { return fmt.Sprintf("b%05d", i) }

func vmName(i int) string { return fmt.Sprintf("vm%05d", i) }

func vmID(i int) fleet.ID { return fleet.NewID(vmName(i)) }

// newTables returns tables with one pool of serving hosts, spread over the domains.
func newTables(tb fataler, hosts, domains int) *table.Snapshot {
	var entries []string
	for i := range hosts {
		entries = append(entries, fmt.Sprintf(`{"name":%q,"address":"10.%d.%d.1","port":8443,"domain":"d%d"}`,
			hostName(i), i/250, i%250, i%domains))
	}
	encoded := fmt.Sprintf(`{"version":1,"routes":[{"name":"booking","destination":"203.0.113.10","port":443,
		"protocol":"tcp","pool":"booking-core"}],"pools":[{"name":"booking-core","hosts":[%s]}]}`, strings.Join(entries, ","))
	snapshot, err := table.Parse([]byte(encoded))
	if err != nil {
		tb.Fatal(err)
	}
	return snapshot
}

// newList returns a list of entry VMs, spread over the domains.
func newList(tb fataler, vms, domains int) *fleet.List {
	var entries []string
	for i := range vms {
		entries = append(entries, fmt.Sprintf(`{"name":%q,"domain":"d%d","state":"serving",
			"data_address":"10.%d.%d.1:6081","peer_address":"10.%d.%d.1:7000"}`,
			vmName(i), i%domains, i/250, i%250, i/250, i%250))
	}
	encoded := fmt.Sprintf(`{"version":1,"vms":[%s]}`, strings.Join(entries, ","))
	list, err := fleet.ParseList([]byte(encoded))
	if err != nil {
		tb.Fatal(err)
	}
	return list
}

// newMonitor returns the Monitor of the first of 8 VMs in 4 domains, with a pool of
// hostCount hosts.
func newMonitor(tb fataler) *targets.Monitor {
	m := targets.New(vmID(0))
	m.SetTables(0, newTables(tb, hostCount, 4))
	m.SetList(0, newList(tb, 8, 4))
	return m
}
