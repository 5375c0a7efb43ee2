package member

import (
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
)

// ListName is the name under which the published list appears in digests and pulls.
const ListName = "list"

// Bounds on what one message carries.
const (
	// MaximumUpdates is the number of piggybacked updates of a message.
	MaximumUpdates = 6
	// MaximumCountsBytes is the size of the load counts that ride on a message.
	MaximumCountsBytes = 512
	// MaximumVersions is the number of versions in a digest.
	MaximumVersions = 32
	// MaximumPredecessor is the number of members of an older list.
	MaximumPredecessor = 96
)

// Sizes from which the bytes of a message on the wire are estimated.
const (
	messageOverheadBytes = 96
	versionBytes         = 12
	updateBytes          = 22
	memberBytes          = 8
)

// Kind says what a message is for.
type Kind uint8

// Kinds of messages. The numbers are those of the wire.
const (
	// Probe asks for an Answer with the same sequence number.
	Probe Kind = iota + 1
	// Answer answers a Probe.
	Answer
	// ProbeRequest asks the receiver to probe the subject in the sender's place.
	ProbeRequest
	// ProbeReport tells the sender of a ProbeRequest that the subject answered.
	ProbeReport
	// Notice carries updates only, for example that the sender leaves.
	Notice
)

// Status is what a daemon believes of another.
type Status uint8

// Statuses in the order in which they override each other at equal incarnations.
const (
	// Alive members answer probes, or were not probed yet.
	Alive Status = iota + 1
	// Suspected members did not answer and may still refute it.
	Suspected
	// Unreachable members did not refute a suspicion in time.
	Unreachable
	// Left members said that they go.
	Left
)

// String returns the name used in the audit trail.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspected:
		return "suspected"
	case Unreachable:
		return "unreachable"
	case Left:
		return "left"
	default:
		return "unknown"
	}
}

// Update is one piggybacked statement about a member.
type Update struct {
	ID          fleet.ID
	Status      Status
	Incarnation uint64
}

// Version is the version of one named document that a daemon has in force.
type Version struct {
	Name   string
	Number uint64
	// Confirmed tells whether the platform was ever known to hold nothing newer, and
	// ConfirmedAge how long ago that was last the case.
	Confirmed    bool
	ConfirmedAge clock.Millis
}

// Predecessor names the members of an older version of the list.
type Predecessor struct {
	Version uint64
	Members []fleet.ID // sorted, without those marked lost
}

func (p *Predecessor) names(id fleet.ID) bool {
	_, found := slices.BinarySearch(p.Members, id)
	return found
}

// Message is what daemons exchange. Every message carries the sender's versions and
// what its peers need for their leases.
type Message struct {
	Kind     Kind
	Sequence uint64
	// Subject is the member that a ProbeRequest or ProbeReport is about.
	Subject fleet.ID
	// Incarnation is the sender's own, which rises when it refutes a suspicion.
	Incarnation uint64
	// Run is the incarnation with which the sender's process started.
	Run uint64
	// Age is the time since the sender's process started, in milliseconds.
	Age clock.Millis
	// List is the version of the list that the sender is on, 0 before the first.
	List uint64
	// Anchor is the first settled version on which the sender heard half of the members
	// on no newer list. It is 0 before that.
	Anchor uint64
	// Visited has bit i set when the sender was on version List-1-i, as far back as
	// Settled.
	Visited uint64
	// Settled is the highest version of which the sender knows that no daemon votes
	// under any lower one, now or later.
	Settled uint64
	// Established tells whether the sender's statements about its list may be counted.
	Established bool
	Versions    []Version
	Updates     []Update
	// Wanted is an older version of the list whose members the sender of a Probe does not
	// know, 0 for none. An Answer names them in Predecessor if it can.
	Wanted      uint64
	Predecessor Predecessor
	// Counts are load counts that only the placement policy can read.
	Counts []byte
}

// Size estimates the bytes of the message on the wire with all framing.
func (m *Message) Size() int {
	size := messageOverheadBytes + len(m.Updates)*updateBytes + len(m.Counts) + len(m.Predecessor.Members)*memberBytes
	for i := range m.Versions {
		size += versionBytes + len(m.Versions[i].Name)
	}
	return size
}
