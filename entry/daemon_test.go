package entry_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/oops"

	"github.com/almondflow/almondflow/entry"
	"github.com/almondflow/almondflow/fabric"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/geneve"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/published"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/standin"
)

const (
	testMTU   = 9000
	testBatch = 64
	// pollInterval is the time between two checks for the first tables and list.
	pollInterval = time.Millisecond
	// hangTimeout ends a test that never receives an expected packet.
	hangTimeout = 20 * time.Second
)

var (
	anyPort     = netip.MustParseAddrPort("127.0.0.1:0")
	destination = flow.NewEndpoint(netip.MustParseAddrPort("203.0.113.10:443"))
	target      = flow.NewEndpoint(netip.MustParseAddrPort("192.0.2.21:8443"))
)

const tables = `{"version":1,
	"routes":[{"name":"booking","destination":"203.0.113.10","port":443,"protocol":"udp","pool":"booking-core","repeatable":true}],
	"pools":[{"name":"booking-core","hosts":[{"name":"b-01","address":"192.0.2.21","port":8443,"domain":"kadikoy"}]}]}`

// harness runs one daemon with a fabric socket of the test and a stand-in platform.
type harness struct {
	daemon  *entry.Daemon
	fabric  *fabric.UDP
	decoder *geneve.Decoder
	encoder *geneve.Encoder
	in, out *fabric.Batch
}

// newConfig returns the Config of a daemon whose listen addresses have port 0.
func newConfig(tb testing.TB, platformURL string, fabricAddress netip.AddrPort) entry.Config {
	tb.Helper()
	key, err := geneve.NewKey(1, make([]byte, 32))
	is.New(tb).NoErr(err)
	ring, err := geneve.NewKeyRing(key)
	is.New(tb).NoErr(err)
	return entry.Config{
		Name: "kadikoy-1", Domain: "kadikoy",
		DataAddress: anyPort, PeerAddress: anyPort, OperatorAddress: anyPort, FabricAddress: fabricAddress,
		PlatformEndpoints: []string{platformURL}, MTU: testMTU, Keys: geneve.NewKeys(ring), Workers: 1,
		StopTimeout: 1,
	}
}

// newHarness starts a daemon and waits until it has applied the tables and a list.
func newHarness(tb testing.TB) *harness {
	tb.Helper()
	is := is.New(tb)
	platform := standin.NewPlatform()
	server := httptest.NewServer(platform)
	tb.Cleanup(server.Close)
	conns, err := fabric.Listen(context.Background(), anyPort, 1)
	is.NoErr(err)
	config := newConfig(tb, server.URL, conns[0].Address())
	daemon, err := entry.New(context.Background(), config, entry.WithLogger(slog.New(slog.DiscardHandler)))
	is.NoErr(err)
	is.NoErr(platform.Publish(published.Tables, []byte(tables)))
	is.NoErr(platform.Publish(published.List, fmt.Appendf(nil,
		`{"version":1,"vms":[{"name":"kadikoy-1","domain":"kadikoy","data_address":%q,"peer_address":%q,"state":"serving"}]}`,
		daemon.DataAddress(), daemon.PeerAddress())))
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- daemon.Run(ctx) }()
	hang := time.AfterFunc(hangTimeout, func() { _ = conns[0].Close() })
	tb.Cleanup(func() {
		hang.Stop()
		stop()
		is.NoErr(<-ended)
		_ = conns[0].Close()
	})
	for {
		if tables, list := daemon.Versions(); tables > 0 && list > 0 {
			break
		}
		time.Sleep(pollInterval)
	}
	return &harness{
		daemon: daemon, fabric: conns[0],
		decoder: geneve.NewDecoder(0, 0, config.Keys), encoder: geneve.NewEncoder(0, config.Keys),
		in: fabric.NewBatch(testBatch, testMTU), out: fabric.NewBatch(testBatch, testMTU),
	}
}

