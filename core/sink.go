// Package core makes the forwarding decisions of an entry VM. It is a deterministic state
// machine: callers pass in the time and an event, and outgoing packets and messages go to
// a Sink. It uses no sockets, clocks or goroutines, so that daemons, fuzzers, benchmarks
// and embedding programs run the same code.
package core

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/placement"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
	"github.com/almondflow/almondflow/table"
)

// Sink sends the packets and messages of a Node. Implementations must not retain the
// packet or the message after they return. They are called with a shard locked and must
// not call the Node.
type Sink interface {
	// SendToFabric sends an inner packet to the fabric, which delivers it to its destination.
	SendToFabric(inner []byte)
	// SendToPeer sends a message to another entry VM. inner is the packet to send along, or
	// nil.
	SendToPeer(to fleet.ID, m *steer.Message, inner []byte)
}

// Placer chooses targets and counts their open flows. It is shared by all shards and must
// be safe for concurrent use.
type Placer interface {
	// Place chooses a target for a new flow and counts the flow as open. excluded is a
	// target that refused the flow, or zero. The code is result.Placed or the reason why
	// there is no target. hash is the hash of the flow's key.
	Place(now clock.Millis, route *table.Route, hash uint64, excluded flow.TargetID) (flow.Target, result.Code)
	// AddFlow counts a flow that another entry VM placed and this one now owns.
	AddFlow(id flow.TargetID)
	// RemoveFlow stops counting a flow that Place or AddFlow counted.
	RemoveFlow(id flow.TargetID)
	// Observe reports what a flow has shown about the health of its target.
	Observe(now clock.Millis, id flow.TargetID, evidence placement.Evidence)
}

// RateLimiter reports whether a control message, which is a message without a packet, may be
// sent now. bytes is the estimated size of the message on the wire.
type RateLimiter func(now clock.Millis, kind steer.Kind, bytes int) bool
