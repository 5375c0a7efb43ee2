// Command front-demo demonstrates flows through entry VMs without the users' platform. It runs the
// daemons of one failure domain with stand-ins for the store, the hosts and a client on loopback
// addresses.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/almondflow/almondflow/front"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/platform"
	"github.com/almondflow/almondflow/platform/standin"
)

const (
	vmCount          = 3
	hostCount        = 4
	requestsPerPhase = 200
	requestsPerFlow  = 10
	responseTimeout  = 50 * time.Millisecond
	maxAttempts      = 50
	settingsFormat   = `{"name":"vm-%d","domain":"a","packet_address":"127.0.0.1:0","readiness_address":"127.0.0.1:0",
		"operator_address":"127.0.0.1:0","sibling_address":"127.0.0.1:0","seeds":[],"store_address":%q,"policy":"local",
		"log_lines_per_second":1,"flow_lifetime_seconds":60,"stop_ms":0,"max_flows":1000,"cpu_share":1,"link_mbps":100}`
)

var feedAddress = netip.MustParseAddrPort("198.18.0.1:8443")

func main() {
	if err := run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "front-demo:", err)
		os.Exit(1)
	}
}

// demo is a running deployment with a client.
type demo struct {
	store        *standin.Store
	storeAddress string // host and port
	vms          []netip.AddrPort
	stopFuncs    []func() error
	hosts        []*standin.Host
	client       *standin.Client
	port         uint16 // of the client's latest flow
}

func run(out io.Writer) error {
	d := &demo{store: standin.NewStore(), port: 2000}
	defer d.close()
	if err := d.start(); err != nil {
		return err
	}
	phases := []struct {
		name   string
		change func() error
	}{
		{"calm", func() error { return nil }},
		{"a host leaves, another comes", d.replaceHost},
		{"an entry VM stops", d.stopFuncs[0]},
	}
	_, _ = fmt.Fprintf(out, "%-30s %8s %8s %8s\n", "phase", "served", "repeated", "strays")
	misdelivered := 0
	for _, phase := range phases {
		if err := phase.change(); err != nil {
			return err
		}
		counts := d.serve()
		misdelivered += counts.misdelivered
		_, _ = fmt.Fprintf(out, "%-30s %8d %8d %8d\n", phase.name, counts.served, counts.repeated, counts.misdelivered)
		if counts.served < requestsPerPhase {
			return fmt.Errorf("only %d of %d requests were served", counts.served, requestsPerPhase)
		}
	}
	if misdelivered > 0 {
		return fmt.Errorf("%d responses came from another host than that of their flow", misdelivered)
	}
	return nil
}

func (d *demo) start() error {
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return err
	}
	d.storeAddress = listener.Addr().String()
	server := &http.Server{Handler: d.store, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }() // serves until the process exits
	if err := d.store.PutTables(1, "core"); err != nil {
		return err
	}
	for i := range vmCount {
		if err := d.startVM(i); err != nil {
			return err
		}
	}
	if d.client, err = standin.NewClient(netip.MustParseAddr("127.0.0.2"), d.vms[0].Port()); err != nil {
		return err
	}
	for range hostCount {
		if err := d.addHost(); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) startVM(number int) error {
	settings, err := front.ParseSettings(fmt.Appendf(nil, settingsFormat, number+1, d.storeAddress))
	if err != nil {
		return err
	}
	daemon, err := front.New(settings, front.Options{
		PacketCodec:   platform.PacketCodec{},
		Store:         platform.NewStore(d.storeAddress),
		ReadinessPath: platform.ReadinessPath,
		LogOutput:     io.Discard,
	})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- daemon.Run(ctx) }()
	d.vms = append(d.vms, daemon.Addresses().Packets)
	d.stopFuncs = append(d.stopFuncs, sync.OnceValue(func() error {
		stop()
		return <-ended
	}))
	return nil
}

func (d *demo) addHost() error {
	host, err := standin.NewHost(uint64(len(d.hosts)+1), d.vms[0].Port())
	if err != nil {
		return err
	}
	d.hosts = append(d.hosts, host)
	return d.store.PutHost(host, "core", "a", false)
}

func (d *demo) replaceHost() error {
	if err := d.addHost(); err != nil {
		return err
	}
	return d.store.PutHost(d.hosts[0], "core", "a", true)
}

func (d *demo) close() {
	for _, stop := range d.stopFuncs {
		_ = stop() // the demo exits
	}
}

// counts holds the numbers of requests that were served, packets that were sent again, and responses
// that came from another host than that of their flow.
type counts struct{ served, repeated, misdelivered int }

// serve opens flows and sends requests on them, each packet through the next VM.
func (d *demo) serve() counts {
	var c counts
	for flows := 0; c.served < requestsPerPhase && flows < requestsPerPhase; flows++ {
		d.port++
		opened, host, ok := d.exchange(&c, inband.Packet{Flags: inband.Opening, Seq: 100})
		if !ok || !opened.Flags.Has(inband.Opening) {
			continue
		}
		for i := range uint32(requestsPerFlow) {
			request := inband.Packet{Flags: inband.Acknowledging, Seq: 101 + 10*i, Ack: opened.Seq + i, Tag: opened.Tag, DataLength: 10}
			_, responder, ok := d.exchange(&c, request)
			if !ok {
				break
			}
			c.served++
			if !strings.EqualFold(responder, host) {
				c.misdelivered++
			}
		}
	}
	return c
}

// exchange sends a packet repeatedly until its response arrives.
func (d *demo) exchange(c *counts, p inband.Packet) (inband.Packet, string, bool) {
	for attempt := range maxAttempts {
		if attempt > 0 {
			c.repeated++
		}
		vm := d.vms[(c.served+attempt)%len(d.vms)]
		if err := d.client.Send(vm, d.port, feedAddress, p); err != nil {
			continue
		}
		for {
			response, responder, err := d.client.ReceiveUntil(time.Now().Add(responseTimeout))
			if err != nil {
				break
			}
			if response.Key.Destination.Port() == d.port && response.Ack == p.Seq+uint32(max(p.DataLength, 1)) {
				return response, responder, true
			}
		}
	}
	return inband.Packet{}, "", false
}
