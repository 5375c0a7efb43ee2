// Command front-demo shows the way of a flow on the users' platform without it: daemons of
// one failure domain, and stand-ins of the store, of hosts and of a client, over loopback.
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
	vms             = 3
	hosts           = 4
	requestsOfPhase = 200
	requestsOfFlow  = 10
	answerTime      = 50 * time.Millisecond
	tries           = 50
	settingsText    = `{"name":"vm-%d","domain":"a","packet_address":"127.0.0.1:0","readiness_address":"127.0.0.1:0",
		"operator_address":"127.0.0.1:0","sibling_address":"127.0.0.1:0","seeds":[],"store_address":%q,"policy":"local",
		"log_lines_per_second":1,"flow_lifetime_seconds":60,"stop_ms":0,"max_flows":1000,"cpu_share":1,"link_mbps":100}`
)

var feed = netip.MustParseAddrPort("198.18.0.1:8443")

func main() {
	if err := run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "front-demo:", err)
		os.Exit(1)
	}
}

// demo is a running deployment.
type demo struct {
	store  *standin.Store
	url    string
	vms    []netip.AddrPort
	stops  []func() error
	hosts  []*standin.Host
	client *standin.Client
	port   uint16 // of the client's next flow
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
		{"an entry VM stops", d.stops[0]},
	}
	_, _ = fmt.Fprintf(out, "%-30s %8s %8s %8s\n", "phase", "served", "repeated", "strays")
	strays := 0
	for _, phase := range phases {
		if err := phase.change(); err != nil {
			return err
		}
		counts := d.serve()
		strays += counts.strays
		_, _ = fmt.Fprintf(out, "%-30s %8d %8d %8d\n", phase.name, counts.served, counts.repeated, counts.strays)
		if counts.served < requestsOfPhase {
			return fmt.Errorf("only %d of %d requests were served", counts.served, requestsOfPhase)
		}
	}
	if strays > 0 {
		return fmt.Errorf("%d answers came from another host than the flow's", strays)
	}
	return nil
}

func (d *demo) start() error {
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return err
	}
	d.url = listener.Addr().String()
	server := &http.Server{Handler: d.store, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }() // ends with the process
	if err := d.store.PutTables(1, "core"); err != nil {
		return err
	}
	for i := range vms {
		if err := d.startVM(i); err != nil {
			return err
		}
	}
	if d.client, err = standin.NewClient(netip.MustParseAddr("127.0.0.2"), d.vms[0].Port()); err != nil {
		return err
	}
	for range hosts {
		if err := d.addHost(); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) startVM(number int) error {
	settings, err := front.ParseSettings(fmt.Appendf(nil, settingsText, number+1, d.url))
	if err != nil {
		return err
	}
	daemon, err := front.New(settings, front.Options{
		PacketCodec: platform.Wire{}, Store: platform.NewStore(d.url), ReadinessPath: platform.ReadinessPath, LogOutput: io.Discard,
	})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- daemon.Run(ctx) }()
	d.vms = append(d.vms, daemon.Addresses().Packets)
	d.stops = append(d.stops, sync.OnceValue(func() error {
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
	for _, stop := range d.stops {
		_ = stop() // the demo ends
	}
}

type counts struct{ served, repeated, strays int }

// serve opens flows and asks on them, each packet through the next VM.
func (d *demo) serve() counts {
	var c counts
	for flows := 0; c.served < requestsOfPhase && flows < requestsOfPhase; flows++ {
		d.port++
		opened, host, ok := d.exchange(&c, inband.Packet{Flags: inband.Opening, Seq: 100})
		if !ok || !opened.Flags.Has(inband.Opening) {
			continue
		}
		for i := range uint32(requestsOfFlow) {
			ask := inband.Packet{Flags: inband.Acknowledges, Seq: 101 + 10*i, Ack: opened.Seq + i, Tag: opened.Tag, Length: 10}
			_, from, ok := d.exchange(&c, ask)
			if !ok {
				break
			}
			c.served++
			if !strings.EqualFold(from, host) {
				c.strays++
			}
		}
	}
	return c
}

// exchange sends a packet again until its answer comes.
func (d *demo) exchange(c *counts, p inband.Packet) (inband.Packet, string, bool) {
	for try := range tries {
		if try > 0 {
			c.repeated++
		}
		vm := d.vms[(c.served+try)%len(d.vms)]
		if err := d.client.Send(vm, d.port, feed, p); err != nil {
			continue
		}
		for {
			answer, from, err := d.client.ReceiveUntil(time.Now().Add(answerTime))
			if err != nil {
				break
			}
			if answer.Key.Service.Port() == d.port && answer.Ack == p.Seq+uint32(max(p.Length, 1)) {
				return answer, from, true
			}
		}
	}
	return inband.Packet{}, "", false
}
