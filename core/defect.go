package core

// Defect selects a deliberate defect of a Node. Mutation tests use it to verify that the
// other tests detect the defect.
type Defect uint8

// Values of Defect.
const (
	// NoDefect disables all defects.
	NoDefect Defect = iota
	// DefectNoCopies stops sending copies of flow records.
	DefectNoCopies
	// DefectNoQuarantine lets a restarted VM vote immediately.
	DefectNoQuarantine
	// DefectNoMajority lets a single holder out of three decide.
	DefectNoMajority
	// DefectResetUnknownFlow answers packets of unknown flows with a reset.
	DefectResetUnknownFlow
	// DefectOldVersions accepts tables with an older version than the current ones.
	DefectOldVersions
	// DefectRetryAfterPayload places a flow again even after payload was sent.
	DefectRetryAfterPayload
	// DefectNoLease votes without a valid lease.
	DefectNoLease
)
