// Package peerclient reaches the sidecars of the other members of a group.
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

// maxConnections bounds the connections kept. A group has few members, and a
// connection that made room is dialled again.
const maxConnections = 64

// ConnectionPool holds connections to other sidecars.
type ConnectionPool struct {
	sender      *peerpb.Sender
	credentials credentials.TransportCredentials
	mu          sync.Mutex
	conns       map[string]*connection
}

type connection struct {
	conn *grpc.ClientConn
	used time.Time
	// users counts calls under way, which keep the connection open.
	users int
}

// NewConnectionPool returns an empty pool whose calls carry the sender.
func NewConnectionPool(sender *peerpb.Sender, c credentials.TransportCredentials) *ConnectionPool {
	return &ConnectionPool{sender: sender, credentials: c, conns: map[string]*connection{}}
}

// RenewHold moves the expiry of a member's hold and reports whether the member
// still has it.
func (p *ConnectionPool) RenewHold(ctx context.Context, m group.Member, groupID string, timeToLive time.Duration) (bool, error) {
	c, err := p.take(m.Address)
	if err != nil {
		return false, err
	}
	defer p.giveBack(c)
	request := &peerpb.HoldRequest{Sender: p.sender, HoldId: m.HoldID, GroupId: groupID, Tokens: m.Tokens, TtlMs: timeToLive.Milliseconds()}
	response, err := peerpb.NewSidecarClient(c.conn).Hold(ctx, request)
	if err != nil {
		return false, eris.Wrapf(err, "renew hold at %s", m.Endpoint)
	}
	return response.Held, nil
}

// ReleaseHold ends a member's hold.
func (p *ConnectionPool) ReleaseHold(ctx context.Context, m group.Member) error {
	c, err := p.take(m.Address)
	if err != nil {
		return err
	}
	defer p.giveBack(c)
	_, err = peerpb.NewSidecarClient(c.conn).ReleaseHold(ctx, &peerpb.ReleaseHoldRequest{Sender: p.sender, HoldId: m.HoldID})
	return eris.Wrapf(err, "release hold at %s", m.Endpoint)
}

func (p *ConnectionPool) take(address string) (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[address]
	if c == nil {
		p.makeRoom()
		conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(p.credentials), grpc.WithDisableServiceConfig())
		if err != nil {
			return nil, eris.Wrapf(err, "connect to sidecar at %s", address)
		}
		c = &connection{conn: conn}
		p.conns[address] = c
	}
	c.used = time.Now()
	c.users++
	return c, nil
}

func (p *ConnectionPool) giveBack(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.users--
}

// makeRoom closes the connection that has been idle for longest.
func (p *ConnectionPool) makeRoom() {
	if len(p.conns) < maxConnections {
		return
	}
	oldest := ""
	for address, c := range p.conns {
		if c.users == 0 && (oldest == "" || c.used.Before(p.conns[oldest].used)) {
			oldest = address
		}
	}
	if oldest != "" {
		p.conns[oldest].conn.Close()
		delete(p.conns, oldest)
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
