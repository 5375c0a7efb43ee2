package packet

import "github.com/almondflow/almondflow/result"

// Error is the reason why a packet is rejected.
type Error struct {
	code   result.Code
	reason string
}

// Code returns result.DroppedMalformed or result.DroppedUnsupported.
func (e *Error) Code() result.Code { return e.code }

// Error returns the reason.
func (e *Error) Error() string { return "packet: " + e.reason }

// Errors are preallocated, so that a flood of invalid packets does not allocate memory.
var (
	errTruncated       = &Error{result.DroppedMalformed, "truncated"}
	errIPVersion       = &Error{result.DroppedMalformed, "neither IPv4 nor IPv6"}
	errIPHeader        = &Error{result.DroppedMalformed, "invalid IP header"}
	errLength          = &Error{result.DroppedMalformed, "length shorter than the header"}
	errChecksum        = &Error{result.DroppedMalformed, "invalid checksum"}
	errTransportHeader = &Error{result.DroppedMalformed, "invalid transport header"}
	errFragment        = &Error{result.DroppedUnsupported, "fragment"}
	errIPOption        = &Error{result.DroppedUnsupported, "IPv4 options"}
	errProtocol        = &Error{result.DroppedUnsupported, "unsupported protocol or extension header"}
	errICMPMessage     = &Error{result.DroppedUnsupported, "ICMP message is not an error about a TCP or UDP packet"}
)
