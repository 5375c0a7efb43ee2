package core

// Breakage selects a deliberate defect of a Node. Mutation tests use it to verify that the
// other tests detect the defect.
type Breakage uint8

// Values of Breakage.
const (
	// Unbroken disables all defects.
	Unbroken Breakage = iota
	// BreakCopies stops sending copies of flow records.
	BreakCopies
	// BreakQuarantine lets a restarted VM vote immediately.
	BreakQuarantine
	// BreakMajority lets a single holder out of three decide.
	BreakMajority
	// BreakUnknownFlow answers packets of unknown flows with a reset.
	BreakUnknownFlow
	// BreakVersions accepts tables with an older version than the current ones.
	BreakVersions
	// BreakRetry places a flow again even after payload was sent.
	BreakRetry
	// BreakLease votes without a valid lease.
	BreakLease
)
