package demo

import (
	"encoding/json"
	"net/netip"
	"slices"

	"github.com/almondflow/almondflow/standin"
)

// Loopback addresses of clients and destinations. Holds are routed by their source prefix.
const (
	clientAddress = "127.0.0.1"
	holdAddress   = "127.2.0.1"
	holdPrefix    = "127.2.0.0/16"
	// The tables must not contain a destination with the address of a host.
	bookingAddress = "127.10.0.1"
	photosAddress  = "127.10.0.2"
)

const (
	initialIdleTimeoutSeconds = 60
	editedIdleTimeoutSeconds  = 90
	slowStartSeconds          = 3
)

// tablesDocument is the JSON document of the tables that the platform publishes.
type tablesDocument struct {
	Version uint64          `json:"version"`
	Routes  []routeDocument `json:"routes"`
	Pools   []poolDocument  `json:"pools"`
}

type routeDocument struct {
	Name               string `json:"name"`
	Destination        string `json:"destination"`
	Port               uint16 `json:"port"`
	Protocol           string `json:"protocol"`
	Source             string `json:"source,omitempty"`
	Pool               string `json:"pool"`
	Repeatable         bool   `json:"repeatable"`
	IdleTimeoutSeconds int    `json:"idle_timeout_seconds"`
}

type poolDocument struct {
	Name             string         `json:"name"`
	Prefer           string         `json:"prefer"`
	Spill            bool           `json:"spill"`
	SlowStartSeconds int            `json:"slow_start_seconds"`
	Hosts            []hostDocument `json:"hosts"`
}

type hostDocument struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Port        uint16 `json:"port"`
	Domain      string `json:"domain"`
	Mark        string `json:"mark"`
	Weight      int    `json:"weight"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// newTables returns tables for two services: booking, with a route for feeds and a
// non-repeatable one for holds, and photos.
func newTables(d deployment, booking, photos netip.AddrPort) *tablesDocument {
	return &tablesDocument{
		Version: 1,
		Routes: []routeDocument{
			newRoute("feeds", booking, "", d.booking.pool, true),
			newRoute("holds", booking, holdPrefix, d.booking.pool, false),
			newRoute("photos", photos, "", d.photos.pool, true),
		},
		Pools: []poolDocument{newPool(d.booking.pool, d.prefer), newPool(d.photos.pool, d.prefer)},
	}
}

func newRoute(name string, to netip.AddrPort, source, pool string, repeatable bool) routeDocument {
	return routeDocument{
		Name:               name,
		Destination:        to.Addr().String(),
		Port:               to.Port(),
		Protocol:           "udp",
		Source:             source,
		Pool:               pool,
		Repeatable:         repeatable,
		IdleTimeoutSeconds: initialIdleTimeoutSeconds,
	}
}

func newPool(name, prefer string) poolDocument {
	return poolDocument{Name: name, Prefer: prefer, Spill: true, SlowStartSeconds: slowStartSeconds, Hosts: []hostDocument{}}
}

// add adds a target to the hosts of its pool.
func (t *tablesDocument) add(target *standin.Target, domain, mark string) {
	for i := range t.Pools {
		if t.Pools[i].Name == target.Pool() {
			t.Pools[i].Hosts = append(t.Pools[i].Hosts, hostDocument{
				Name:        target.Name(),
				Address:     target.Address().Addr().String(),
				Port:        target.Address().Port(),
				Domain:      domain,
				Mark:        mark,
				Weight:      1,
				Slots:       slotsPerHost,
				Connections: connectionsPerHost,
			})
		}
	}
}

// mark sets the mark of a host.
func (t *tablesDocument) mark(host, mark string) {
	for i := range t.Pools {
		for j := range t.Pools[i].Hosts {
			if h := &t.Pools[i].Hosts[j]; h.Name == host {
				h.Mark = mark
			}
		}
	}
}

func (t *tablesDocument) setIdleTimeout(seconds int) {
	for i := range t.Routes {
		t.Routes[i].IdleTimeoutSeconds = seconds
	}
}

// allowed reports whether the target belongs to the destination's pool.
func (t *tablesDocument) allowed(delivery standin.Delivery) bool {
	for _, r := range t.Routes {
		if r.Destination == delivery.Destination.Addr().String() && r.Port == delivery.Destination.Port() {
			return t.hasHost(r.Pool, delivery.Target)
		}
	}
	return false
}

func (t *tablesDocument) hasHost(pool string, address netip.AddrPort) bool {
	return slices.ContainsFunc(t.Pools, func(p poolDocument) bool {
		return p.Name == pool && slices.ContainsFunc(p.Hosts, func(h hostDocument) bool {
			return h.Address == address.Addr().String() && h.Port == address.Port()
		})
	})
}

func (t *tablesDocument) document() ([]byte, error) { return json.Marshal(t) }
