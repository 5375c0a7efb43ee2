package inband

import "net/netip"

// Share is the part of a route's new flows that goes to one pool.
type Share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"` // relative to the sum of the route's weights
}

// Route assigns flows to an address and port to pools.
type Route struct {
	Name       string         `json:"name"`
	Address    netip.AddrPort `json:"address"`
	Repeatable bool           `json:"repeatable"` // clients repeat a request after any failure
	Priority   int            `json:"priority"`   // 0 is the most urgent
	Shares     []Share        `json:"shares"`
}

// Tables holds one version of the routes and the settings of their flows. It is immutable.
type Tables struct {
	Version int64   `json:"version"`
	Routes  []Route `json:"routes"`
	IdleMS  int64   `json:"idle_ms"` // flows idle for longer may be removed
}
