package replica

import (
	"context"
	"math"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/coord/connfault"
	"siskinstand.example/coord/connlimit"
	"siskinstand.example/service/bootclock"
)

// connections are the connections of this host to one address.
type connections struct {
	// hint is the index of the hints of the address.
	hint uint32
	// idle holds the idle connections, the latest used last.
	idle []*conn
	// active holds the connections with a request in progress.
	active map[*conn]bool
	// opening is the number of connections that are being opened, among them the one that isGrowing
	// says is opened without a request.
	opening   int
	isGrowing bool
	// isListening is set while a sign of life decides about the connections; see Pool.listen.
	isListening bool
	bounds      connlimit.Bounds
	limit       connlimit.Limit
	// waiting holds the requests that wait for a connection: first the continuations, and of either
	// the oldest first.
	waiting []*waiter
	// meanUse is the average time for which a request has used a connection, by Request.Kind.
	meanUse map[string]time.Duration
}

// waiter is a request that waits for a connection. wake has a capacity of 1.
type waiter struct {
	wake           chan struct{}
	isContinuation bool
}

// ahead returns the number of waiting requests that get a connection before w, which need not be
// among them.
func (s *connections) ahead(w *waiter) int {
	for i, other := range s.waiting {
		if other == w || w.isContinuation && !other.isContinuation {
			return i
		}
	}
	return len(s.waiting)
}

func (s *connections) open() int { return len(s.idle) + len(s.active) + s.opening }

func (s *connections) isUnused(now time.Duration) bool {
	return s.open() == 0 && len(s.waiting) == 0 && !s.isListening && !s.limit.IsLearned(now) && !s.limit.IsYielding(now)
}

func (s *connections) wakeFirst() {
	if len(s.waiting) == 0 {
		return
	}
	select {
	case s.waiting[0].wake <- struct{}{}:
	default: // it is about to wake up
	}
}

func (s *connections) closeIdle() {
	for _, c := range s.idle {
		c.Close()
	}
	s.idle = nil
}

// expectedWait returns how long a request with the given number of others ahead of it will probably
// wait, by how long requests of the kinds that are in progress use a connection. The connections that
// are being opened will carry requests of its own kind. It returns 0 if a kind is not known yet.
func (s *connections) expectedWait(ahead int, kind string) time.Duration {
	perSecond := 0.0
	if mean, ok := s.meanUse[kind]; ok {
		perSecond = float64(s.opening) / max(mean, time.Millisecond).Seconds()
	} else if s.opening > 0 {
		return 0
	}
	for c := range s.active {
		mean, ok := s.meanUse[c.kind]
		if !ok {
			return 0
		}
		perSecond += 1 / max(mean, time.Millisecond).Seconds()
	}
	if perSecond == 0 {
		return 0
	}
	return time.Duration(float64(ahead+1) / perSecond * float64(time.Second))
}

// meanUseWeight is the weight of the latest request in the averages of connections.meanUse.
const meanUseWeight = 0.125

func (s *connections) recordUse(kind string, d time.Duration) {
	if s.meanUse == nil {
		s.meanUse = map[string]time.Duration{}
	}
	mean, ok := s.meanUse[kind]
	if !ok {
		mean = d
	}
	s.meanUse[kind] = mean + time.Duration(meanUseWeight*float64(d-mean))
}

// at returns the connections to an address. The caller holds mu.
func (p *Pool) at(address string) *connections {
	s := p.replicas[address]
	if s == nil {
		s = &connections{hint: hintIndex(address), active: map[*conn]bool{}}
		p.replicas[address] = s
	}
	return s
}

// released follows a change after which another request may get a connection to the address. The
// caller holds mu.
func (p *Pool) released(now time.Duration, address string, s *connections) {
	s.wakeFirst()
	p.updateHints(s)
	if s.isUnused(now) {
		delete(p.replicas, address)
	}
}

// Connection is a connection that was acquired before its request is sent.
type Connection struct {
	pool *Pool
	conn *conn
}

// Connect acquires a connection for a request, which uses it if it is set as its Connection. A new
// one must have lasted for connlimit.SettleTime, since a replica may reset connections that it has
// accepted. The error is that of Do.
func (p *Pool) Connect(ctx context.Context, r Request) (*Connection, error) {
	c, err := p.acquire(ctx, r)
	if err == nil && !c.reused {
		err = p.settle(ctx, c)
	}
	if err != nil {
		return nil, connectError(r.Address, err)
	}
	return &Connection{p, c}, nil
}

// settle waits until a new connection counts as accepted. It closes the connection if it does not.
func (p *Pool) settle(ctx context.Context, c *conn) error {
	timer := time.NewTimer(connlimit.SettleTime)
	defer timer.Stop()
	var err error
	select {
	case <-ctx.Done():
		err = ctx.Err()
	case <-timer.C:
		if c.isBroken() {
			err = p.recordFailure(c.address, p.traffic(c.address), connfault.Reset, errNotAccepted)
		}
	}
	if err != nil {
		c.Close()
		p.discard(c)
	}
	return err
}

// Close gives back a connection that no request has used.
func (c *Connection) Close() { c.pool.putIdle(c.conn, 0) }

// use returns the connection for a request.
func (c *Connection) use(r Request) *conn {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.conn.onSilence = r.OnSilence
	return c.conn
}

