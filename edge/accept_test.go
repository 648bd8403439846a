package main

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// failingListener fails the given number of times before it returns a connection.
type failingListener struct {
	net.Listener
	err      error
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, l.err
	}
	return &net.TCPConn{}, nil
}

func (l *failingListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a process that ends, with all its requests, because of an error that concerns one
// connection, and against one that goes on with a listener that is broken or closed.
func TestAcceptErrors(t *testing.T) {
	tests := map[string]struct {
		err      error
		failures int
		wantErr  bool
	}{
		"one error of the network": {syscall.EPROTO, 1, false},
		"not permitted":            {syscall.EPERM, 3, false},
		"broken listener":          {syscall.EINVAL, 1000, true},
		"closed listener":          {net.ErrClosed, 1, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, err := tolerantListener{&failingListener{err: tc.err, failures: tc.failures}}.Accept()
			if (err != nil) != tc.wantErr || err != nil && !errors.Is(err, tc.err) {
				t.Errorf("error %v, want one: %t", err, tc.wantErr)
			}
		})
	}
}
