package member

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
)

// EventKind is the type of an Event.
type EventKind uint8

// Kinds of events.
const (
	// StatusChanged reports that the status of a member changed.
	StatusChanged EventKind = iota + 1
	// Refuted reports that this daemon refuted a suspicion of itself.
	Refuted
	// PullRequested asks the daemon to pull a version of a document from a peer.
	PullRequested
	// VersionInUse reports that this daemon uses a higher version of a document than before.
	VersionInUse
	// Paused reports that the process was paused, so that earlier answers may be stale.
	Paused
	// Resumed reports that a peer answered after a pause, or that the wait for an answer
	// ended.
	Resumed
	// Established reports that other members may count this process from now on.
	Established
	// ListSettled reports that no daemon votes any more under a version of the list below
	// Version.
	ListSettled
)

var eventNames = [...]string{
	StatusChanged: "status_changed",
	Refuted:       "refuted",
	PullRequested: "pull_wanted",
	VersionInUse:  "version_in_force",
	Paused:        "paused",
	Resumed:       "resumed",
	Established:   "established",
	ListSettled:   "list_settled",
}

// String returns the name used in the audit trail.
func (k EventKind) String() string {
	if int(k) < len(eventNames) && k > 0 {
		return eventNames[k]
	}
	return "unknown"
}

// Event is a change to record in the audit trail, or a request to the daemon.
type Event struct {
	At   clock.Millis
	Kind EventKind
	// Member is the member whose status changed, or the peer to pull from.
	Member fleet.ID
	// Before and After are the statuses of a StatusChanged event.
	Before, After Status
	// Name and Version identify the document of a PullRequested, VersionInUse or ListSettled
	// event. The Version of an Established event is that of the current list.
	Name    string
	Version uint64
	// Incarnation is the member's incarnation in a StatusChanged event, and the daemon's own
	// one in a Refuted event.
	Incarnation uint64
}

// Sink receives the messages and events of a Machine. Its methods run on the goroutine
// that calls the Machine and must not call the Machine themselves.
type Sink interface {
	// Send passes a message to the transport, which may lose it.
	Send(to fleet.ID, m *Message)
	// Event reports a change or requests a pull.
	Event(e Event)
}