// discard removes a connection that was closed before a request was sent on it.
func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.at(c.address)
	delete(s.active, c)
	p.released(bootclock.Now(), c.address, s)
}

// removeActive removes a connection whose request has ended, and which is closed.
func (p *Pool) removeActive(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := bootclock.Now()
	s := p.at(c.address)
	s.endUse(now, c)
	p.released(now, c.address, s)
}

func (s *connections) beginUse(now time.Duration, c *conn, r Request) {
	c.activeSince, c.kind, c.onSilence = now, r.Kind, r.OnSilence
	s.active[c] = true
}

func (s *connections) endUse(now time.Duration, c *conn) {
	if s.active[c] {
		s.recordUse(c.kind, now-c.activeSince)
	}
	delete(s.active, c)
	c.onSilence = nil
}

// takeIdle removes the most recently used idle connection that can carry the request and returns
// it, or nil. It closes connections that have been idle for too long. The caller holds mu.
func (p *Pool) takeIdle(s *connections, r Request, now time.Duration) *conn {
	for i, c := range slices.Backward(s.idle) {
		isExpired := now >= c.usableUntil || r.AtMostOnce && now-c.idleSince > maxIdleAtMostOnce
		if !isExpired && c.hasSent(r.AttemptID) {
			continue
		}
		s.idle = slices.Delete(s.idle, i, i+1)
		p.updateHints(s)
		if !isExpired {
			return c
		}
		c.Close()
	}
	return nil
}

func (p *Pool) closeOldestIdle(s *connections) {
	s.idle[0].Close()
	s.idle = slices.Delete(s.idle, 0, 1)
	p.updateHints(s)
}

// putIdle returns a connection to the pool after a complete response. It closes it instead if this
// host has more connections to the replica than it may keep. serverTimeout is the timeout that the
// replica announced, or 0.
func (p *Pool) putIdle(c *conn, serverTimeout time.Duration) {
	usable := p.config.IdleTimeout
	if serverTimeout > 0 {
		// The replica's timeout started when it sent its last byte; stop a second earlier.
		usable = min(usable, serverTimeout-time.Second)
	}
	now := bootclock.Now()
	c.idleSince, c.usableUntil = now, now+usable
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.at(c.address)
	s.endUse(now, c)
	if p.isClosed || usable <= 0 || len(s.idle) >= p.config.MaxIdle || s.open() >= s.maxIdle(now) || !p.keepsIdle(c.address, s) {
		c.Close()
	} else {
		s.idle = append(s.idle, c)
		p.scheduleCloseExpired()
	}
	p.released(now, c.address, s)
}

// RetainIdle keeps idle connections only to the given addresses from now on, apart from those that
// requests wait for. Each connection counts for the limit of its replica, also at one that leaves, and
// may keep a request of another host in the accept queue. The caller must not modify the map afterwards.
func (p *Pool) RetainIdle(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retained = addresses
	now := bootclock.Now()
	for address, s := range p.replicas {
		if len(s.idle) == 0 || p.keepsIdle(address, s) {
			continue
		}
		klog.V(1).InfoS("idle connections to unused replica closed", "address", address, "active", len(s.active), "closed", len(s.idle))
		p.config.Scope.Counter("unused_connections_closed").Inc(int64(len(s.idle)))
		s.closeIdle()
		p.released(now, address, s)
	}
}

// keepsIdle reports whether idle connections to an address are kept. The caller holds mu.
func (p *Pool) keepsIdle(address string, s *connections) bool {
	return p.retained == nil || p.retained[address] || len(s.waiting) > 0
}

// maxIdle returns how many connections the host may have open when one becomes idle. One that
// another request waits for is kept, unless the host has to go back to its share.
func (s *connections) maxIdle(now time.Duration) int {
	switch {
	case len(s.waiting) == 0:
		return s.limit.MaxIdle(now, s.bounds)
	case s.limit.IsLearned(now):
		return connlimit.Limit{}.MaxIdle(now, s.bounds)
	}
	return math.MaxInt
}

// closeExpiredInterval is the interval at which idle connections that will not be used again are
// closed. Each of them counts for the limit of its replica.
const closeExpiredInterval = time.Second

// scheduleCloseExpired schedules closeExpired. The caller holds mu.
func (p *Pool) scheduleCloseExpired() {
	if p.closeExpiredTimer == nil && !p.isClosed {
		p.closeExpiredTimer = time.AfterFunc(closeExpiredInterval, p.closeExpired)
	}
}

// closeExpired closes the idle connections that will not be used again, and forgets the addresses
// without connections.
func (p *Pool) closeExpired() {
	now := bootclock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeExpiredTimer = nil
	for address, s := range p.replicas {
		s.idle = slices.DeleteFunc(s.idle, func(c *conn) bool {
			if now < c.usableUntil {
				return false
			}
			c.Close()
			return true
		})
		p.released(now, address, s)
	}
	if len(p.replicas) > 0 {
		p.scheduleCloseExpired()
	}
}

// waitResult is how the wait of a request for a connection ended.
type waitResult string

const (
	waitServed waitResult = "served"
	// waitRefused also counts requests that could not expect a connection in time.
	waitRefused waitResult = "refused"
	// waitYielded counts how often this host has left connections to another one.
	waitYielded waitResult = "yielded"
)

func (p *Pool) countWait(r waitResult) {
	p.config.Scope.Tagged(map[string]string{"result": string(r)}).Counter("connection_waits").Inc(1)
}
