package replica

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

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
		if !isLocalError(err) {
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
	before, startedAt := p.traffic(address), bootclock.Now()
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
	return nil, p.recordFailure(address, before, p.dialFailure(err, ctxEnded, bootclock.Now()-startedAt), err)
}

// lateFactor is the multiple of the connect timeout from which this host must have been held up
// when it noticed the timeout.
const lateFactor = 2

// dialFailure returns how the opening of a connection failed, after the given time.
func (p *Pool) dialFailure(err error, ctxEnded bool, took time.Duration) connfault.Failure {
	if ctxEnded {
		return connfault.Cancelled
	}
	f := connfault.FailureOf(err)
	if f == connfault.Unanswered && p.config.ConnectTimeout > 0 && took > lateFactor*p.config.ConnectTimeout {
		return connfault.Late
	}
	return f
}

// isLocalError reports whether a connection failed because of a shortage on this host.
func isLocalError(err error) bool {
	var e *connfault.Error
	return errors.As(err, &e) && e.Failure == connfault.Local
}

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
	if connfault.Judge(f, connfault.Signs{Heard: true}).State == connfault.Unknown {
		return connfault.NewError(f, connfault.Signs{}, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.at(address)
	signs, unknown := s.signs(before, f, p.config.ConnectTimeout)
	e := connfault.NewError(f, signs, err)
	now := bootclock.Now()
	if e.Effect.State == connfault.AtLimit {
		// The connection that failed is one of those that are being opened.
		learn := s.limit.WithRefusal
		if f == connfault.Reset {
			learn = s.limit.WithReset
		}
		s.limit = learn(now, len(s.active)+len(s.idle))
		for len(s.idle) > 0 && s.open() > s.limit.MaxIdle(now, s.bounds) {
			p.closeOldestIdle(s)
		}
	}
	silent := 0
	if e.Effect.Listen {
		p.listen(address, s, before, e.Effect)
	} else {
		silent = s.apply(e.Effect, before)
	}
	klog.V(1).InfoS("connection failed", "address", address, "failure", f, "open", e.Signs.Open, "heard", e.Signs.Heard, "unknown", unknown, "state", e.Effect.State,
		"active", len(s.active), "idle", len(s.idle), "silent", silent, "err", err)
	p.scheduleCloseExpired()
	p.config.Scope.Tagged(map[string]string{"failure": string(f), "state": string(e.Effect.State)}).Counter("connection_failures").Inc(1)
	p.released(now, address, s)
	return e
}

// apply applies the effect of a failure to the other connections and returns the number of requests
// that are offered to move.
func (s *connections) apply(e connfault.Effect, before map[*conn]traffic) int {
	if e.CloseIdle {
		s.closeIdle()
	}
	if !e.MoveSilent {
		return 0
	}
	return s.offerMove(before)
}

// listen applies an effect after the connect timeout unless the replica has given a sign of life by
// then. The caller holds mu.
func (p *Pool) listen(address string, s *connections, before map[*conn]traffic, e connfault.Effect) {
	if s.isListening {
		return
	}
	s.isListening = true
	time.AfterFunc(p.config.ConnectTimeout, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		s := p.at(address)
		s.isListening = false
		if signs, _ := s.signs(before, connfault.Unanswered, 0); !signs.Heard && !s.hasOpenedSince(before) {
			silent := s.apply(e, before)
			klog.V(1).InfoS("replica stays silent after a failed connection", "address", address, "active", len(s.active), "silent", silent)
		}
		p.released(bootclock.Now(), address, s)
	})
}

// hasOpenedSince reports whether a connection was opened since traffic has returned before.
func (s *connections) hasOpenedSince(before map[*conn]traffic) bool {
	isNew := func(c *conn) bool {
		_, isOlder := before[c]
		return !isOlder
	}
	for c := range s.active {
		if isNew(c) {
			return true
		}
	}
	return slices.ContainsFunc(s.idle, isNew)
}

// signs returns the signs of life on the connections since traffic has returned before, and on how
// many connections the system did not tell whether they are open. A request in progress reads
// from its connection, so that an end would have been noticed; then the connection counts as
// open. Where the replica resets connections that it has accepted, only those that have carried a
// response count: the others may be reset next. A failure that comes at once leaves no time to
// hear anything, so that the listening time before it counts, too.
func (s *connections) signs(before map[*conn]traffic, f connfault.Failure, listeningTime time.Duration) (signs connfault.Signs, unknown int) {
	isSudden := connfault.LeavesNoTime(f)
	look := func(c *conn, isActive bool) {
		earlier, isOlder := before[c]
		total := c.budget.total.Load()
		state, hasUnread := c.link()
		if state == linkUnknown {
			unknown++
		}
		isOpen := state == linkOpen || state == linkUnknown && isActive
		signs.Heard = signs.Heard || total > earlier.bytes || hasUnread || isSudden && c.budget.heardWithin(listeningTime)
		signs.Open = signs.Open || isOlder && (f != connfault.Reset || total > 0) && isOpen
	}
	for c := range s.active {
		look(c, true)
	}
	for _, c := range s.idle {
		look(c, false)
	}
	return signs, unknown
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
