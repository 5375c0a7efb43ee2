// Package core decides what happens to packets. It is a deterministic state machine:
// calls bring a point in time and an event, and what is to be done goes to a Sink. It
// touches no socket, clock or goroutine, so that a daemon, a fuzzer, a benchmark or an
// embedding program drive the same code.
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

// Sink takes what a Node sends. Implementations must be done with the packet and the
// message when they return. They are called with a shard locked and must not call back.
type Sink interface {
	// Fabric sends an inner packet to the fabric, which delivers it to its destination.
	Fabric(inner []byte)
	// Peer sends a message to another entry VM, with the inner packet or without one.
	Peer(to fleet.ID, m *steer.Message, inner []byte)
}

// Placer chooses targets and counts what they carry. It is shared by all shards and must
// be safe for concurrent use.
type Placer interface {
	// Place chooses a target for a new flow and counts the flow as open. excluded is a
	// target that refused the flow, or zero. The code is result.Placed, or says why there
	// is no target.
	Place(now clock.Millis, route *table.Route, hash uint64, excluded flow.TargetID) (flow.Target, result.Code)
	// Opened counts a flow that another entry VM placed and this one now owns.
	Opened(id flow.TargetID)
	// Closed ends the count of a flow.
	Closed(id flow.TargetID)
	// Observe reports what a flow shows of its target's health.
	Observe(now clock.Millis, id flow.TargetID, evidence placement.Evidence)
}

// Budget says whether a message of a kind that carries no packet, and is control traffic
// therefore, may be sent now. The size is in bytes on the wire.
type Budget func(now clock.Millis, kind steer.Kind, bytes int) bool
