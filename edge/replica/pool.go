// Package replica sends requests to replicas over HTTP/1.1. It sends each
// request once: net/http's transport would send some again by itself when a kept
// connection fails, and a call would run twice unseen.
package replica

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"siskinstand.example/platform"
	"siskinstand.example/service/bootclock"
)

// readBufferSize is the size of a connection's buffer; events have about 100 bytes.
const readBufferSize = 4096

// Config holds the limits towards replicas.
type Config struct {
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is not used again,
	// unless the replica states a shorter one.
	IdleTimeout time.Duration
	// MaxIdle is the number of idle connections kept for an address.
	MaxIdle int
	// MaxReservationTTL is the longest life of a memory reservation.
	MaxReservationTTL time.Duration
}

// Pool keeps connections to replicas.
type Pool struct {
	config Config
	dialer *net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
	// active are the connections that carry requests, by address.
	active map[string]map[*conn]bool
}

// NewPool returns an empty pool.
func NewPool(c Config) *Pool {
	return &Pool{config: c, dialer: platform.Dialer(c.ConnectTimeout), idle: map[string][]*conn{}, active: map[string]map[*conn]bool{}}
}

type conn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	reused  bool
	// usableUntil is the moment from which the connection is not used again.
	usableUntil time.Duration
}

// maxIdleAtMostOnce is the age of an idle connection up to which a request that runs
// at most once may use it: a replica can drop an idle connection unseen, and a
// request on it then has an unknown fate.
const maxIdleAtMostOnce = 300 * time.Millisecond

// acquire returns an idle connection or opens one.
func (p *Pool) acquire(ctx context.Context, address string, once bool) (*conn, error) {
	for {
		c := p.takeIdle(address, once)
		if c == nil {
			break
		}
		if c.reusable() {
			c.reused = true
			p.addActive(c)
			return c, nil
		}
		c.Close()
	}
	n, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		if ctx.Err() == nil {
			p.closeAll(address)
		}
		return nil, err
	}
	c := &conn{Conn: n, reader: bufio.NewReaderSize(n, readBufferSize), address: address}
	p.addActive(c)
	return c, nil
}

func (p *Pool) addActive(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.active[c.address] == nil {
		p.active[c.address] = map[*conn]bool{}
	}
	p.active[c.address][c] = true
}

func (p *Pool) removeActive(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.active[c.address], c)
	if len(p.active[c.address]) == 0 {
		delete(p.active, c.address)
	}
}

// closeAll closes the connections to an address that takes no new ones, so that
// their requests need not find out one by one.
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

// Probe opens a connection to an address and cuts all others if that fails.
func (p *Pool) Probe(ctx context.Context, address string) error {
	n, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.closeAll(address)
		return err
	}
	return n.Close()
}

func (p *Pool) takeIdle(address string, once bool) *conn {
	now := bootclock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[address] = list
		idleSince := c.usableUntil - p.config.IdleTimeout
		if now >= c.usableUntil || once && now-idleSince > maxIdleAtMostOnce {
			c.Close()
			continue
		}
		return c
	}
	delete(p.idle, address)
	return nil
}

// putIdle keeps a connection whose answer is complete.
func (p *Pool) putIdle(c *conn, keepAlive time.Duration) {
	limit := p.config.IdleTimeout
	if keepAlive > 0 {
		// The replica counts from its own last byte; stop a second earlier.
		limit = min(limit, keepAlive-time.Second)
	}
	c.usableUntil = bootclock.Now() + limit
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit <= 0 || len(p.idle[c.address]) >= p.config.MaxIdle {
		c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
	}
	p.idle = map[string][]*conn{}
}

// reusable reports whether an idle connection is open and holds no bytes. Bytes
// after a complete answer belong to no request.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
		return true
	})
	return err == nil && open
}

// keepAliveTimeout returns the timeout that a Keep-Alive header states, or 0.
func keepAliveTimeout(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && s > 0 {
			return time.Duration(s) * time.Second
		}
	}
	return 0
}
