package main

import (
	"cmp"
	"context"
	"fmt"
	"strings"

	"github.com/almondflow/almondflow/front"
	"github.com/almondflow/almondflow/platform"
)

// daemonSettings holds the settings in which the daemons of a deployment differ.
type daemonSettings struct {
	name          string
	domain        string // a if it is empty
	packetAddress string // any port of 127.0.0.1 if it is empty
	regions       string // of failure domains
}

// startDaemon runs a daemon in domain a until the test ends.
func (d *deployment) startDaemon(name string) *front.Daemon {
	d.t.Helper()
	return d.startDaemonWith(daemonSettings{name: name})
}

// startDaemonWith runs a daemon until the test ends.
func (d *deployment) startDaemonWith(s daemonSettings) *front.Daemon {
	d.t.Helper()
	settings, err := front.ParseSettings([]byte(fmt.Sprintf(`{"name":%q,"domain":%q,"packet_address":%q,
		"readiness_address":"127.0.0.1:0","operator_address":"127.0.0.1:0","sibling_address":"127.0.0.1:0","seeds":[],
		"store_address":%q,"policy":"local","log_lines_per_second":1000,"flow_lifetime_seconds":60,"stop_ms":0,
		"max_flows":1000,"cpu_share":1,"link_mbps":100,"regions":%q}`, s.name, cmp.Or(s.domain, "a"), cmp.Or(s.packetAddress, "127.0.0.1:0"),
		strings.TrimPrefix(d.server.URL, "http://"), s.regions)))
	if err != nil {
		d.t.Fatal(err)
	}
	daemon, err := front.New(settings, front.Options{
		PacketCodec: platform.PacketCodec{}, Store: platform.NewStore(settings.StoreAddress.String()),
		ReadinessPath: platform.ReadinessPath, LogOutput: d.logs,
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
