package caller

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ListenConfig returns the configuration of the listener for callers. Its connections have a
// send buffer of the given size, so that the system holds a bounded part of a response that is
// not read. The system closes a connection whose caller accepts nothing for the read timeout,
// also after this process has closed it.
func ListenConfig(readTimeout time.Duration, sendBuffer int) *net.ListenConfig {
	return &net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var sockErr error
		err := c.Control(func(fd uintptr) {
			if sockErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer); sockErr == nil {
				sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(readTimeout.Milliseconds()))
			}
		})
		if err != nil {
			return err
		}
		return sockErr
	}}
}

// callerSocket is the socket of a caller's connection. It is used by one goroutine at a time.
type callerSocket struct {
	raw syscall.RawConn
	// check and count are the arguments of Control, kept so that no call allocates.
	check, count func(fd uintptr)
	poll         [1]unix.PollFd
	isWritable   bool
	queued       int
}

func newCallerSocket(raw syscall.RawConn) *callerSocket {
	s := &callerSocket{raw: raw}
	s.check = func(fd uintptr) {
		s.poll[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLOUT}
		n, err := unix.Poll(s.poll[:], 0)
		s.isWritable = n > 0 && err == nil
	}
	s.count = func(fd uintptr) {
		s.queued, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) // fails only for a closed connection
	}
	return s
}

// writable reports whether a write of maxDirectBytes does not block. The system reports a
// socket as writable while a third of its send buffer or more is free. A closed connection
// counts as writable, since a write to it fails at once.
func (s *callerSocket) writable() bool {
	s.isWritable = true
	_ = s.raw.Control(s.check) // fails only for a closed connection
	return s.isWritable
}

// unacknowledged returns how many bytes the caller's system has not accepted yet.
func (s *callerSocket) unacknowledged() int {
	s.queued = 0
	_ = s.raw.Control(s.count) // fails only for a closed connection
	return s.queued
}
