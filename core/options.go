package core

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
)

// Options configures a Node.
type Options struct {
	// Self identifies the entry VM that the Node runs on.
	Self fleet.ID
	// Incarnation identifies this run of the process.
	Incarnation uint64
	// Seed is the seed of flow hashes. It must be the same on all VMs of the fleet.
	Seed uint64
	// Shards is the number of independently locked parts of the flow table. Zero selects
	// the default of 16.
	Shards int
	// MaxFlows is the maximum number of flows in the flow table. Zero selects the default
	// of 1,000,000.
	MaxFlows int
	// StartTime is the start time of the process.
	StartTime clock.Millis
	// OpeningLifetime is the maximum time that an opening packet, or a retransmission of
	// it, can be in transit. A VM that started more recently than this does not vote on
	// the targets of non-repeatable flows. Zero selects the default of 120 s.
	OpeningLifetime clock.Millis
	// MaxTickGap is the longest time between two calls of Tick. After a longer one, the
	// process counts as paused. Zero selects the default of 1 s.
	MaxTickGap clock.Millis
	// Copies is the number of holders, besides the owner, that receive a copy of each
	// record: 1 or 2. Zero selects the default of 2; set NoCopies to send none.
	Copies int
	// NoCopies disables copies, for comparison.
	NoCopies bool
	// Placer chooses the targets of new flows. It is required.
	Placer Placer
	// RateLimiter limits the messages without a packet, such as repairs. Nil means no limit.
	RateLimiter RateLimiter
	// Defect enables a deliberate defect, for mutation tests.
	Defect Defect
}
