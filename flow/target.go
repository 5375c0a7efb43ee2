package flow

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// TargetID names one generation of one host of one pool, whatever its address.
// Records carry it, so that an address that another pool reuses is never mistaken
// for the target that a flow was placed on. Zero means no target.
type TargetID uint64

// NewTargetID derives the ID from the names that the tables give.
func NewTargetID(pool, host string, generation uint32) TargetID {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(pool)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(host)
	var g [5]byte
	binary.BigEndian.PutUint32(g[1:], generation)
	_, _ = d.Write(g[:])
	id := TargetID(d.Sum64())
	if id == 0 {
		return 1
	}
	return id
}

// Target is what a record says of the place a flow goes to. The endpoint travels with
// the ID because a holder may not have seen the table that the target stood in.
type Target struct {
	id       TargetID
	endpoint Endpoint
}

// NewTarget builds a Target.
func NewTarget(id TargetID, endpoint Endpoint) Target {
	return Target{id: id, endpoint: endpoint}
}

// ID returns the target's identity.
func (t Target) ID() TargetID { return t.id }

// Endpoint returns the address and port packets are sent to.
func (t Target) Endpoint() Endpoint { return t.endpoint }

// IsZero reports whether there is no target.
func (t Target) IsZero() bool { return t.id == 0 }

// TargetSize is the length of an encoded Target in bytes.
const TargetSize = 26

// Append appends the encoded target to b.
func (t Target) Append(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(t.id))
	b = append(b, t.endpoint.address[:]...)
	return binary.BigEndian.AppendUint16(b, t.endpoint.port)
}

// DecodeTarget reads a target that Append wrote. It reports false when b is too short.
func DecodeTarget(b []byte) (Target, bool) {
	if len(b) < TargetSize {
		return Target{}, false
	}
	t := Target{id: TargetID(binary.BigEndian.Uint64(b))}
	copy(t.endpoint.address[:], b[8:])
	t.endpoint.port = binary.BigEndian.Uint16(b[24:])
	return t, true
}
