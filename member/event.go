package member

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
)

// EventKind says what an Event reports.
type EventKind uint8

// Kinds of events.
const (
	// StatusChanged means that the belief about a member changed.
	StatusChanged EventKind = iota + 1
	// Refuted means that this daemon refuted a suspicion against itself.
	Refuted
	// PullWanted asks the daemon to pull a version from a peer.
	PullWanted
	// VersionInForce means that a document of a higher version was put in force here.
	VersionInForce
	// Paused means that the clock jumped, so that nothing heard before is trusted.
	Paused
	// Resumed means that peers were heard again after a pause.
	Resumed
	// Established means that the statements of this process count from now on.
	Established
	// ListSettled means that no daemon votes under a list lower than Version.
	ListSettled
)

var eventNames = [...]string{
	StatusChanged:  "status_changed",
	Refuted:        "refuted",
	PullWanted:     "pull_wanted",
	VersionInForce: "version_in_force",
	Paused:         "paused",
	Resumed:        "resumed",
	Established:    "established",
	ListSettled:    "list_settled",
}

// String returns the name used in the audit trail.
func (k EventKind) String() string {
	if int(k) < len(eventNames) && k > 0 {
		return eventNames[k]
	}
	return "unknown"
}

// Event is a change for the audit trail or a request to the daemon.
type Event struct {
	At   clock.Millis
	Kind EventKind
	// Member is the member whose status changed, or the peer to pull from.
	Member fleet.ID
	// Before and After are the statuses of a StatusChanged event.
	Before, After Status
	// Name and Version are the document of a PullWanted, VersionInForce or
	// ListSettled event.
	Name        string
	Version     uint64
	Incarnation uint64
}

// Sink takes what a Machine puts out. Calls are made on the goroutine that drives the
// machine, which may not be entered again before they return.
type Sink interface {
	// Send hands a message to the transport, which may lose it.
	Send(to fleet.ID, m *Message)
	// Event reports a change or asks for a pull.
	Event(e Event)
}
