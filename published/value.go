// Package published reads and watches the values that operators publish with the
// platform's service: the tables and the member list of entry VMs. Poller and Store
// decide when to call the service and which versions to accept. They take the time and
// events as arguments and do no I/O; Client and Runner connect them to HTTP.
package published

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/strictjson"
)

// Names of the values that every daemon keeps up to date.
const (
	// Tables is the name of the routes and pools.
	Tables = "tables"
	// List is the name of the member list of entry VMs.
	List = "list"
	// Retired is the name of the hosts that were removed from the tables. Daemons send
	// them to each other only: they have no version of their own and are not published.
	Retired = "retired"
)

// MaxValueBytes is the size of the largest value that the platform's service stores.
const MaxValueBytes = 1 << 20

// Request is one call of the platform's service. It reads a value at once, or waits for
// a newer version of it (a long poll).
type Request struct {
	name     string
	endpoint int
	after    uint64
	wait     clock.Millis
}

// Name returns the name of the value.
func (r *Request) Name() string { return r.name }

// Endpoint returns the number of the endpoint to call, which increases with each failure.
// The caller takes it modulo the number of endpoints.
func (r *Request) Endpoint() int { return r.endpoint }

// After returns the version that a long poll must exceed.
func (r *Request) After() uint64 { return r.after }

// Wait returns how long a long poll may wait for a newer version, or zero for an
// immediate read.
func (r *Request) Wait() clock.Millis { return r.wait }

// Outcome is the kind of result that a call had.
type Outcome uint8

// Outcomes of a call.
const (
	// Fetched means that the response holds a value.
	Fetched Outcome = iota + 1
	// Unchanged means that a long poll ended without a newer version.
	Unchanged
	// Failed means that there is no usable response.
	Failed
)

// Response is the result of a Request.
type Response struct {
	outcome Outcome
	version uint64
	value   []byte
	reason  string
}

// NewResponse returns a response with a value.
func NewResponse(version uint64, value []byte) Response {
	return Response{outcome: Fetched, version: version, value: value}
}

// NewUnchanged returns the response to a long poll that ended without a newer version.
func NewUnchanged() Response { return Response{outcome: Unchanged} }

// NewFailure returns the response of a failed call. The reason is formatted as by
// fmt.Sprintf.
func NewFailure(format string, arguments ...any) Response {
	return Response{outcome: Failed, reason: fmt.Sprintf(format, arguments...)}
}

// Outcome returns the kind of result.
func (r *Response) Outcome() Outcome { return r.outcome }

// Version returns the version of the value.
func (r *Response) Version() uint64 { return r.version }

// Value returns the value as JSON.
func (r *Response) Value() []byte { return r.value }

// Reason returns why the call failed.
func (r *Response) Reason() string { return r.reason }

// Digest is the SHA-256 digest of a version of a value or of a part.
type Digest [32]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Part is one part of a split value, which is published in several parts and a head that
// lists them.
type Part = strictjson.Part

// Update is a new version of a value: a full document, a delta, or the parts of a split
// value.
type Update struct {
	name     string
	version  uint64
	document []byte
	split    *splitUpdate
}

// splitUpdate is a new version of a split value.
type splitUpdate struct {
	// base is the version to which removed and added apply, or 0.
	base    uint64
	removed []Part
	added   []Part
	// assembly holds all parts of the new version.
	assembly *assembly
}

// NewUpdate returns an update with a document, which may be a delta.
func NewUpdate(name string, version uint64, document []byte) Update {
	return Update{name: name, version: version, document: document}
}

// Name returns the name of the value.
func (u *Update) Name() string { return u.name }

// Version returns the new version.
func (u *Update) Version() uint64 { return u.version }

// Document returns the document, or nil for a split value.
func (u *Update) Document() []byte { return u.document }

// Parts returns all parts of a split value, or nil for a document. It returns an error if a
// part cannot be decompressed.
func (u *Update) Parts() ([]Part, error) {
	if u.split == nil {
		return nil, nil
	}
	return u.split.assembly.parts()
}

// Added returns the parts of a split value that the previous version does not have.
func (u *Update) Added() []Part {
	if u.split == nil {
		return nil
	}
	return u.split.added
}

// digest returns a digest of the content of the update.
func (u *Update) digest() Digest {
	if u.split != nil {
		return u.split.assembly.digest()
	}
	return sha256.Sum256(u.document)
}
