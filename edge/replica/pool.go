// Package replica sends requests to replicas over HTTP/1.1. It never resends a request.
// The transport of net/http would resend some requests automatically when a reused
// connection fails, so that a call could run twice unnoticed.
package replica

import (
	"bufio"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"siskinstand.example/platform"
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
	// Scope receives the counters of failed connections and of waits for connections; nil for
	// none.
	Scope tally.Scope
}

// Pool is a pool of connections to replicas.
type Pool struct {
	config Config
	dialer *net.Dialer

	mu sync.Mutex
	// replicas holds the connections by address.
	replicas map[string]*connections
	// retained holds the addresses whose idle connections are kept; nil for all. See RetainIdle.
	retained map[string]bool
	// closeExpiredTimer runs closeExpired while there are idle connections.
	closeExpiredTimer *time.Timer
	isClosed          bool
	// idleUntil holds the results of IdleUntil by a hash of the address, fullUntil those of
	// FullUntil.
	idleUntil [hintCount]atomic.Int64
	fullUntil [hintCount]atomic.Int64
}

// NewPool returns a pool without connections.
func NewPool(c Config) *Pool {
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	return &Pool{config: c, dialer: platform.Dialer(c.ConnectTimeout), replicas: map[string]*connections{}}
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
	// isAboveLimit is set if the connection was opened although the replica had turned away
	// another one shortly before.
	isAboveLimit bool
	// carriesHead is set once a HEAD request was sent.
	carriesHead bool
	// idleSince is the time since which an idle connection has been idle, usableUntil the
	// time after which it is not reused.
	idleSince, usableUntil time.Duration
	// activeSince is the time since which the connection has a request in progress.
	activeSince time.Duration
	// kind is Request.Kind of the request in progress, and onSilence its Request.OnSilence.
	kind      string
	onSilence func(isSilent func() bool)
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

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
	for _, s := range p.replicas {
		s.closeIdle()
	}
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
