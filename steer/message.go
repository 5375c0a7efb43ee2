// Package steer defines the messages that entry VMs send each other about flows. A
// message is carried in options of the Geneve datagram that forwards a packet, so that
// steering, replication and votes need no separate control traffic.
package steer

import (
	"encoding/binary"
	"fmt"

	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
)

// Kind is the type of a message and determines how its receiver handles it.
type Kind uint8

// Kinds of messages.
const (
	// Steer forwards a packet to the owner of its flow.
	Steer Kind = iota + 1
	// Copy replicates a record to a holder, which stores it and forwards the packet.
	Copy
	// Lookup looks up the flow of a packet: it is forwarded to the VMs of Candidates in order
	// until one of them has a record of the flow.
	Lookup
	// Found returns a packet with the record of its flow to the VM that started the lookup.
	Found
	// NotFound returns a packet to the VM that started the lookup when no VM of Candidates
	// has a record of the flow.
	NotFound
	// Repair carries a record without a packet.
	Repair
	// Prepare asks a holder to promise a ballot and to report what it has accepted.
	Prepare
	// Promise answers Prepare and reports what the holder has accepted.
	Promise
	// Accept asks a holder to accept a target in a ballot and to forward the packet.
	Accept
	// Reject answers Prepare or Accept when the holder cannot vote for the ballot.
	Reject
	// DecidedFlows lists decided flows when there is no other message that could carry them.
	DecidedFlows
)

// String returns the name of the kind in logs and traces.
func (k Kind) String() string {
	names := [...]string{"none", "steer", "copy", "ask", "found", "not_found", "repair", "prepare", "promise", "accept", "reject", "settled"}
	if int(k) < len(names) {
		return names[k]
	}
	return fmt.Sprintf("kind_%d", uint8(k))
}

// Ballot orders the proposals for the target of one flow. The zero ballot belongs to the
// first-ranked holder, which may propose without a prepare phase.
type Ballot struct {
	// ListVersion is the version of the member list that the proposer uses.
	ListVersion uint64
	// Round numbers the attempts with one version of the list.
	Round uint16
	// VM is the proposer. It orders ballots of equal list and round.
	VM fleet.ID
}

// Compare returns -1 if b is lower than other, 0 if they are equal and 1 if b is higher.
// It compares the list version first, then the round, then the VM.
func (b Ballot) Compare(other Ballot) int {
	switch {
	case b.ListVersion != other.ListVersion:
		return compareUint(b.ListVersion, other.ListVersion)
	case b.Round != other.Round:
		return compareUint(uint64(b.Round), uint64(other.Round))
	default:
		return compareUint(uint64(b.VM), uint64(other.VM))
	}
}

// IsZero reports whether b is the zero ballot, which needs no prepare phase.
func (b Ballot) IsZero() bool { return b == Ballot{} }

