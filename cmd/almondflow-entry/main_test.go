package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"
	"syscall"
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
	feedAddress   = netip.MustParseAddrPort("198.18.0.1:8443")
)

// logBuffer collects the log lines of several daemons.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// deployment is a stand-in store and daemons of one failure domain on loopback addresses.
type deployment struct {
	t       *testing.T
	store   *standin.Store
	server  *httptest.Server
	logs    *logBuffer
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
	d := &deployment{t: t, store: standin.NewStore(), logs: &logBuffer{}}
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

// await requests a URL until the response is as expected, and returns its body.
func await(t *testing.T, url string, isExpected func(status int, body string) bool) string {
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
		if isExpected(response.StatusCode, string(body)) {
			return string(body)
		}
	}
}

func awaitReady(t *testing.T, daemon *front.Daemon) {
	t.Helper()
	await(t, "http://"+daemon.Addresses().Readiness+platform.ReadinessPath, func(status int, _ string) bool { return status == http.StatusOK })
}

func awaitStatus(t *testing.T, daemon *front.Daemon, expected string) {
	t.Helper()
	await(t, "http://"+daemon.Addresses().Operator+"/status", func(_ int, body string) bool { return strings.Contains(body, expected) })
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

// A flow that was opened through one VM continues through another one, which has no state for it.
func TestFlowThroughTwoVMs(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	first, second := d.startDaemon("vm-1"), d.startDaemon("vm-2")
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
	is.NoErr(client.Send(first.Addresses().Packets, 40001, feedAddress, inband.Packet{Flags: inband.Opening, Seq: 100}))
	opened, host, err := client.Receive()
	is.NoErr(err)
	is.True(opened.Flags.Has(inband.Opening | inband.Acknowledging))
	for i, vm := range []*front.Daemon{first, second, second, first} {
		is.NoErr(client.Send(vm.Addresses().Packets, 40001, feedAddress, inband.Packet{
			Flags: inband.Acknowledging, Seq: 101 + uint32(10*i), Ack: opened.Seq + uint32(i), Tag: opened.Tag, DataLength: 10,
		}))
		_, from, err := client.Receive()
		is.NoErr(err)
		is.Equal(from, host)
	}
	is.NoErr(client.Send(first.Addresses().Packets, 40002, netip.MustParseAddrPort("198.18.0.9:1"), inband.Packet{Flags: inband.Opening, Seq: 7}))
	reset, _, err := client.Receive()
	is.NoErr(err)
	is.Equal(reset.Flags, inband.Resetting)
	operatorClient := operator.NewFrontClient(first.Addresses().Operator)
	explanation, err := operatorClient.Explain(context.Background(), opened.Key.Reversed())
	is.NoErr(err)
	is.Equal(explanation.Route, "feed")
	is.Equal(explanation.Target, host)
	is.Equal(explanation.State, "open")
	is.Equal(len(explanation.Candidates), 4)
	trail, err := operatorClient.Audit(context.Background())
	is.NoErr(err)
	is.Equal(trail[0].Source, "store")
	metrics := await(t, "http://"+first.Addresses().Operator+"/metrics", func(int, string) bool { return true })
	is.True(strings.Contains(metrics, `almondflow_front_packets{reason="placed"} 1`))
	is.True(strings.Contains(metrics, `almondflow_front_packets{reason="no_route"} 1`))
}

// A VM that starts takes some time to read large tables (0.1 s for 400 routes at 10 Mbit/s). Open
// flows do not wait for the tables, because their packets name their targets.
func TestOpenFlowsDoNotWaitForTables(t *testing.T) {
	is := is.New(t)
	d := newDeploymentWithoutTables(t)
	daemon := d.startDaemon("vm-1")
	port := daemon.Addresses().Packets.Port()
	host := d.addHost(1, port)
	awaitStatus(t, daemon, `"id":"i-00000001"`)
	awaitStatus(t, daemon, `"ready":false`)
	client, err := standin.NewClient(clientAddress, port)
	is.NoErr(err)
	defer func() { _ = client.Close() }()
	vm := daemon.Addresses().Packets
	is.NoErr(client.Send(vm, 40001, feedAddress, inband.Packet{
		Flags: inband.Acknowledging, Seq: 101, Ack: 1, Tag: inband.TagOf(host.ID()), DataLength: 10,
	}))
	_, from, err := client.Receive()
	is.NoErr(err)
	is.Equal(from, host.ID())
	d.putTables(1)
	awaitReady(t, daemon)
	is.NoErr(client.Send(vm, 40002, feedAddress, inband.Packet{Flags: inband.Opening, Seq: 100}))
	opened, _, err := client.Receive()
	is.NoErr(err)
	is.True(opened.Flags.Has(inband.Opening | inband.Acknowledging))
}

// New tables and the state of a leaving host take effect even though the store meanwhile refuses
// or limits calls, discards its history or returns unreadable answers.
func TestViewsWithFaultyStore(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	daemon := d.startDaemon("vm-1")
	port := daemon.Addresses().Packets.Port()
	host := d.addHost(1, port)
	awaitStatus(t, daemon, `"id":"i-00000001","service":"core","domain":"a","mark":"serving"`)
	awaitReady(t, daemon) // the status shows targets before the view is complete
	for version, fault := range []standin.StoreFault{standin.Unavailable, standin.RateLimiting, standin.InvalidJSON, standin.HistoryLost} {
		d.store.SetFault(fault)
		calls := d.store.Calls()
		d.putTables(int64(10 + version))
		for d.store.Calls() < calls+2 { //nolint:revive // the daemon goes on calling
		}
		awaitReady(t, daemon) // it keeps serving with its current view
		d.store.SetFault(standin.Healthy)
		awaitStatus(t, daemon, fmt.Sprintf(`"version":%d`, 10+version))
	}
	d.putHost(host, true)
	awaitStatus(t, daemon, `"mark":"leaving"`)
	d.store.RemoveHost(host)
	awaitStatus(t, daemon, `"mark":"gone"`)
	is.True(strings.Contains(d.logs.String(), "msg=store_failed"))
	is.True(strings.Contains(d.logs.String(), "msg=store_regained"))
}

func TestRunRejectsInvalidSettings(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"no file", "", "read settings"},
		{"no JSON", "{", "decode settings"},
		{"unknown name", `{"title":"x"}`, "title"},
		{"several invalid values", `{"name":"x"}`, "settings: store_address must be an address with a port"},
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

// Guards against a SIGHUP right after the start that ends the process, as its handler was installed
// only after the sockets were bound. The settings are a pipe here, so the signal arrives while the
// program waits for them; without the handler it ends the test.
func TestHangUpDuringTheStart(t *testing.T) {
	is := is.New(t)
	path := t.TempDir() + "/settings.json"
	is.NoErr(syscall.Mkfifo(path, 0o600))
	t.Setenv(settingsVariable, path)
	ended := make(chan error, 1)
	go func() { ended <- run() }()
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // waits until the program opens it
	is.NoErr(err)
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	_, err = pipe.WriteString("{")
	is.NoErr(err)
	is.NoErr(pipe.Close())
	is.True(strings.Contains((<-ended).Error(), "decode settings"))
}

// Guards against a SIGHUP at the end of the process that terminates it, as run removed its handler.
// A signal from just before the end may be delivered only then.
func TestHangUpAfterTheEnd(t *testing.T) {
	is := is.New(t)
	t.Setenv(settingsVariable, "")
	is.True(errors.Is(run(), errNoSettings))
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP)) // without the handler it ends the test
}
