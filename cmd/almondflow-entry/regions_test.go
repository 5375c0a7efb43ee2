package main

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/front"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/platform/standin"
	"github.com/almondflow/almondflow/result"
)

// Domains a and b are in the east, c is in the west.
const regionNames = "a=east,b=east,c=west"

// regionDeployment has a host in each of three domains and an entry VM in each region. The feed is bound to the east.
type regionDeployment struct {
	*deployment
	east, west *front.Daemon
	client     *standin.Client
	nextPort   uint16
}

func newRegionDeployment(t *testing.T) *regionDeployment {
	t.Helper()
	is := is.New(t)
	d := &regionDeployment{deployment: newDeploymentWithoutTables(t), nextPort: 40001}
	is.NoErr(d.store.PutBoundTables(1, "core", []string{"east"}))
	d.east = d.startDaemonWith(daemonSettings{name: "vm-east", domain: "a", regions: regionNames})
	port := d.east.Addresses().Packets.Port() // at which clients receive, too
	d.west = d.startDaemonWith(daemonSettings{
		name: "vm-west", domain: "c", regions: regionNames, packetAddress: fmt.Sprintf("127.0.0.3:%d", port),
	})
	for i, domain := range []string{"a", "b", "c"} {
		host, err := standin.NewHost(uint64(i+1), port)
		is.NoErr(err)
		t.Cleanup(func() { _ = host.Close() })
		is.NoErr(d.store.PutHost(host, "core", domain, false))
	}
	for _, daemon := range d.daemons {
		awaitReady(t, daemon)
		for number := range 3 {
			awaitStatus(t, daemon, fmt.Sprintf(`"id":"i-%08x"`, number+1))
		}
	}
	client, err := standin.NewClient(clientAddress, port)
	is.NoErr(err)
	t.Cleanup(func() { _ = client.Close() })
	d.client = client
	return d
}

// open opens a flow through a VM and sends a request on it. It returns the id of the host that answered, or an empty
// string if the flow was reset.
func (d *regionDeployment) open(vm *front.Daemon, service netip.AddrPort) string {
	d.t.Helper()
	is := is.New(d.t)
	d.nextPort++
	is.NoErr(d.client.Send(vm.Addresses().Packets, d.nextPort, service, inband.Packet{Flags: inband.Opening, Seq: 100}))
	opened, _, err := d.client.Receive()
	is.NoErr(err)
	if opened.Flags.Has(inband.Resetting) {
		return ""
	}
	is.NoErr(d.client.Send(vm.Addresses().Packets, d.nextPort, service, inband.Packet{
		Flags: inband.Acknowledging, Seq: 101, Ack: opened.Seq, Tag: opened.Tag, DataLength: 10,
	}))
	_, host, err := d.client.Receive()
	is.NoErr(err)
	return host
}

// openMany returns the hosts that answer a number of flows.
func (d *regionDeployment) openMany(vm *front.Daemon, service netip.AddrPort) []string {
	d.t.Helper()
	var hosts []string
	const flows = 12
	for range flows {
		hosts = append(hosts, d.open(vm, service))
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

// A bound route keeps to its regions, whichever VM its clients reach, while domains are drained, too. A VM of another
// region forwards their packets to the hosts itself: no other VM sees them.
func TestRegionsBindAcrossVMs(t *testing.T) {
	is := is.New(t)
	d := newRegionDeployment(t)
	is.Equal(d.openMany(d.west, feedAddress), []string{"i-00000001", "i-00000002"})
	is.Equal(d.open(d.west, bookingAddress), "i-00000003") // not bound, so it stays in its domain
	metrics := await(t, "http://"+d.east.Addresses().Operator+"/metrics", func(int, string) bool { return true })
	for _, reason := range []string{"placed", "carried"} {
		is.True(strings.Contains(metrics, fmt.Sprintf(`almondflow_front_packets{reason=%q} 0`, reason)))
	}
	for _, host := range d.openMany(d.east, feedAddress) {
		is.True(host == "i-00000001" || host == "i-00000002")
	}
	d.drain("a")
	is.Equal(d.openMany(d.east, feedAddress), []string{"i-00000002"})
	is.Equal(d.openMany(d.west, feedAddress), []string{"i-00000002"})
	d.drain("b")
	for _, daemon := range d.daemons {
		is.Equal(d.open(daemon, feedAddress), "")
		await(t, "http://"+daemon.Addresses().Operator+"/metrics", func(_ int, body string) bool {
			return strings.Contains(body, `almondflow_front_packets{reason="no_target_in_region"} 1`)
		})
	}
	is.Equal(d.open(d.west, bookingAddress), "i-00000003")
	is.True(strings.Contains(d.logs.String(), "msg=flow_no_target_in_region"))
	is.NoErr(d.store.PutBoundTables(2, "core", []string{"west"}))
	for _, daemon := range d.daemons {
		awaitStatus(t, daemon, `"version":2`)
		is.Equal(d.openMany(daemon, feedAddress), []string{"i-00000003"})
	}
}

// drain drains a domain and waits until all VMs know.
func (d *regionDeployment) drain(domain string) {
	d.t.Helper()
	is.New(d.t).NoErr(d.store.PutDrain(domain))
	for _, daemon := range d.daemons {
		awaitStatus(d.t, daemon, fmt.Sprintf(`{"domain":%q,"revision"`, domain))
	}
}

// The commands show an operator to which regions a route is bound.
func TestOperatorCommandsOfBoundRoutes(t *testing.T) {
	d := newRegionDeployment(t)
	operatorAddress := d.east.Addresses().Operator
	tests := []struct {
		name      string
		arguments []string
		want      []string
	}{
		{"status", []string{"status", "--daemon", operatorAddress}, []string{"route feed ", "bound to east, 2 targets"}},
		{
			"explain",
			[]string{"explain", "--daemon", operatorAddress, "100.64.0.7:40001", feedAddress.String()},
			[]string{"bound to east", "i-00000001", "i-00000002"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { checkFrontCommand(t, tt.arguments, result.OK, tt.want) })
	}
}
