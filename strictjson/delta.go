package strictjson

import (
	"encoding/json"
	"errors"
	"fmt"
)

// ErrDigest means that a delta does not lead to the version that it names.
var ErrDigest = errors.New("delta gives another document than its digest says")

// BaseError means that a delta starts from another version than the one at hand. The
// whole document helps.
type BaseError struct {
	have uint64
	want uint64
}

// NewBaseError returns the error for a delta that wants another version than we have.
func NewBaseError(have, want uint64) *BaseError { return &BaseError{have: have, want: want} }

// Error names both versions.
func (e *BaseError) Error() string {
	return fmt.Sprintf("delta starts from version %d, or another document of it, and version %d is at hand", e.want, e.have)
}

// IsDelta reports whether a document is a delta rather than a whole one.
func IsDelta(document []byte) bool {
	var probe struct {
		BaseDigest *json.RawMessage `json:"base_digest"`
	}
	return json.Unmarshal(document, &probe) == nil && probe.BaseDigest != nil
}
