// Package result defines the numbered result codes of almondflow. Every decision about a
// packet, every rejected tables or settings file and every failed command is reported as
// one of them. docs/ERRORS.md lists the codes, and a test compares it with this package.
package result

import "fmt"

// Code is a numbered result. The number of a code never changes.
type Code uint16

// Codes of forwarding decisions (100 to 199).
const (
	// Forwarded means that the packet was sent to its flow's target.
	Forwarded Code = 100
	// Steered means that the packet was passed to another entry VM that holds its flow.
	Steered Code = 101
	// Placed means that a target was chosen for a new flow.
	Placed Code = 102
	// Replied means that a target's packet was translated back to the client.
	Replied Code = 103
	// CopyStored means that a record or a report of decided flows from another entry VM was
	// handled.
	CopyStored Code = 104
	// TookOver means that a holder started to serve a flow as its owner, usually because the
	// previous owner is gone.
	TookOver Code = 105
	// Asked means that other entry VMs were asked for a missing record or for their votes on
	// a target, or that such a request or its response was handled.
	Asked Code = 106
	// Replaced means that a flow was placed again because its target refused it before
	// processing any of it, or that the target's refusal was withheld for this purpose.
	Replaced Code = 107

	// DroppedNoRoute means that no route matches the destination.
	DroppedNoRoute Code = 120
	// DroppedMalformed means that the packet could not be decoded.
	DroppedMalformed Code = 121
	// DroppedUnknownFlow means that no record exists for a packet from the middle of a
	// flow.
	DroppedUnknownFlow Code = 122
	// DroppedNoTarget means that the pool has no usable target, and that the flow was not
	// refused because another entry VM may have placed it.
	DroppedNoTarget Code = 123
	// DroppedTableFull means that the flow table has no room for a new flow.
	DroppedTableFull Code = 124
	// DroppedBadTag means that a steered packet failed authentication.
	DroppedBadTag Code = 125
	// DroppedHops means that a packet was steered too many times.
	DroppedHops Code = 126
	// DroppedUndetermined means that a flow, usually a non-repeatable one, could be neither
	// placed nor refused with certainty. The client's retransmission resolves it.
	DroppedUndetermined Code = 127
	// DroppedUnsupported means that the packet has an unsupported protocol, fragment or
	// option.
	DroppedUnsupported Code = 128
	// DroppedOversize means that the packet with its encapsulation exceeds the fabric's
	// MTU.
	DroppedOversize Code = 129
	// DroppedUnknownPeer means that a packet was meant for an entry VM that is not in the
	// member list.
	DroppedUnknownPeer Code = 130
	// DroppedNotSent means that the operating system refused to send a datagram.
	DroppedNotSent Code = 131
	// RefusedFull means that the flow was refused without reaching a target, because the
	// pool is full.
	RefusedFull Code = 140
	// RefusedNoTarget means that the flow was refused without reaching a target, because
	// there is none for it.
	RefusedNoTarget Code = 141
)

// Codes of commands and the daemon (1 to 99). They are also process exit codes.
const (
	// OK means success.
	OK Code = 0
	// Internal means that almondflow itself has a defect.
	Internal Code = 1
	// Usage means that the command-line arguments are wrong.
	Usage Code = 2
	// SettingsInvalid means that a settings file failed validation.
	SettingsInvalid Code = 10
	// TablesInvalid means that routing tables failed validation.
	TablesInvalid Code = 11
	// ListInvalid means that a member list failed validation.
	ListInvalid Code = 12
	// FileUnreadable means that a file is missing or cannot be read.
	FileUnreadable Code = 13
	// PortInUse means that a socket could not be bound.
	PortInUse Code = 14
	// KeyInvalid means that a key or certificate is missing or unusable.
	KeyInvalid Code = 15
	// PlatformUnreachable means that the platform's service did not return a usable
	// answer.
	PlatformUnreachable Code = 16
	// DaemonUnreachable means that the operator endpoint of a daemon did not answer.
	DaemonUnreachable Code = 17
	// PromiseBroken means that a demo observed a violation of one of the product's
	// guarantees.
	PromiseBroken Code = 18
	// NotFound means that the requested object does not exist.
	NotFound Code = 19
)

