package replica

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/coord/connfault"
	"siskinstand.example/coord/connlimit"
	"siskinstand.example/service/bootclock"
)

// NoConnectionError says that a replica accepts no further connection and that none of this host's
// becomes free in time.
type NoConnectionError struct {
	Address string
	// Wait is how long the request would probably have to wait.
	Wait time.Duration
}

// Error names the address and the expected wait.
func (e *NoConnectionError) Error() string {
	return fmt.Sprintf("no connection to %s is free, one is expected in %s", e.Address, e.Wait)
}

// ReplicaState implements the interface of connfault.StateOf.
func (e *NoConnectionError) ReplicaState() connfault.State { return connfault.AtLimit }

// IsAtLimit reports whether an error means that a replica accepts no further connections, while it
// works on those that it has.
func IsAtLimit(err error) bool { return connfault.StateOf(err) == connfault.AtLimit }

// acquire returns a reusable idle connection for a request or opens a new one. If the replica
// accepts no further connection, it waits up to r.MaxConnectionWait until one is free.
func (p *Pool) acquire(ctx context.Context, r Request) (*conn, error) {
	startedAt := bootclock.Now()
	w := &waiter{isContinuation: r.IsContinuation}
	c, err := p.tryAcquire(ctx, r, w, startedAt, startedAt)
	if c != nil || err != nil {
		return c, err
	}
	w.wake = make(chan struct{}, 1)
	defer p.stopWaiting(r.Address, w)
	for {
		now := bootclock.Now()
		if c, err := p.tryAcquire(ctx, r, w, startedAt, now); c != nil || err != nil {
			if err == nil {
				p.countWait(waitServed)
			}
			return c, err
		}
		timer := time.NewTimer(min(connlimit.GrowthInterval, r.MaxConnectionWait-(now-startedAt)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, ctx.Err()
		case <-w.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// tryAcquire returns a connection, or nil if the request has to wait for one. Then w is queued if
// it can be woken.
func (p *Pool) tryAcquire(ctx context.Context, r Request, w *waiter, startedAt, now time.Duration) (*conn, error) {
	for {
		c, mayOpen, err := p.claim(r, w, startedAt, now)
		switch {
		case err != nil:
			p.countWait(waitRefused)
			return nil, err
		case mayOpen:
			c, err := p.openActive(ctx, r)
			if err == nil || !IsAtLimit(err) {
				return c, err
			}
			now = bootclock.Now()
			continue
		case c == nil || c.reusable():
			return c, nil
		}
		c.Close()
		p.discard(c)
	}
}

// claim gives a request an idle connection, the permission to open one, or a place among those
// that wait. It fails if the request will not get one in time.
func (p *Pool) claim(r Request, w *waiter, startedAt, now time.Duration) (c *conn, mayOpen bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.at(r.Address)
	if r.Connections != (connlimit.Bounds{}) {
		s.bounds = r.Connections
	}
	isQueued, ahead := slices.Contains(s.waiting, w), s.ahead(w)
	if ahead == 0 {
		if c := p.takeIdle(s, r, now); c != nil {
			c.reused = true
			s.beginUse(now, c, r)
			return c, false, nil
		}
		most := s.limit.Max(now, s.bounds)
		if s.open() >= most && len(s.idle) > 0 {
			// None of the idle connections can carry this request.
			p.closeOldestIdle(s)
		}
		switch {
		case s.open() >= most:
		case s.mayOpenFor(now, r):
			s.opening++
			return nil, true, nil
		case !s.isGrowing:
			s.opening++
			s.isGrowing = true
			go p.grow(r.Address)
		}
	}
	wait := s.expectedWait(ahead, r.Kind)
	p.fullUntil[s.hint].Store(int64(now + min(s.expectedWait(len(s.waiting), r.Kind), connlimit.GrowthInterval)))
	if now-startedAt >= r.MaxConnectionWait || !isQueued && wait > r.MaxConnectionWait {
		return nil, false, &NoConnectionError{r.Address, wait}
	}
	if w.wake != nil && !isQueued {
		s.waiting = slices.Insert(s.waiting, ahead, w)
	}
	return nil, false, nil
}

// mayOpenFor reports whether a connection may be opened for a request. Beyond what a replica that
// turns connections away accepts, a connection may be reset before the request is read, so that a
// request which must not be repeated does not take the risk.
func (s *connections) mayOpenFor(now time.Duration, r Request) bool {
	return !s.limit.IsLearned(now) || s.open() < max(1, s.limit.Accepted()) || !s.limit.MustSettle(now) && !r.AtMostOnce
}

func (p *Pool) stopWaiting(address string, w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.replicas[address]
	if !ok {
		return
	}
	if i := slices.Index(s.waiting, w); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		p.released(bootclock.Now(), address, s)
	}
}

// openActive opens a connection for a request.
func (p *Pool) openActive(ctx context.Context, r Request) (*conn, error) {
	n, err := p.dial(ctx, r.Address)
	now := bootclock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.at(r.Address)
	s.opening--
	if err != nil {
		p.released(now, r.Address, s)
		return nil, err
	}
	c := newConn(n, r.Address)
	s.beginUse(now, c, r)
	c.isAboveLimit = s.limit.MustSettle(now)
	s.limit = s.limit.WithOpen(len(s.active) + len(s.idle))
	return c, nil
}

// grow opens a connection to a replica that has turned one away, and makes it available to requests
// if it lasts.
func (p *Pool) grow(address string) {
	n, err := p.dial(context.Background(), address)
	var c *conn
	if err == nil {
		c = newConn(n, address)
		time.Sleep(connlimit.SettleTime)
		if c.isBroken() {
			_ = p.recordFailure(address, p.traffic(address), connfault.Reset, errNotAccepted)
		}
	}
	now := bootclock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.at(address)
	s.opening--
	s.isGrowing = false
	switch {
	case c == nil:
	case p.isClosed || c.isBroken() || !p.keepsIdle(address, s):
		c.Close()
	default:
		s.limit = s.limit.WithSuccess()
		c.idleSince, c.usableUntil = now, now+p.config.IdleTimeout
		s.idle = append(s.idle, c)
		p.scheduleCloseExpired()
	}
	p.released(now, address, s)
}

// errNotAccepted is the error of a connection that the replica has closed without a request.
var errNotAccepted = errors.New("the replica closed the connection before a request")

func newConn(n net.Conn, address string) *conn {
	budget := &budgetReader{source: arrivedReader{n}}
	return &conn{Conn: n, reader: bufio.NewReaderSize(budget, readBufferSize), budget: budget, address: address}
}

// OpenConnections returns the number of connections to an address.
func (p *Pool) OpenConnections(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.replicas[address]
	if !ok {
		return 0
	}
	return len(s.active) + len(s.idle)
}

// YieldIdle makes this host keep fewer idle connections to a replica that turns connections of
// another host away, which has the given number of them.
func (p *Pool) YieldIdle(address string, theirs int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.replicas[address]
	now := bootclock.Now()
	if !ok || s.limit.IsYielding(now) {
		return
	}
	s.limit = s.limit.WithYield(now, len(s.active)+len(s.idle), theirs)
	if !s.limit.IsYielding(now) {
		return
	}
	closed := 0
	for ; len(s.idle) > 0 && len(s.waiting) == 0 && s.open() > s.limit.MaxIdle(now, s.bounds); closed++ {
		p.closeOldestIdle(s)
	}
	klog.V(1).InfoS("connections left to another host", "address", address, "theirs", theirs, "active", len(s.active), "idle", len(s.idle), "closed", closed)
	p.countWait(waitYielded)
	p.released(now, address, s)
}
