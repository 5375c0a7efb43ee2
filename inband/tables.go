package inband

import (
	"net/netip"
	"slices"

	"github.com/almondflow/almondflow/clock"
)

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
	// AllowedRegions are the regions whose targets new flows may go to. They may go to all if there are none.
	AllowedRegions []string `json:"allowed_regions,omitempty"`
	// TargetLatencyMS is the time in which callers want the answer, and TimeoutMS the one after which they
	// give up. Zero if the tables do not say.
	TargetLatencyMS clock.Millis `json:"target_latency_ms,omitempty"`
	TimeoutMS       clock.Millis `json:"timeout_ms,omitempty"`
}

// weight returns the sum of the weights.
func (r *Route) weight() int {
	sum := 0
	for _, s := range r.Shares {
		sum += s.Weight
	}
	return sum
}

// leadsTo reports whether new flows of the route may go to the targets of a service. Without weights, they
// go to the first one.
func (r *Route) leadsTo(service string) bool {
	if len(r.Shares) == 1 || r.weight() <= 0 {
		return r.Shares[0].Service == service
	}
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// Service holds the limits of the targets of a service. A limit of zero is none.
type Service struct {
	Name           string       `json:"name"`
	MaxConnections int          `json:"max_connections,omitempty"` // flows that one target holds
	SlowStartMS    clock.Millis `json:"slow_start_ms,omitempty"`   // how long a target is in slow start after its start
	SlowStartRate  float64      `json:"slow_start_rate,omitempty"` // requests per second that a target bears in slow start, from all VMs
}

// Tables holds one version of the routes and the settings of their flows. It is immutable.
type Tables struct {
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services,omitempty"`
	IdleMS   int64     `json:"idle_ms"` // flows idle for longer may be removed
}
