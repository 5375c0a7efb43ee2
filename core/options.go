package core

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
)

// Options are what a Node needs to know from its settings.
type Options struct {
	// Self is the entry VM that the Node runs on.
	Self fleet.ID
	// Incarnation is the number of this run of the process.
	Incarnation uint64
	// Seed is the seed of flow hashes, the same at every daemon of the fleet.
	Seed uint64
	// Shards is the number of independently locked parts of the flow table.
	Shards int
	// Flows is the largest number of flows held.
	Flows int
	// Started is when the process started.
	Started clock.Millis
	// OpeningLifetime is the longest span for which an opening packet, or a
	// retransmission of it, can be under way. A VM that started more recently takes no
	// part in decisions about flows that may not be repeated.
	OpeningLifetime clock.Millis
	// PauseGap is the span without a Tick that counts as a pause of the process.
	PauseGap clock.Millis
	// Copies is the number of holders that get a record besides the owner, 0 to 2.
	// The zero value of Options means all of them; see NoCopies.
	Copies int
	// NoCopies switches copies off, for comparison.
	NoCopies bool
	// Placer chooses targets.
	Placer Placer
	// Budget limits repair traffic. Nil means no limit.
	Budget Budget
	// Breakage weakens the Node on purpose, to prove that a test would notice.
	Breakage Breakage
}