func compareUint(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// Limits of the lists in a message.
const (
	// MaxCandidates is the maximum number of VMs in Candidates.
	MaxCandidates = 6
	// MaxDecidedFlows is the maximum number of hashes in DecidedFlows.
	MaxDecidedFlows = 4
)

// Message is a message from one entry VM to another about one flow.
type Message struct {
	// Kind is the type of the message.
	Kind Kind
	// Hops is the number of times that the packet was forwarded between entry VMs.
	Hops uint8
	// From is the VM that sends the message.
	From fleet.ID
	// Incarnation identifies the run of the sender's process.
	Incarnation uint64
	// ListVersion is the version of the member list that the sender uses.
	ListVersion uint64
	// TableVersion is the version of the tables from which Target was chosen.
	TableVersion uint64
	// Key identifies the flow in a message without a packet.
	Key flow.Key
	// Target is the target that is recorded for the flow, or zero if the message carries
	// no record.
	Target flow.Target
	// Decided reports whether Target is decided and can no longer change.
	Decided bool
	// Ballot is the ballot that is proposed, promised or rejected.
	Ballot Ballot
	// AcceptedBallot is the ballot in which Target was accepted.
	AcceptedBallot Ballot
	// Origin is the VM that started a lookup and receives its result.
	Origin fleet.ID
	// Candidates lists the VMs that a lookup has not visited yet, in order.
	Candidates [MaxCandidates]fleet.ID
	// CandidateCount is the number of VMs in Candidates.
	CandidateCount uint8
	// DecidedFlows lists the hashes of flows whose targets are decided, as far as the sender
	// knows.
	DecidedFlows [MaxDecidedFlows]uint64
	// DecidedFlowCount is the number of hashes in DecidedFlows.
	DecidedFlowCount uint8
}

// formatVersion is the first byte of an encoded message. The kind follows it.
const formatVersion = 1

// Bits of the flags byte. All but flagDecided mark fields that are present.
const (
	flagDecided = 1 << iota
	flagTarget
	flagKey
	flagBallot
	flagOrigin
)

// MaxSize is the maximum length of an encoded message in bytes.
const MaxSize = 224

// Append appends the encoded message to b and returns the extended slice. Optional fields
// that are zero are left out.
func (m *Message) Append(b []byte) []byte {
	flags := m.flags()
	b = append(b, formatVersion, byte(m.Kind), m.Hops, flags)
	b = binary.BigEndian.AppendUint64(b, uint64(m.From))
	b = binary.BigEndian.AppendUint64(b, m.Incarnation)
	b = binary.BigEndian.AppendUint64(b, m.ListVersion)
	if flags&flagTarget != 0 {
		b = binary.BigEndian.AppendUint64(b, m.TableVersion)
		b = m.Target.Append(b)
	}
	if flags&flagKey != 0 {
		b = m.Key.Append(b)
	}
	if flags&flagBallot != 0 {
		b = appendBallot(b, m.Ballot)
		b = appendBallot(b, m.AcceptedBallot)
	}
	if flags&flagOrigin != 0 {
		b = binary.BigEndian.AppendUint64(b, uint64(m.Origin))
	}
	b = append(b, m.CandidateCount<<4|m.DecidedFlowCount)
	for _, id := range m.Candidates[:m.CandidateCount] {
		b = binary.BigEndian.AppendUint64(b, uint64(id))
	}
	for _, hash := range m.DecidedFlows[:m.DecidedFlowCount] {
		b = binary.BigEndian.AppendUint64(b, hash)
	}
	return b
}

func (m *Message) flags() byte {
	var flags byte
	set := func(bit byte, on bool) {
		if on {
			flags |= bit
		}
	}
	set(flagDecided, m.Decided)
	set(flagTarget, !m.Target.IsZero())
	set(flagKey, m.Key != flow.Key{})
	set(flagBallot, !m.Ballot.IsZero() || !m.AcceptedBallot.IsZero())
	set(flagOrigin, m.Origin != 0)
	return flags
}

func appendBallot(b []byte, ballot Ballot) []byte {
	b = binary.BigEndian.AppendUint64(b, ballot.ListVersion)
	b = binary.BigEndian.AppendUint16(b, ballot.Round)
	return binary.BigEndian.AppendUint64(b, uint64(ballot.VM))
}

// DecodeError describes why a message could not be decoded.
type DecodeError struct {
	reason string
}

// Error returns the reason.
func (e *DecodeError) Error() string { return "steer message: " + e.reason }

var (
	errTruncated  = &DecodeError{"truncated"}
	errVersion    = &DecodeError{"unknown format version"}
	errKind       = &DecodeError{"unknown kind"}
	errListLength = &DecodeError{"too many list entries"}
)

// Decode decodes a message that Append encoded. Errors are of type *DecodeError.
func (m *Message) Decode(b []byte) error {
	*m = Message{}
	r := reader{b: b}
	if r.byte() != formatVersion {
		return errVersion
	}
	m.Kind = Kind(r.byte())
	if m.Kind < Steer || m.Kind > DecidedFlows {
		return errKind
	}
	m.Hops = r.byte()
	flags := r.byte()
	m.From = fleet.ID(r.uint64())
	m.Incarnation = r.uint64()
	m.ListVersion = r.uint64()
	m.decodeFields(&r, flags)
	lengths := r.byte()
	m.CandidateCount, m.DecidedFlowCount = lengths>>4, lengths&0xf
	if m.CandidateCount > MaxCandidates || m.DecidedFlowCount > MaxDecidedFlows {
		return errListLength
	}
	for i := range m.CandidateCount {
		m.Candidates[i] = fleet.ID(r.uint64())
	}
	for i := range m.DecidedFlowCount {
		m.DecidedFlows[i] = r.uint64()
	}
	if r.isTruncated {
		return errTruncated
	}
	return nil
}

func (m *Message) decodeFields(r *reader, flags byte) {
	m.Decided = flags&flagDecided != 0
	if flags&flagTarget != 0 {
		m.TableVersion = r.uint64()
		m.Target, _ = flow.DecodeTarget(r.next(flow.TargetSize))
	}
	if flags&flagKey != 0 {
		m.Key, _ = flow.DecodeKey(r.next(flow.KeySize))
	}
	if flags&flagBallot != 0 {
		m.Ballot = r.ballot()
		m.AcceptedBallot = r.ballot()
	}
	if flags&flagOrigin != 0 {
		m.Origin = fleet.ID(r.uint64())
	}
}

// reader reads fields from a buffer. Past the end it reads zeros and sets isTruncated, so
// that callers check for truncation only once.
type reader struct {
	b           []byte
	isTruncated bool
}

// zeros is returned for reads past the end of a buffer.
var zeros [flow.KeySize]byte

// next returns the next n bytes.
func (r *reader) next(n int) []byte {
	if len(r.b) < n {
		r.isTruncated = true
		return zeros[:n]
	}
	field := r.b[:n]
	r.b = r.b[n:]
	return field
}

func (r *reader) byte() byte { return r.next(1)[0] }

func (r *reader) uint64() uint64 { return binary.BigEndian.Uint64(r.next(8)) }

func (r *reader) ballot() Ballot {
	list := r.uint64()
	round := binary.BigEndian.Uint16(r.next(2))
	return Ballot{ListVersion: list, Round: round, VM: fleet.ID(r.uint64())}
}
