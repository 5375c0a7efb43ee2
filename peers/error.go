package peers

import (
	"fmt"

	"github.com/almondflow/almondflow/result"
)

// Error describes a failed operation of a Client or a Server.
type Error struct {
	code      result.Code
	operation string
	peer      string
	err       error
}

// Code returns result.DaemonUnreachable, result.NotFound, result.KeyInvalid or
// result.Internal.
func (e *Error) Code() result.Code { return e.code }

// Error returns the operation, the peer and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s %s: %v", e.operation, e.peer, e.err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }
