package replica

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
)

// Probe opens a connection to an address and closes it. If that fails, it closes other
// connections as described at dial.
func (p *Pool) Probe(ctx context.Context, address string) error {
	n, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	return n.Close()
}

// dial opens a connection. If the address does not accept it, dial closes the other
// connections to the address, so that the requests on them fail at once instead of each
// running into a timeout.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	// The dialer applies a deadline of the context directly to the connection and may fail
	// before the context ends. So it gets a context without one, and whether the context
	// has ended is known for certain.
	dialCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, cancel)
	n, err := p.dialer.DialContext(dialCtx, "tcp", address)
	ctxEnded := !stop()
	if err != nil && !ctxEnded && !isLocalError(err) {
		p.closeAll(address)
	}
	return n, err
}

// localErrors are errors of a dial that are caused by a shortage on this host.
var localErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

func isLocalError(err error) bool {
	return slices.ContainsFunc(localErrors, func(local error) bool { return errors.Is(err, local) })
}

// closeAll closes all connections to an address.
func (p *Pool) closeAll(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.active[address] {
		c.Close()
	}
	for _, c := range p.idle[address] {
		c.Close()
	}
	delete(p.idle, address)
}
