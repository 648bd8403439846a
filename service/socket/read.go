// Package socket reads from connections whose deadline has passed.
package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// finalReadTimeout limits the last read from a connection that is no socket.
const finalReadTimeout = time.Millisecond

// Read reads from a connection like its method Read. When the read deadline ends the wait, it reads
// what has arrived: a read after its deadline does not look at the socket, so that a process which was
// held up would lose what came in time.
func Read(c net.Conn, p []byte) (int, error) {
	n, err := c.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		return readArrived(c, p)
	}
	return n, err
}

// readArrived reads without waiting. If nothing has arrived, the error is os.ErrDeadlineExceeded.
func readArrived(c net.Conn, p []byte) (int, error) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		_ = c.SetReadDeadline(time.Now().Add(finalReadTimeout)) // fails only for a closed connection, whose next read fails too
		return c.Read(p)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var readErr error
	if err := raw.Control(func(fd uintptr) { n, _, readErr = unix.Recvfrom(int(fd), p, unix.MSG_DONTWAIT) }); err != nil {
		return 0, err
	}
	switch {
	case errors.Is(readErr, unix.EAGAIN), errors.Is(readErr, unix.EINTR):
		return 0, os.ErrDeadlineExceeded
	case readErr != nil:
		return 0, readErr
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}
