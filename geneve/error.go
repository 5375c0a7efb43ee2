package geneve

import "github.com/almondflow/almondflow/result"

// Error says why a datagram is dropped or a key is refused.
type Error struct {
	code   result.Code
	reason string
}

// Code returns result.DroppedMalformed, DroppedUnsupported or DroppedBadTag for a
// datagram and result.KeyInvalid for a key.
func (e *Error) Code() result.Code { return e.code }

// Error returns the reason.
func (e *Error) Error() string { return "geneve: " + e.reason }

// The errors are values made once, so that a flood of bad datagrams allocates nothing.
var (
	errTruncated = &Error{result.DroppedMalformed, "truncated"}
	errOptions   = &Error{result.DroppedMalformed, "bad options"}
	errInner     = &Error{result.DroppedMalformed, "inner packet is not of the protocol type"}
	errMessage   = &Error{result.DroppedMalformed, "bad message"}
	errVersion   = &Error{result.DroppedUnsupported, "unknown version"}
	errNetwork   = &Error{result.DroppedUnsupported, "unknown network identifier"}
	errProtocol  = &Error{result.DroppedUnsupported, "unknown protocol type"}
	errCritical  = &Error{result.DroppedUnsupported, "unknown critical option"}
	errControl   = &Error{result.DroppedUnsupported, "unknown control packet"}
	errTag       = &Error{result.DroppedBadTag, "bad tag"}
	errKey       = &Error{result.KeyInvalid, "key of less than 32 bytes"}
	errKeyID     = &Error{result.KeyInvalid, "two keys of one ring have the same id"}
)