// forward sends an inner packet to the daemon and returns the packet that the daemon sends to
// the fabric.
func (h *harness) forward(tb testing.TB, inner []byte) *packet.Packet {
	tb.Helper()
	is := is.New(tb)
	h.out.Reset()
	h.out.Add(h.encoder.AppendFabric(h.out.Next(), inner), h.daemon.DataAddress())
	_, err := h.fabric.Write(h.out)
	is.NoErr(err)
	is.NoErr(h.fabric.Read(h.in))
	datagram, err := h.decoder.Decode(h.in.Datagram(0))
	is.NoErr(err)
	p := new(packet.Packet)
	is.NoErr(p.Parse(datagram.Inner())) // also verifies the checksums
	return p
}

func clientKey(port uint16) flow.Key {
	client := netip.AddrPortFrom(netip.MustParseAddr("198.51.100.7"), port)
	return flow.NewKey(flow.UDP, flow.NewEndpoint(client), destination)
}

func TestDaemonTranslatesBothDirections(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	key := clientKey(5000)
	toTarget := h.forward(t, packet.AppendUDP(nil, key, []byte("hello"))).Key()
	is.Equal(toTarget, flow.NewKey(flow.UDP, key.Source(), target))
	toClient := h.forward(t, packet.AppendUDP(nil, flow.NewKey(flow.UDP, target, key.Source()), []byte("hi"))).Key()
	is.Equal(toClient, flow.NewKey(flow.UDP, destination, key.Source()))

	explanation := h.daemon.Explain(key)
	is.Equal(explanation.Service, "booking")
	is.Equal(explanation.Owner, "kadikoy-1")
	is.Equal(explanation.Target, target.String())
	is.Equal(explanation.Host, "b-01")
	is.Equal(len(h.daemon.Flows(10)), 1)
	status := h.daemon.Status()
	is.Equal(status.TableVersion, uint64(1))
	is.Equal(status.Flows, 1)
}

func TestDroppedPacketsAreCounted(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	key := clientKey(5000)
	unrouted := flow.NewKey(flow.UDP, key.Source(), target)
	h.out.Add(h.encoder.AppendFabric(h.out.Next(), packet.AppendUDP(nil, unrouted, []byte("x"))), h.daemon.DataAddress())
	h.out.Add([]byte("no geneve"), h.daemon.DataAddress())
	_, err := h.fabric.Write(h.out)
	is.NoErr(err)
	h.forward(t, packet.AppendUDP(nil, key, []byte("hello"))) // forwarded after the others were dropped
	counts := make(map[string]uint64)
	for _, c := range h.daemon.Status().Results {
		counts[c.Name] = c.Count
	}
	is.Equal(counts[result.DroppedNoRoute.String()], uint64(1))
	is.Equal(counts[result.DroppedMalformed.String()]+counts[result.DroppedUnsupported.String()], uint64(1))
}

func TestNewClosesSocketsIfOneCannotBeBound(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer func() { _ = occupied.Close() }()
	inUse := occupied.Addr().(*net.TCPAddr).AddrPort()
	tests := []struct {
		name       string
		setAddress func(*entry.Config)
	}{
		{"peer", func(c *entry.Config) { c.PeerAddress = inUse }},
		{"operator", func(c *entry.Config) { c.OperatorAddress = inUse }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			config := newConfig(t, "http://127.0.0.1:1", anyPort)
			free, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(anyPort))
			is.NoErr(err)
			config.DataAddress = free.LocalAddr().(*net.UDPAddr).AddrPort()
			is.NoErr(free.Close())
			test.setAddress(&config)
			_, err = entry.New(context.Background(), config)
			detailed, ok := oops.AsOops(err)
			is.True(ok)
			is.Equal(detailed.Code(), result.PortInUse)
			rebound, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(config.DataAddress))
			is.NoErr(err) // the data socket was closed
			is.NoErr(rebound.Close())
		})
	}
}
