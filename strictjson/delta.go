package strictjson

import (
	"errors"
	"fmt"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// ErrDigestMismatch means that the result of a delta does not have the digest that the delta
// states.
var ErrDigestMismatch = errors.New("result of the delta does not match its digest")

// BaseMismatchError means that a delta is based on another version than the current one. The
// full document is needed instead.
type BaseMismatchError struct {
	have uint64
	want uint64
}

// NewBaseMismatchError returns the error for a delta that is based on version want when the
// current version is have.
func NewBaseMismatchError(have, want uint64) *BaseMismatchError {
	return &BaseMismatchError{have: have, want: want}
}

// Error returns a message with both versions.
func (e *BaseMismatchError) Error() string {
	return fmt.Sprintf("delta is based on version %d, which does not match the current document of version %d", e.want, e.have)
}

// IsDelta reports whether a document is a delta rather than a full document.
func IsDelta(document []byte) bool {
	var message struct {
		BaseDigest *jsontext.Value `json:"base_digest"`
	}
	return json.Unmarshal(document, &message) == nil && message.BaseDigest != nil
}
