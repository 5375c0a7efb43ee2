package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/front"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/operator"
	"github.com/almondflow/almondflow/platform"
	"github.com/almondflow/almondflow/platform/standin"
)

var (
	clientAddress = netip.MustParseAddr("127.0.0.2")
	feed          = netip.MustParseAddrPort("198.18.0.1:8443")
)

// logText keeps the log lines of daemons.
type logText struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logText) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *logText) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// deployment is a store with daemons of one failure domain on loopback.
type deployment struct {
	t       *testing.T
	store   *standin.Store
	server  *httptest.Server
	output  *logText
	daemons []*front.Daemon
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := newDeploymentWithoutTables(t)
	d.putTables(1)
	return d
}

func newDeploymentWithoutTables(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, store: standin.NewStore(), output: &logText{}}
	d.server = httptest.NewServer(d.store)
	t.Cleanup(d.server.Close)
	return d
}

func (d *deployment) putTables(version int64) {
	d.t.Helper()
	if err := d.store.PutTables(version, "core"); err != nil {
		d.t.Fatal(err)
	}
}

func (d *deployment) putHost(host *standin.Host, isLeaving bool) {
	d.t.Helper()
	if err := d.store.PutHost(host, "core", "a", isLeaving); err != nil {
		d.t.Fatal(err)
	}
}

// start runs a daemon until the test ends.
func (d *deployment) start(name string) *front.Daemon {
	d.t.Helper()
	settings, err := front.ParseSettings([]byte(fmt.Sprintf(`{"name":%q,"domain":"a","packet_address":"127.0.0.1:0",
		"readiness_address":"127.0.0.1:0","operator_address":"127.0.0.1:0","sibling_address":"127.0.0.1:0","seeds":[],
		"store_address":%q,"policy":"local","log_lines_per_second":1000,"flow_lifetime_seconds":60,"stop_ms":0,
		"max_flows":1000,"cpu_share":1,"link_mbps":100}`, name, strings.TrimPrefix(d.server.URL, "http://"))))
	if err != nil {
		d.t.Fatal(err)
	}
	daemon, err := front.New(settings, front.Options{
		PacketCodec: platform.Wire{}, Store: platform.NewStore(settings.StoreAddress.String()),
		ReadinessPath: platform.ReadinessPath, LogOutput: d.output,
	})
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- daemon.Run(ctx) }()
	d.t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			d.t.Error(err)
		}
	})
	d.daemons = append(d.daemons, daemon)
	return daemon
}

// await asks until the answer is as wanted.
func await(t *testing.T, url string, isWanted func(status int, body string) bool) string {
	t.Helper()
	for {
		response, err := http.Get(url) //nolint:gosec // a loopback address of this test
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if isWanted(response.StatusCode, string(body)) {
			return string(body)
		}
	}
}

func awaitReady(t *testing.T, daemon *front.Daemon) {
	t.Helper()
	await(t, "http://"+daemon.Addresses().Readiness+platform.ReadinessPath, func(status int, _ string) bool { return status == http.StatusOK })
}

func awaitStatus(t *testing.T, daemon *front.Daemon, wanted string) {
	t.Helper()
	await(t, "http://"+daemon.Addresses().Operator+"/status", func(_ int, body string) bool { return strings.Contains(body, wanted) })
}

func (d *deployment) addHost(number uint64, clientPort uint16) *standin.Host {
	d.t.Helper()
	host, err := standin.NewHost(number, clientPort)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = host.Close() })
	d.putHost(host, false)
	return host
}

