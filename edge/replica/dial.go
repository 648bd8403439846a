package replica

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"
)

// localRetryInterval is the time between two attempts of Probe while this host lacks the
// resources for a connection.
const localRetryInterval = 100 * time.Millisecond

// Probe opens a connection to an address and closes it. If the address does not accept it,
// Probe closes other connections as described at dial. While this host lacks the resources
// for a connection, it tries again until ctx ends.
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

// dial opens a connection. If the address does not accept it, dial closes the other
// connections to the address, so that the requests on them fail at once instead of each
// running into a timeout. It keeps those that have been opened, reused or received data
// since the dial started.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	before := p.receivedBytes(address)
	// The dialer applies a deadline of the context directly to the connection and may fail
	// before the context ends. So it gets a context without one, and whether the context
	// has ended is known for certain.
	dialCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, cancel)
	n, err := p.dialer.DialContext(dialCtx, "tcp", address)
	ctxEnded := !stop()
	if err != nil && !ctxEnded && !IsLocalError(err) {
		p.closeSilent(address, before)
	}
	return n, err
}

// localErrors are errors of a dial that are caused by a shortage on this host.
var localErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

// IsLocalError reports whether an error is caused by a shortage on this host, such as one of
// file descriptors, and says nothing about the replica.
func IsLocalError(err error) bool {
	return slices.ContainsFunc(localErrors, func(local error) bool { return errors.Is(err, local) })
}

// receivedBytes returns the number of bytes received on each connection to an address with
// a request in progress.
func (p *Pool) receivedBytes(address string) map[*conn]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	received := make(map[*conn]int64, len(p.active[address]))
	for c := range p.active[address] {
		received[c] = c.budget.total.Load()
	}
	return received
}

// closeSilent closes the idle connections to an address, and those with a request in
// progress that have received nothing since receivedBytes returned before.
func (p *Pool) closeSilent(address string, before map[*conn]int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.active[address] {
		if received, ok := before[c]; ok && received == c.budget.total.Load() {
			c.Close()
		}
	}
	for _, c := range p.idle[address] {
		c.Close()
	}
	delete(p.idle, address)
}
