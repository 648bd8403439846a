package replica

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// linkState is what the system says of a connection.
type linkState string

const (
	linkOpen   linkState = "open"
	linkClosed linkState = "closed"
	// linkUnknown means that the system did not tell.
	linkUnknown linkState = "unknown"
)

// link returns whether the connection is open, and whether it has unread data. Data that arrived
// before the end of the connection hides the end.
func (c *conn) link() (state linkState, hasUnread bool) {
	unread, hasEnded, err := c.look()
	switch {
	case errors.Is(err, net.ErrClosed):
		return linkClosed, false
	case err != nil:
		return linkUnknown, false
	case unread > 0:
		return linkOpen, true
	case hasEnded:
		return linkClosed, false
	}
	return linkOpen, false
}

// isBroken reports whether a new connection has ended or carries bytes that nobody has asked for.
func (c *conn) isBroken() bool {
	state, hasUnread := c.link()
	return state == linkClosed || hasUnread
}

// reusable reports whether an idle connection is open and has no unread data. Data after
// a complete response does not belong to any request.
func (c *conn) reusable() bool {
	state, hasUnread := c.link()
	return c.reader.Buffered() == 0 && state == linkOpen && !hasUnread
}

// errNoRawConn is the error of look for a connection without a file descriptor.
var errNoRawConn = errors.New("the connection has no file descriptor")

// look returns how many bytes can be read, and whether the peer has ended the connection. It leaves
// the error of a reset in place for the next read. A receive call with MSG_PEEK would clear it, and
// that read would return the regular end of the connection.
func (c *conn) look() (unread int, hasEnded bool, err error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, false, errNoRawConn
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, false, err
	}
	var lookErr error
	err = raw.Control(func(fd uintptr) {
		if hasEnded, lookErr = pollEnd(int(fd)); lookErr == nil {
			unread, lookErr = unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		}
	})
	return unread, hasEnded, errors.Join(err, lookErr)
}

func pollEnd(fd int) (hasEnded bool, err error) {
	list := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	for {
		_, err := unix.Poll(list, 0)
		if !errors.Is(err, unix.EINTR) {
			return list[0].Revents != 0, err
		}
	}
}