// A flow is opened through one VM and goes on through another, which never saw it.
func TestAFlowThroughTwoVMs(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	first, second := d.start("vm-1"), d.start("vm-2")
	port := first.Addresses().Packets.Port()
	for number := uint64(1); number <= 4; number++ {
		d.addHost(number, port)
	}
	client, err := standin.NewClient(clientAddress, port)
	is.NoErr(err)
	defer func() { _ = client.Close() }()
	for _, daemon := range d.daemons {
		awaitReady(t, daemon)
		for number := 1; number <= 4; number++ {
			awaitStatus(t, daemon, fmt.Sprintf(`"id":"i-%08x"`, number))
		}
	}
	is.NoErr(client.Send(first.Addresses().Packets, 40001, feed, inband.Packet{Flags: inband.Opening, Seq: 100}))
	opened, chosen, err := client.Receive()
	is.NoErr(err)
	is.True(opened.Flags.Has(inband.Opening | inband.Acknowledges))
	for i, vm := range []*front.Daemon{first, second, second, first} {
		is.NoErr(client.Send(vm.Addresses().Packets, 40001, feed, inband.Packet{
			Flags: inband.Acknowledges, Seq: 101 + uint32(10*i), Ack: opened.Seq + uint32(i), Tag: opened.Tag, Length: 10,
		}))
		_, from, err := client.Receive()
		is.NoErr(err)
		is.Equal(from, chosen)
	}
	is.NoErr(client.Send(first.Addresses().Packets, 40002, netip.MustParseAddrPort("198.18.0.9:1"), inband.Packet{Flags: inband.Opening, Seq: 7}))
	refused, _, err := client.Receive()
	is.NoErr(err)
	is.Equal(refused.Flags, inband.Resetting)
	ask := operator.NewFrontClient(first.Addresses().Operator)
	x, err := ask.Explain(context.Background(), opened.Key.Back())
	is.NoErr(err)
	is.Equal(x.Route, "feed")
	is.Equal(x.Target, chosen)
	is.Equal(x.State, "open")
	is.Equal(len(x.Candidates), 4)
	trail, err := ask.Audit(context.Background())
	is.NoErr(err)
	is.Equal(trail[0].Source, "store")
	metrics := await(t, "http://"+first.Addresses().Operator+"/metrics", func(int, string) bool { return true })
	is.True(strings.Contains(metrics, `almondflow_front_packets{reason="placed"} 1`))
	is.True(strings.Contains(metrics, `almondflow_front_packets{reason="no_route"} 1`))
}

// Large tables take long to arrive at a VM that starts (10 Mbit/s, 400 routes: 0.1 s). Open
// flows do not wait for them, as their packets name their targets.
func TestOpenFlowsDoNotWaitForTables(t *testing.T) {
	is := is.New(t)
	d := newDeploymentWithoutTables(t)
	daemon := d.start("vm-1")
	port := daemon.Addresses().Packets.Port()
	host := d.addHost(1, port)
	awaitStatus(t, daemon, `"id":"i-00000001"`)
	awaitStatus(t, daemon, `"ready":false`)
	client, err := standin.NewClient(clientAddress, port)
	is.NoErr(err)
	defer func() { _ = client.Close() }()
	vm := daemon.Addresses().Packets
	is.NoErr(client.Send(vm, 40001, feed, inband.Packet{
		Flags: inband.Acknowledges, Seq: 101, Ack: 1, Tag: inband.TagOf(host.ID()), Length: 10,
	}))
	_, from, err := client.Receive()
	is.NoErr(err)
	is.Equal(from, host.ID())
	d.putTables(1)
	awaitReady(t, daemon)
	is.NoErr(client.Send(vm, 40002, feed, inband.Packet{Flags: inband.Opening, Seq: 100}))
	opened, _, err := client.Receive()
	is.NoErr(err)
	is.True(opened.Flags.Has(inband.Opening | inband.Acknowledges))
}

// A host that leaves gets no new flow, and a change of the tables comes in force, while the
// store refuses, forgets and answers nonsense in between.
func TestViewsThroughAFaultyStore(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	daemon := d.start("vm-1")
	port := daemon.Addresses().Packets.Port()
	host := d.addHost(1, port)
	awaitStatus(t, daemon, `"id":"i-00000001","service":"core","domain":"a","mark":"serving"`)
	awaitReady(t, daemon) // targets are read before tables, and without tables it cannot go on
	for version, fault := range []standin.Fault{standin.Refusing, standin.Limiting, standin.Unreadable, standin.Forgetting} {
		d.store.Misbehave(fault)
		calls := d.store.Calls()
		d.putTables(int64(10 + version))
		for d.store.Calls() < calls+2 { //nolint:revive // the daemon goes on calling
		}
		awaitReady(t, daemon) // it goes on with what it knows
		d.store.Misbehave(standin.Healthy)
		awaitStatus(t, daemon, fmt.Sprintf(`"version":%d`, 10+version))
	}
	d.putHost(host, true)
	awaitStatus(t, daemon, `"mark":"leaving"`)
	d.store.RemoveHost(host)
	awaitStatus(t, daemon, `"mark":"gone"`)
	is.True(strings.Contains(d.output.String(), "msg=store_failed"))
	is.True(strings.Contains(d.output.String(), "msg=store_regained"))
}

func TestSettingsFaultsEndTheProgram(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"no file", "", "read settings"},
		{"no JSON", "{", "decode settings"},
		{"unknown name", `{"title":"x"}`, "title"},
		{"many faults", `{"name":"x"}`, "settings: store_address must be an address with a port"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			path := t.TempDir() + "/settings.json"
			if tt.text != "" {
				is.NoErr(os.WriteFile(path, []byte(tt.text), 0o600))
			}
			t.Setenv(settingsVariable, path)
			err := run()
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tt.want))
		})
	}
}
