package table

import (
	"github.com/almondflow/almondflow/flow"
)

// State is the lifecycle state that operators assign to a host.
type State uint8

// States of a host.
const (
	// Serving hosts take new flows.
	Serving State = iota + 1
	// Joining hosts take new flows at an increasing rate.
	Joining
	// Leaving hosts keep their existing flows and take no new ones.
	Leaving
)

// String returns the name of the state in the tables.
func (s State) String() string {
	switch s {
	case Serving:
		return "serving"
	case Joining:
		return "joining"
	case Leaving:
		return "leaving"
	default:
		return "unknown"
	}
}

// Host holds the address, state and limits of one target of a pool.
type Host struct {
	id          flow.TargetID
	name        string
	domain      string
	endpoint    flow.Endpoint
	protocol    flow.Protocol
	state       State
	generation  uint32
	weight      uint32
	maxRequests uint32
	maxFlows    uint32
}

// ID returns the identity by which flow records refer to the host.
func (h *Host) ID() flow.TargetID { return h.id }

// Name returns the name, unique within the pool.
func (h *Host) Name() string { return h.name }

// Domain returns the name of the failure domain.
func (h *Host) Domain() string { return h.domain }

// Endpoint returns the address and port.
func (h *Host) Endpoint() flow.Endpoint { return h.endpoint }

// Protocol returns the protocol of the pool, zero if no route uses the pool.
func (h *Host) Protocol() flow.Protocol { return h.protocol }

// State returns the state that operators assigned to the host.
func (h *Host) State() State { return h.state }

// Generation returns the generation of the host, which operators increase when they reuse
// its name for another machine.
func (h *Host) Generation() uint32 { return h.generation }

// Weight returns the weight of the host relative to others, at least 1.
func (h *Host) Weight() uint32 { return h.weight }

// MaxRequests returns the maximum number of requests that the host handles concurrently.
// Zero means no limit.
func (h *Host) MaxRequests() uint32 { return h.maxRequests }

// MaxFlows returns the maximum number of open flows of the host. Zero means no limit.
func (h *Host) MaxFlows() uint32 { return h.maxFlows }

// Target returns the identity and endpoint of the host as flow records store them.
func (h *Host) Target() flow.Target { return flow.NewTarget(h.id, h.endpoint) }
