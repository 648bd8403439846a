package http1

import (
	"context"
	"syscall"

	"golang.org/x/sys/unix"
)

// Socket returns the socket of the connection of a request, or nil if it is no socket or uses
// TLS. ctx is the context of the request.
func Socket(ctx context.Context) syscall.RawConn {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return nil
	}
	return c.socket()
}

// socket returns nil if the connection is no socket or is closed.
func (c *conn) socket() syscall.RawConn {
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

// tcpEstablished is the state of a connection that neither side has closed (TCP_ESTABLISHED of Linux).
const tcpEstablished = 1

// isClosedByCaller reports whether the caller has closed or reset the connection, or has closed
// its write side. It returns false if that is not known.
func (c *conn) isClosedByCaller() bool {
	socket := c.socket()
	if socket == nil {
		return false
	}
	isClosed := false
	err := socket.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isClosed = err == nil && info.State != tcpEstablished
	})
	return err == nil && isClosed
}
