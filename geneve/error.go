package geneve

import "github.com/almondflow/almondflow/result"

// Error describes why a datagram was dropped or a key was rejected.
type Error struct {
	code   result.Code
	reason string
}

// Code returns result.DroppedMalformed, result.DroppedUnsupported or result.DroppedBadTag
// for a datagram and result.KeyInvalid for a key.
func (e *Error) Code() result.Code { return e.code }

// Error returns the reason.
func (e *Error) Error() string { return "geneve: " + e.reason }

// The errors are allocated once, so that a flood of invalid datagrams causes no
// allocations.
var (
	errTruncated      = &Error{result.DroppedMalformed, "truncated"}
	errOptions        = &Error{result.DroppedMalformed, "invalid options"}
	errInner          = &Error{result.DroppedMalformed, "inner packet does not match the protocol type"}
	errMessage        = &Error{result.DroppedMalformed, "invalid message"}
	errVersion        = &Error{result.DroppedUnsupported, "unknown version"}
	errNetwork        = &Error{result.DroppedUnsupported, "unknown network identifier"}
	errProtocol       = &Error{result.DroppedUnsupported, "unknown protocol type"}
	errCritical       = &Error{result.DroppedUnsupported, "unknown critical option"}
	errControl        = &Error{result.DroppedUnsupported, "unknown control packet"}
	errTag            = &Error{result.DroppedBadTag, "invalid tag"}
	errShortSecret    = &Error{result.KeyInvalid, "secret of the key is shorter than 32 bytes"}
	errDuplicateKeyID = &Error{result.KeyInvalid, "two keys of the ring have the same id"}
)
