package http1

import (
	"context"
	"syscall"
)

// Socket returns the socket of the connection of a request, or nil if it is no socket or uses
// TLS. ctx is the context of the request.
func Socket(ctx context.Context) syscall.RawConn {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return nil
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}
