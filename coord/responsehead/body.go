package responsehead

import (
	"fmt"
	"io"
)

// ErrRequestCut ends a body of which nothing tells whether it is complete.
var ErrRequestCut = fmt.Errorf("body without a length on a connection that broke while the request was written: %w", io.ErrUnexpectedEOF)

// EndOfBody returns io.EOF if a body that was read to its end is complete, or ErrRequestCut. A
// body without a length or chunks ends with its connection. If a write on the connection has
// failed, it has taken the error of the connection, and a reset looks like a proper end to reads.
func EndOfBody(endsWithConnection, writeFailed bool) error {
	if endsWithConnection && writeFailed {
		return ErrRequestCut
	}
	return io.EOF
}
