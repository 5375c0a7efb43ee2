package inband

import (
	"hash/fnv"
	"net/netip"

	"github.com/almondflow/almondflow/clock"
)

// State is the lifecycle state that a target announces.
type State uint8

// States of a target. The first three are in the order of its lifecycle.
const (
	Serving State = iota // accepts new flows
	Leaving              // draining: accepts no new flows and finishes those it has
	Gone                 // no longer in the store
	// Unusable is a target whose entry names nothing to use, as one of another writer: it gets no new flows, but
	// may be running and keeps its flows.
	Unusable
)

// String returns the name of the state in logs and responses.
func (s State) String() string {
	switch s {
	case Serving:
		return "serving"
	case Leaving:
		return "leaving"
	case Unusable:
		return "unusable"
	default:
		return "gone"
	}
}

// Target is a host that serves flows, as published in the store. It is immutable. Other
// packages read its fields directly, as any combination of values is valid.
type Target struct {
	ID              string         `json:"id"`
	Identity        uint64         `json:"identity"` // number that prefixes datagrams to the target
	Service         string         `json:"service"`
	Address         netip.AddrPort `json:"address"`
	Domain          string         `json:"domain"`
	Version         string         `json:"version,omitempty"`
	Slots           int            `json:"slots"` // requests that it processes concurrently
	State           State          `json:"mark"`
	SlowStartLeftMS clock.Millis   `json:"cold_ms,omitempty"` // remaining slow start time when it was published
	StartedAtMS     int64          `json:"born"`              // start time in Unix milliseconds
	Revision        Revision       `json:"revision"`
	// Of a target that is Unusable or Gone: what it was before, and the entry that stands in its place without
	// being believed.
	WasLeaving bool    `json:"was_leaving,omitempty"`
	PassedOver *Target `json:"passed_over,omitempty"`
}

// TagOf returns the tag of a target, which is the same at every entry VM. A target that
// restarts under the same identity keeps its tag and answers packets of flows that it lost.
func TagOf(id string) Tag {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // hash writes never fail
	sum := h.Sum32()
	if sum == 0 {
		return 1
	}
	return Tag(sum)
}
