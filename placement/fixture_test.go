package placement_test

import (
	"github.com/almondflow/almondflow/seedtest"

	"encoding/json"
	"fmt"
	"testing"

	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/table"
)

func TestMain(m *testing.M) { seedtest.Main(m) }

// fataler is the method that testing.TB and rapid.T have in common.
type fataler interface{ Fatal(arguments ...any) }

// host is a host in a tables document.
type host struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Port        int    `json:"port"`
	Domain      string `json:"domain"`
	Mark        string `json:"mark"`
	Weight      int    `json:"weight"`
	Slots       int    `json:"slots,omitempty"`
	Connections int    `json:"connections,omitempty"`
}

func (h host) id() flow.TargetID { return flow.NewTargetID("booking-core", h.Name, 1) }

// tables is a tables document with one pool.
type tables struct {
	version int
	prefer  string
	spill   bool
	hosts   []host
}

// newTables returns tables of serving hosts with equal weights, spread over the domains.
func newTables(prefer string, hosts, domains int) *tables {
	t := &tables{version: 1, prefer: prefer, spill: true}
	for i := range hosts {
		t.hosts = append(t.hosts, newHost(i, domains))
	}
	return t
}

func newHost(i, domains int) host {
	return host{
		Name: fmt.Sprintf("b%05d", i), Address: fmt.Sprintf("10.0.%d.%d", i/250, i%250+1), Port: 8443,
		Domain: fmt.Sprintf("d%d", i%domains), Mark: "serving", Weight: 1,
	}
}

func (t *tables) parse(tb fataler) *table.Snapshot {
	document := map[string]any{
		"version": t.version,
		"routes": []any{map[string]any{
			"name": "booking", "destination": "203.0.113.10", "port": 443, "protocol": "tcp", "pool": "booking-core",
		}},
		"pools": []any{map[string]any{
			"name": "booking-core", "prefer": t.prefer, "spill": t.spill, "slow_start_seconds": 30, "hosts": t.hosts,
		}},
	}
	encoded, err := json.Marshal(document)
	if err != nil {
		tb.Fatal(err)
	}
	snapshot, err := table.Parse(encoded)
	if err != nil {
		tb.Fatal(err)
	}
	t.version++
	return snapshot
}

// newList returns a list of entry VMs spread over the domains.
func newList(tb fataler, vms, domains int) *fleet.List {
	var entries []any
	for i := range vms {
		entries = append(entries, map[string]any{
			"name": vmName(i), "domain": fmt.Sprintf("d%d", i%domains), "state": "serving",
			"data_address": fmt.Sprintf("10.1.%d.%d:6081", i/250, i%250+1),
			"peer_address": fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250+1),
		})
	}
	encoded, err := json.Marshal(map[string]any{"version": 1, "vms": entries})
	if err != nil {
		tb.Fatal(err)
	}
	list, err := fleet.ParseList(encoded)
	if err != nil {
		tb.Fatal(err)
	}
	return list
}

func vmName(i int) string { return fmt.Sprintf("vm%05d", i) }

func alwaysAlive(fleet.ID) bool { return true }

// flowHash returns the hash of the i-th flow.
func flowHash(i int) uint64 { return fleet.RendezvousScore(uint64(i), 99) }