// Entry describes a result code.
type Entry struct {
	code    Code
	name    string
	meaning string
}

// Code returns the numbered code.
func (e Entry) Code() Code { return e.code }

// Name returns the snake-case name used in logs and metrics.
func (e Entry) Name() string { return e.name }

// Meaning returns a one-sentence description for operators, as listed in docs/ERRORS.md.
func (e Entry) Meaning() string { return e.meaning }

var entries = []Entry{
	{OK, "ok", "The command succeeded."},
	{Internal, "internal", "A defect of almondflow itself; report it with the log."},
	{Usage, "usage", "The command-line arguments are wrong."},
	{SettingsInvalid, "settings_invalid", "The settings file fails its checks."},
	{TablesInvalid, "tables_invalid", "The routes or pools fail their checks; nothing of them is in force."},
	{ListInvalid, "list_invalid", "The list of entry VMs fails its checks; nothing of it is in force."},
	{FileUnreadable, "file_unreadable", "A file is missing or cannot be read."},
	{PortInUse, "port_in_use", "A socket could not be bound."},
	{KeyInvalid, "key_invalid", "A key or certificate is missing or unusable."},
	{PlatformUnreachable, "platform_unreachable", "The platform's service gave no usable answer."},
	{DaemonUnreachable, "daemon_unreachable", "The operator endpoint of a daemon did not answer."},
	{PromiseBroken, "promise_broken", "A demo saw a promise of the product broken."},
	{NotFound, "not_found", "What was asked for does not exist."},
	{Forwarded, "forwarded", "The packet was sent to its flow's target."},
	{Steered, "steered", "The packet was passed to another entry VM that holds its flow."},
	{Placed, "placed", "A new flow got a target."},
	{Replied, "replied", "A target's packet was translated back to the client."},
	{CopyStored, "copy_stored", "A record carried by a packet was stored."},
	{TookOver, "took_over", "A holder began to serve a flow whose owner is gone."},
	{Asked, "asked", "A missing record was asked of the other holders."},
	{Replaced, "replaced", "A flow whose target refused it untouched was placed again."},
	{DroppedNoRoute, "dropped_no_route", "No route matches the destination."},
	{DroppedMalformed, "dropped_malformed", "The packet could not be decoded."},
	{DroppedUnknownFlow, "dropped_unknown_flow", "A packet in mid-flow has no record anywhere."},
	{DroppedNoTarget, "dropped_no_target", "The pool has no target that may be used."},
	{DroppedTableFull, "dropped_table_full", "The flow table has no room for a new flow."},
	{DroppedBadTag, "dropped_bad_tag", "A steered packet failed authentication."},
	{DroppedHops, "dropped_hops", "A packet was steered too often."},
	{DroppedUndetermined, "dropped_undetermined", "A flow that may not be repeated could be neither placed nor refused with certainty."},
	{DroppedUnsupported, "dropped_unsupported", "A protocol, fragment or option that is not carried."},
	{DroppedOversize, "dropped_oversize", "A packet with its encapsulation exceeds the fabric's MTU."},
	{DroppedUnknownPeer, "dropped_unknown_peer", "The list names no such entry VM."},
	{DroppedNotSent, "dropped_not_sent", "The operating system refused to send a datagram."},
	{RefusedFull, "refused_full", "The flow was refused, not run, because the pool is full."},
	{RefusedNoTarget, "refused_no_target", "The flow was refused, not run, for want of a target."},
}

// All returns the entries of all codes: those of commands and the daemon, then those of
// forwarding decisions, each in ascending order.
func All() []Entry {
	return append([]Entry(nil), entries...)
}

// String returns the snake-case name of the code, or "code_" and the number if the code is
// not defined.
func (c Code) String() string {
	for _, e := range entries {
		if e.code == c {
			return e.name
		}
	}
	return fmt.Sprintf("code_%d", uint16(c))
}
