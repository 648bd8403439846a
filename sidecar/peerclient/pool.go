// Package peerclient calls the sidecars of other group members and the gateways
// over pooled connections.
package peerclient

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"siskinstand.example/coord/group"
	"siskinstand.example/peerpb"
)

// maxConnections bounds the open connections. The pool exceeds it if all of them
// are in use when another one is needed, and does not shrink again. A group has
// few members, and an evicted connection is dialled again when it is needed.
const maxConnections = 64

// ConnectionPool holds connections to other sidecars and to gateways.
type ConnectionPool struct {
	sender      *peerpb.Sender
	credentials credentials.TransportCredentials
	mu          sync.Mutex
	conns       map[string]*connection
}

type connection struct {
	conn     *grpc.ClientConn
	lastUsed time.Time
	// activeCalls is the number of calls in progress, during which the
	// connection is not evicted.
	activeCalls int
}

// NewConnectionPool returns an empty pool. Its calls carry the given sender.
func NewConnectionPool(sender *peerpb.Sender, c credentials.TransportCredentials) *ConnectionPool {
	return &ConnectionPool{sender: sender, credentials: c, conns: map[string]*connection{}}
}

// RenewHold extends the expiry of a member's hold, or acquires the hold again if
// it has expired, and reports whether the member holds the memory.
func (p *ConnectionPool) RenewHold(ctx context.Context, m group.Member, groupID string, timeToLive time.Duration) (bool, error) {
	c, err := p.acquire(m.Address)
	if err != nil {
		return false, err
	}
	defer p.release(c)
	request := &peerpb.HoldRequest{Sender: p.sender, HoldId: m.HoldID, GroupId: groupID, Account: m.Account, Tokens: m.Tokens, TtlMs: timeToLive.Milliseconds()}
	response, err := peerpb.NewSidecarClient(c.conn).Hold(ctx, request)
	if err != nil {
		return false, eris.Wrapf(err, "renew hold at %s", m.Endpoint)
	}
	return response.Held, nil
}

// ReleaseHold releases a member's hold.
func (p *ConnectionPool) ReleaseHold(ctx context.Context, m group.Member) error {
	c, err := p.acquire(m.Address)
	if err != nil {
		return err
	}
	defer p.release(c)
	_, err = peerpb.NewSidecarClient(c.conn).ReleaseHold(ctx, &peerpb.ReleaseHoldRequest{Sender: p.sender, HoldId: m.HoldID})
	return eris.Wrapf(err, "release hold at %s", m.Endpoint)
}

func (p *ConnectionPool) acquire(address string) (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[address]
	if c == nil {
		p.evictIdle()
		conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(p.credentials), grpc.WithDisableServiceConfig())
		if err != nil {
			return nil, eris.Wrapf(err, "create client for %s", address)
		}
		c = &connection{conn: conn}
		p.conns[address] = c
	}
	c.lastUsed = time.Now()
	c.activeCalls++
	return c, nil
}

func (p *ConnectionPool) release(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.activeCalls--
}

// evictIdle closes the least recently used idle connection, if there is one and
// the pool is full.
func (p *ConnectionPool) evictIdle() {
	if len(p.conns) < maxConnections {
		return
	}
	leastRecent := ""
	for address, c := range p.conns {
		if c.activeCalls == 0 && (leastRecent == "" || c.lastUsed.Before(p.conns[leastRecent].lastUsed)) {
			leastRecent = address
		}
	}
	if leastRecent != "" {
		p.conns[leastRecent].conn.Close()
		delete(p.conns, leastRecent)
	}
}

// Close closes all connections.
func (p *ConnectionPool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.conn.Close()
	}
	clear(p.conns)
}
