package front

import (
	"net/http"
	"net/netip"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/drain"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/load"
	"github.com/almondflow/almondflow/siblings"
)

// Status is the state of a running daemon as shown to operators.
type Status struct {
	Name       string                `json:"name"`
	Domain     string                `json:"domain"`
	UptimeMS   clock.Millis          `json:"uptime_ms"`
	Ready      bool                  `json:"ready"`
	View       *siblings.ViewSummary `json:"view"`
	ReaderRank int                   `json:"reader_rank"` // VMs that read the store before this one
	Siblings   []siblings.Contact    `json:"siblings"`
	Drains     []drain.Mark          `json:"drains,omitempty"` // failure domains that get no new flows
	// Regions holds the region of each failure domain, and Bound the routes whose flows may go to some regions only.
	Regions    map[string]string        `json:"regions,omitempty"`
	Bound      []inband.BoundRoute      `json:"bound_routes,omitempty"`
	Targets    []inband.Health          `json:"targets"`
	Pools      []load.DomainPool        `json:"pools,omitempty"`      // if VMs share their load
	Admissions []inband.AdmissionStatus `json:"admissions,omitempty"` // of pools whose less urgent openings may be refused
}

// serveStatus answers with the Status of the daemon.
func (d *Daemon) serveStatus(w http.ResponseWriter, _ *http.Request) {
	now := d.clock.Now()
	d.mu.Lock()
	status := Status{
		Name: d.settings.Load().Name, Domain: d.settings.Load().Domain, UptimeMS: now,
		Ready: d.catalog.IsComplete() && !d.isStopping, View: d.viewSummary(now),
		ReaderRank: d.readScheduler.Rank(), Siblings: d.members.Alive(now),
		Regions: d.regions.Domains(), Bound: d.engine.BoundRoutes(now),
		Drains: d.catalog.Drains(), Pools: d.engine.LoadPools(), Targets: d.engine.Targets(),
		Admissions: d.engine.AdmissionStatuses(),
	}
	d.mu.Unlock()
	d.writeJSON(w, status)
}

// Addresses holds the addresses that a daemon listens on, with the actual ports.
type Addresses struct {
	Packets   netip.AddrPort
	Siblings  netip.AddrPort
	Readiness string
	Operator  string
}

// Addresses returns the addresses that the daemon listens on.
func (d *Daemon) Addresses() Addresses {
	return Addresses{
		Packets: localAddress(d.sockets.packets), Siblings: localAddress(d.sockets.messages),
		Readiness: d.sockets.readiness.Addr().String(), Operator: d.sockets.operator.Addr().String(),
	}
}
