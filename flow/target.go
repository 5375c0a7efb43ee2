package flow

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// TargetID identifies one generation of a host in a pool, independent of its address.
// Records contain it so that an address reused by another pool is not mistaken for the
// target that a flow was placed on. Zero means no target.
type TargetID uint64

// NewTargetID returns the ID of a target, derived from its names and generation in the
// tables. It is never zero.
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

// Target is the target of a flow. It includes the endpoint because a holder may not have
// received the tables that define the target.
type Target struct {
	id       TargetID
	endpoint Endpoint
}

// NewTarget returns the Target with an ID, to which packets are sent at an endpoint.
func NewTarget(id TargetID, endpoint Endpoint) Target {
	return Target{id: id, endpoint: endpoint}
}

// ID returns the ID of the target.
func (t Target) ID() TargetID { return t.id }

// Endpoint returns the address and port that packets are sent to.
func (t Target) Endpoint() Endpoint { return t.endpoint }

// IsZero reports whether there is no target.
func (t Target) IsZero() bool { return t.id == 0 }

// TargetSize is the encoded size of a Target in bytes.
const TargetSize = 26

// Append appends the encoded target, TargetSize bytes, to b.
func (t Target) Append(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(t.id))
	b = append(b, t.endpoint.address[:]...)
	return binary.BigEndian.AppendUint16(b, t.endpoint.port)
}

// DecodeTarget decodes a target encoded by Append. It reports false if b is too short.
func DecodeTarget(b []byte) (Target, bool) {
	if len(b) < TargetSize {
		return Target{}, false
	}
	t := Target{id: TargetID(binary.BigEndian.Uint64(b))}
	copy(t.endpoint.address[:], b[8:])
	t.endpoint.port = binary.BigEndian.Uint16(b[24:])
	return t, true
}
