package table

import (
	"net/netip"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
)

// Route assigns the traffic for a destination to a pool.
type Route struct {
	name               string
	destination        flow.Endpoint
	protocol           flow.Protocol
	source             netip.Prefix
	pool               *Pool
	repeatable         bool
	hashesUnknownFlows bool
	idleTimeout        clock.Millis
	digest             digest
}

// Name returns the name of the route, unique within the tables.
func (r *Route) Name() string { return r.name }

// Destination returns the endpoint to which clients send packets.
func (r *Route) Destination() flow.Endpoint { return r.destination }

// Protocol returns the transport protocol.
func (r *Route) Protocol() flow.Protocol { return r.protocol }

// Source returns the prefix that the address of a client must have. It is invalid if
// all clients match.
func (r *Route) Source() netip.Prefix { return r.source }

// Pool returns the pool that serves the route.
func (r *Route) Pool() *Pool { return r.pool }

// Repeatable reports whether a flow may be placed on a second target after a failure.
// Flows of other routes reach at most one target.
func (r *Route) Repeatable() bool { return r.repeatable }

// HashesUnknownFlows reports whether packets of an ongoing flow that no VM has a record of
// are sent to the target that the flow hash selects. Otherwise they are dropped.
func (r *Route) HashesUnknownFlows() bool { return r.hashesUnknownFlows }

// IdleTimeout returns the time without packets after which a flow ends.
func (r *Route) IdleTimeout() clock.Millis { return r.idleTimeout }
