// Package replica sends requests to replicas over HTTP/1.1. It never resends a request.
// The transport of net/http would resend some requests automatically when a reused
// connection fails, so that a call could run twice unnoticed.
package replica

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"siskinstand.example/platform"
	"siskinstand.example/service/bootclock"
)

// readBufferSize is the size of a connection's read buffer; stream events have about
// 100 bytes.
const readBufferSize = 4096

// Config configures a Pool.
type Config struct {
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is not reused, unless the
	// replica announces a shorter timeout.
	IdleTimeout time.Duration
	// MaxIdle is the maximum number of idle connections per address.
	MaxIdle int
	// MaxReservationTTL is the maximum time to live of a memory reservation without
	// renewal.
	MaxReservationTTL time.Duration
}

// Pool is a pool of connections to replicas.
type Pool struct {
	config Config
	dialer *net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
	// active holds the connections with a request in progress, by address.
	active map[string]map[*conn]bool
	// idleUntil holds the results of IdleUntil by a hash of the address.
	idleUntil [idleHintCount]atomic.Int64
}

// NewPool returns a pool without connections.
func NewPool(c Config) *Pool {
	return &Pool{config: c, dialer: platform.Dialer(c.ConnectTimeout), idle: map[string][]*conn{}, active: map[string]map[*conn]bool{}}
}

type conn struct {
	net.Conn
	reader  *bufio.Reader
	budget  *budgetReader
	address string
	reused  bool
	// sent holds the attempt IDs of the latest requests on the connection, and sentCount the
	// number of all of them.
	sent      [maxSentIDs]string
	sentCount int
	// requestCut is set once the connection broke while a request was written.
	requestCut bool
	// carriesHead is set once a HEAD request was sent.
	carriesHead bool
	// idleSince is the time since which an idle connection has been idle, usableUntil the
	// time after which it is not reused.
	idleSince, usableUntil time.Duration
}

// maxSentIDs is the number of requests for which a connection remembers the attempt IDs.
const maxSentIDs = 32

func (c *conn) recordSent(r Request) {
	c.sent[c.sentCount%maxSentIDs] = r.AttemptID
	c.sentCount++
	c.carriesHead = c.carriesHead || r.Method == http.MethodHead
}

// hasSent reports whether a request with the attempt ID was sent on the connection. A repeated
// response to it could not be told from the response to another request with that ID.
func (c *conn) hasSent(attemptID string) bool {
	return attemptID != "" && slices.Contains(c.sent[:], attemptID)
}

// maxIdleAtMostOnce is how long a connection may have been idle to be reused for a
// request that must run at most once. A replica can drop an idle connection unnoticed,
// and it is then unknown whether a request sent on it has run.
const maxIdleAtMostOnce = 300 * time.Millisecond

// acquire returns a reusable idle connection for a request or opens a new one.
func (p *Pool) acquire(ctx context.Context, r Request) (*conn, error) {
	for {
		c := p.takeIdle(r)
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
	n, err := p.dial(ctx, r.Address)
	if err != nil {
		return nil, err
	}
	budget := &budgetReader{source: n}
	c := &conn{Conn: n, reader: bufio.NewReaderSize(budget, readBufferSize), budget: budget, address: r.Address}
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

// takeIdle removes the most recently used idle connection that can carry the request from the
// pool and returns it, or nil. It closes connections that have been idle for too long.
func (p *Pool) takeIdle(r Request) *conn {
	now := bootclock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle[r.Address]) {
		isExpired := now >= c.usableUntil || r.AtMostOnce && now-c.idleSince > maxIdleAtMostOnce
		if !isExpired && c.hasSent(r.AttemptID) {
			continue
		}
		p.removeIdle(r.Address, i)
		if !isExpired {
			return c
		}
		c.Close()
	}
	return nil
}

// removeIdle removes the connection with the given index from the pool.
func (p *Pool) removeIdle(address string, i int) {
	p.idle[address] = slices.Delete(p.idle[address], i, i+1)
	if len(p.idle[address]) == 0 {
		delete(p.idle, address)
	}
	p.updateIdleHint(address)
}

// putIdle returns a connection to the pool after a complete response, or closes it if the
// pool is full. serverTimeout is the timeout that the replica announced, or 0.
func (p *Pool) putIdle(c *conn, serverTimeout time.Duration) {
	limit := p.config.IdleTimeout
	if serverTimeout > 0 {
		// The replica's timeout started when it sent its last byte; stop a second earlier.
		limit = min(limit, serverTimeout-time.Second)
	}
	c.idleSince = bootclock.Now()
	c.usableUntil = c.idleSince + limit
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit <= 0 || len(p.idle[c.address]) >= p.config.MaxIdle {
		c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	p.updateIdleHint(c.address)
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

// reusable reports whether an idle connection is open and has no unread data. Data after
// a complete response does not belong to any request.
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

// keepAliveTimeout returns the timeout given in a Keep-Alive header, or 0.
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
