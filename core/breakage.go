package core

// Breakage is a deliberate defect that a test must find.
type Breakage uint8

// Breakages of a Node.
const (
	// Unbroken is the Node as it should be.
	Unbroken Breakage = iota
	// BreakCopies sends no copies.
	BreakCopies
	// BreakQuarantine lets a restarted VM vote at once.
	BreakQuarantine
	// BreakMajority lets one holder of three decide.
	BreakMajority
	// BreakUnknownFlow answers packets of unknown flows with a reset.
	BreakUnknownFlow
	// BreakVersions lets tables fall back to an older version.
	BreakVersions
	// BreakRetry places a flow again although payload was sent.
	BreakRetry
	// BreakLease votes without a lease.
	BreakLease
)
