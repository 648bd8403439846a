package replica

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"siskinstand.example/coord/connfault"
	"siskinstand.example/service/bootclock"
)

// localRetryInterval is the time between two attempts of Probe while this host lacks the
// resources for a connection.
const localRetryInterval = 100 * time.Millisecond

// Probe opens a connection to an address and closes it. While this host lacks the resources
// for a connection, it tries again until ctx ends. The error wraps a *connfault.Error.
func (p *Pool) Probe(ctx context.Context, address string) error {
	for {
		n, err := p.dial(ctx, address)
		if err == nil {
			return n.Close()
		}
		if !IsLocalError(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(localRetryInterval):
		}
	}
}

// dial opens a connection. The error is a *connfault.Error, whose effect on the other connections
// to the address has taken place.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	before := p.traffic(address)
	// The dialer applies a deadline of the context directly to the connection and may fail
	// before the context ends. So it gets a context without one, and whether the context
	// has ended is known for certain.
	dialCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, cancel)
	n, err := p.dialer.DialContext(dialCtx, "tcp", address)
	ctxEnded := !stop()
	if err == nil {
		return n, nil
	}
	return nil, p.recordFailure(address, before, dialFailure(err, ctxEnded), err)
}

// dialFailure returns how the opening of a connection failed.
func dialFailure(err error, ctxEnded bool) connfault.Failure {
	if ctxEnded {
		return connfault.Cancelled
	}
	if f := connfault.FailureOf(err); f != connfault.Other {
		return f
	}
	return connfault.Unanswered // the timeout of a net.Dialer, or an error of the network
}

// IsLocalError reports whether an error is caused by a shortage on this host, such as one of
// file descriptors, and says nothing about the replica.
func IsLocalError(err error) bool { return connfault.FailureOf(err) == connfault.Local }

// traffic is what had arrived on a connection at a time.
type traffic struct {
	bytes    int64
	isActive bool
}

// traffic returns what has arrived on each connection to an address.
func (p *Pool) traffic(address string) map[*conn]traffic {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.replicas[address]
	if !ok {
		return nil
	}
	list := make(map[*conn]traffic, len(s.active)+len(s.idle))
	for c := range s.active {
		list[c] = traffic{c.budget.total.Load(), true}
	}
	for _, c := range s.idle {
		list[c] = traffic{c.budget.total.Load(), false}
	}
	return list
}

// recordFailure applies the effect of a failed connection to the others to the address and returns
// the failure. before is the result of traffic at the start of the failed one.
func (p *Pool) recordFailure(address string, before map[*conn]traffic, f connfault.Failure, err error) *connfault.Error {
	if f == connfault.Local || f == connfault.Cancelled {
		return connfault.NewError(f, connfault.Signs{}, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.at(address)
	e := connfault.NewError(f, s.signs(before, f), err)
	now := bootclock.Now()
	if e.Effect.State == connfault.AtLimit {
		// The connection that failed is one of those that are being opened.
		s.limit = s.limit.WithRefusal(now, len(s.active)+len(s.idle))
		for len(s.idle) > 0 && s.open() > s.bounds.MaxIdle() {
			p.closeOldestIdle(s)
		}
	}
	if e.Effect.CloseIdle {
		s.closeIdle()
	}
	silent := 0
	if e.Effect.MoveSilent {
		silent = s.offerMove(before)
	}
	klog.V(1).InfoS("connection failed", "address", address, "failure", f, "open", e.Signs.Open, "heard", e.Signs.Heard, "state", e.Effect.State,
		"active", len(s.active), "idle", len(s.idle), "silent", silent, "err", err)
	p.scheduleCloseExpired()
	p.config.Scope.Tagged(map[string]string{"failure": string(f), "state": string(e.Effect.State)}).Counter("connection_failures").Inc(1)
	p.released(now, address, s)
	return e
}

// signs returns the signs of life on the connections since traffic has returned before. Where
// the replica resets connections that it has accepted, only those that have carried a response
// count as open: the others may be reset next.
func (s *connections) signs(before map[*conn]traffic, f connfault.Failure) connfault.Signs {
	var signs connfault.Signs
	look := func(c *conn) {
		earlier, isOlder := before[c]
		total := c.budget.total.Load()
		signs.Heard = signs.Heard || total > earlier.bytes
		signs.Open = signs.Open || isOlder && (f != connfault.Reset || total > 0) && c.isOpen()
	}
	for c := range s.active {
		look(c)
	}
	for _, c := range s.idle {
		look(c)
	}
	return signs
}

// offerMove calls OnSilence for the requests whose connections have received nothing since
// traffic has returned before, and returns their number.
func (s *connections) offerMove(before map[*conn]traffic) int {
	silent := 0
	for c := range s.active {
		earlier := before[c]
		isSilent := func() bool { return c.budget.total.Load() == earlier.bytes }
		if !earlier.isActive || !isSilent() {
			continue
		}
		silent++
		if c.onSilence != nil {
			go c.onSilence(isSilent)
		}
	}
	return silent
}

// isOpen reports whether the other end has not closed the connection. Unread data does not count
// as a close.
func (c *conn) isOpen() bool {
	n, err := c.peek()
	return n > 0 || errors.Is(err, unix.EAGAIN)
}

// errNoRawConn is the error of peek for a connection without a file descriptor.
var errNoRawConn = errors.New("the connection has no file descriptor")

// peek returns what a read would return now, without reading. The end of the connection is
// io.EOF.
func (c *conn) peek() (int, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, errNoRawConn
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var peekErr error
	if err := raw.Control(func(fd uintptr) {
		var one [1]byte
		if n, _, peekErr = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT); n == 0 && peekErr == nil {
			peekErr = io.EOF
		}
	}); err != nil {
		return 0, err
	}
	return max(n, 0), peekErr
}
