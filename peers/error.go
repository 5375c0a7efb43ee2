package peers

import (
	"fmt"

	"github.com/almondflow/almondflow/result"
)

// Error is a failure of the transport.
type Error struct {
	code      result.Code
	operation string
	peer      string
	err       error
}

// Code returns DaemonUnreachable, NotFound, KeyInvalid or Internal.
func (e *Error) Code() result.Code { return e.code }

// Error names the operation, the peer and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s %s: %v", e.operation, e.peer, e.err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }
