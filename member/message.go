package member

import (
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
)

// ListName is the name of the published list in digests and pulls.
const ListName = "list"

// Limits for the contents of one message.
const (
	// MaxUpdates is the largest number of updates in a message.
	MaxUpdates = 6
	// MaxTargetReportBytes is the largest size of the target reports, in bytes.
	MaxTargetReportBytes = 512
	// MaxVersions is the largest number of versions in a digest.
	MaxVersions = 32
	// MaxPredecessorMembers is the largest number of members of an older list.
	MaxPredecessorMembers = 96
)

// Sizes for estimating the bytes that a message takes on the wire.
const (
	messageOverheadBytes = 96
	versionBytes         = 12
	updateBytes          = 22
	memberBytes          = 8
)

// Kind is the type of a message.
type Kind uint8

// Kinds of messages. The numbers are used on the wire.
const (
	// Probe asks for an Answer with the same sequence number.
	Probe Kind = iota + 1
	// Answer replies to a Probe.
	Answer
	// ProbeRequest asks the receiver to probe the subject on behalf of the sender.
	ProbeRequest
	// ProbeReport informs the sender of a ProbeRequest that the subject answered.
	ProbeReport
	// Notice only carries updates, for example that the sender leaves.
	Notice
)

// Status is the state of a member as seen by a daemon.
type Status uint8

// Statuses, in ascending order of precedence at equal incarnations.
const (
	// Alive members answer probes or have not been probed yet.
	Alive Status = iota + 1
	// Suspected members did not answer, and may still refute the suspicion.
	Suspected
	// Unreachable members did not refute a suspicion in time.
	Unreachable
	// Left members announced that they leave.
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

// Update is a change of a member's status that a message carries in addition to its own
// contents.
type Update struct {
	ID          fleet.ID
	Status      Status
	Incarnation uint64
}

// Version is the version of a named document that a daemon uses.
type Version struct {
	Name   string
	Number uint64
	// Confirmed reports whether the platform was ever known to hold no newer version, and
	// ConfirmedAge is the time since that was last known.
	Confirmed    bool
	ConfirmedAge clock.Millis
}

// ListMembers holds the members of one version of the list, usually an older one.
type ListMembers struct {
	Version uint64
	Members []fleet.ID // sorted, without VMs marked lost
}

func (p *ListMembers) contains(id fleet.ID) bool {
	_, found := slices.BinarySearch(p.Members, id)
	return found
}

// Message is exchanged between daemons. Every message carries the sender's document
// versions and the state that receivers need for their voting leases.
type Message struct {
	Kind     Kind
	Sequence uint64
	// Subject is the member that a ProbeRequest or ProbeReport is about.
	Subject fleet.ID
	// Incarnation is the sender's current incarnation. The sender raises it to refute a
	// suspicion.
	Incarnation uint64
	// StartIncarnation is the incarnation with which the sender's process started.
	StartIncarnation uint64
	// ProcessAge is the time since the sender's process started, in milliseconds.
	ProcessAge clock.Millis
	// ListVersion is the version of the sender's current list, or 0 before it has one.
	ListVersion uint64
	// AnchorVersion is the first settled version at which half of the members reported to
	// the sender that they were on no newer list. It is 0 before that.
	AnchorVersion uint64
	// VisitedVersions has bit i set if the sender was on version ListVersion-1-i, as far
	// back as SettledVersion.
	VisitedVersions uint64
	// SettledVersion is the highest version for which the sender knows that no daemon votes
	// under a lower one, now or later.
	SettledVersion uint64
	// Established reports whether receivers may count what the sender reports about its
	// list.
	Established bool
	// Versions is the digest of the sender's current document versions.
	Versions []Version
	// Updates holds the status changes that the sender passes on.
	Updates []Update
	// WantedPredecessor is an older version of the list whose members the sender of a Probe
	// does not know, or 0. The Answer holds them in Predecessor if its sender knows them.
	WantedPredecessor uint64
	Predecessor       ListMembers
	// TargetReports holds encoded reports about targets, which this package does not interpret.
	TargetReports []byte
}

// Size estimates the bytes that the message takes on the wire, including all framing.
func (m *Message) Size() int {
	size := messageOverheadBytes + len(m.Updates)*updateBytes + len(m.TargetReports) + len(m.Predecessor.Members)*memberBytes
	for i := range m.Versions {
		size += versionBytes + len(m.Versions[i].Name)
	}
	return size
}
