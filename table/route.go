package table

import (
	"net/netip"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
)

// Route says which traffic belongs to which pool.
type Route struct {
	name        string
	destination flow.Endpoint
	protocol    flow.Protocol
	source      netip.Prefix
	pool        *Pool
	repeatable  bool
	hashDefault bool
	idleTimeout clock.Millis
	digest      digest
}

// Name returns the name of the service.
func (r *Route) Name() string { return r.name }

// Destination returns the endpoint that clients address.
func (r *Route) Destination() flow.Endpoint { return r.destination }

// Protocol returns the protocol.
func (r *Route) Protocol() flow.Protocol { return r.protocol }

// Source returns the prefix that clients must be in. It is invalid where any may come.
func (r *Route) Source() netip.Prefix { return r.source }

// Pool returns the pool that serves the route.
func (r *Route) Pool() *Pool { return r.pool }

// Repeatable reports whether a flow may reach a second target after a failure. Flows of
// other routes reach at most one target ever.
func (r *Route) Repeatable() bool { return r.repeatable }

// HashDefault reports whether a packet in mid-flow that nobody knows goes to the target
// that its hash names instead of being dropped.
func (r *Route) HashDefault() bool { return r.hashDefault }

// IdleTimeout returns the span without packets after which a flow is over.
func (r *Route) IdleTimeout() clock.Millis { return r.idleTimeout }
