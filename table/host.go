package table

import (
	"github.com/almondflow/almondflow/flow"
)

// Mark is what operators say of a host.
type Mark uint8

// Marks of a host.
const (
	// Serving hosts take new flows.
	Serving Mark = iota + 1
	// Joining hosts take new flows at a growing rate.
	Joining
	// Leaving hosts keep the flows they have and take no new ones.
	Leaving
)

// String returns the name used in the tables.
func (m Mark) String() string {
	switch m {
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

// Host is one target of a pool.
type Host struct {
	id          flow.TargetID
	name        string
	domain      string
	endpoint    flow.Endpoint
	protocol    flow.Protocol
	mark        Mark
	generation  uint32
	weight      uint32
	slots       uint32
	connections uint32
}

// ID returns the identity that records carry.
func (h *Host) ID() flow.TargetID { return h.id }

// Name returns the name, unique within the pool.
func (h *Host) Name() string { return h.name }

// Domain returns the failure domain.
func (h *Host) Domain() string { return h.domain }

// Endpoint returns the address and port.
func (h *Host) Endpoint() flow.Endpoint { return h.endpoint }

// Protocol returns the protocol the host is reached by.
func (h *Host) Protocol() flow.Protocol { return h.protocol }

// Mark returns the operators' mark.
func (h *Host) Mark() Mark { return h.mark }

// Generation returns the number of the run of this host, raised when its name is reused.
func (h *Host) Generation() uint32 { return h.generation }

// Weight returns the relative share of flows, at least 1.
func (h *Host) Weight() uint32 { return h.weight }

// Slots returns the requests the host works on at once. Zero means no limit.
func (h *Host) Slots() uint32 { return h.slots }

// Connections returns the flows the host may have open. Zero means no limit.
func (h *Host) Connections() uint32 { return h.connections }

// Target returns what records say of the host.
func (h *Host) Target() flow.Target { return flow.NewTarget(h.id, h.endpoint) }
