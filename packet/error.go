package packet

import "github.com/almondflow/almondflow/result"

// Error says why a packet is not carried.
type Error struct {
	code   result.Code
	reason string
}

// Code returns result.DroppedMalformed or result.DroppedUnsupported.
func (e *Error) Code() result.Code { return e.code }

// Error returns the reason.
func (e *Error) Error() string { return "packet: " + e.reason }

// The errors are values made once, so that a flood of bad packets allocates nothing.
var (
	errTruncated = &Error{result.DroppedMalformed, "truncated"}
	errVersion   = &Error{result.DroppedMalformed, "neither IPv4 nor IPv6"}
	errNetwork   = &Error{result.DroppedMalformed, "bad IP header"}
	errLength    = &Error{result.DroppedMalformed, "length below that of the header"}
	errChecksum  = &Error{result.DroppedMalformed, "bad checksum"}
	errTransport = &Error{result.DroppedMalformed, "bad transport header"}
	errFragment  = &Error{result.DroppedUnsupported, "fragment"}
	errOption    = &Error{result.DroppedUnsupported, "IPv4 option"}
	errProtocol  = &Error{result.DroppedUnsupported, "protocol or extension header not carried"}
	errMessage   = &Error{result.DroppedUnsupported, "ICMP message that is not an error about a flow"}
)
