package sidecar

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
)

// streamWindowBytes bounds what a sidecar can send ahead of a caller that does
// not read. A fixed window also turns off gRPC's growth of windows to 16 MiB.
const streamWindowBytes = 256 << 10

// connectionWindowBytes lets 16 streams fill their windows at a time.
const connectionWindowBytes = 16 * streamWindowBytes

// maxMessageBytes bounds one message from a sidecar; chunks are far smaller.
const maxMessageBytes = 4 << 20

// ConnectionPool keeps gRPC connections by address. Idle ones beyond the limit
// are closed, the least recently used first; connections in use are never
// closed, so the limit can be exceeded for a time.
type ConnectionPool struct {
	limit       int
	dialTimeout time.Duration
	options     []grpc.DialOption

	mu        sync.Mutex
	byAddress map[string]*list.Element
	recent    *list.List
}

type connection struct {
	address string
	conn    *grpc.ClientConn
	users   int
}

// NewConnectionPool returns an empty set. Options are added to those of each dial.
func NewConnectionPool(limit int, dialTimeout time.Duration, c credentials.TransportCredentials, options ...grpc.DialOption) *ConnectionPool {
	return &ConnectionPool{
		limit: limit, dialTimeout: dialTimeout,
		options:   append(options, grpc.WithTransportCredentials(c)),
		byAddress: map[string]*list.Element{}, recent: list.New(),
	}
}

// Get returns a ready connection to the address and a function that gives it
// back. An error means that nothing was sent.
func (c *ConnectionPool) Get(ctx context.Context, address string) (*grpc.ClientConn, func(), error) {
	entry, err := c.take(address)
	if err != nil {
		return nil, nil, err
	}
	release := sync.OnceFunc(func() { c.release(entry) })
	if err := c.ready(ctx, entry.conn); err != nil {
		release()
		return nil, nil, err
	}
	return entry.conn, release, nil
}

func (c *ConnectionPool) take(address string) (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if element, ok := c.byAddress[address]; ok {
		c.recent.MoveToFront(element)
		entry := element.Value.(*connection)
		entry.users++
		return entry, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address, append(c.options[:len(c.options):len(c.options)],
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithIdleTimeout(0),
		grpc.WithInitialWindowSize(streamWindowBytes),
		grpc.WithInitialConnWindowSize(connectionWindowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
			MinConnectTimeout: c.dialTimeout,
		}))...)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to sidecar %s", address)
	}
	entry := &connection{address: address, conn: conn, users: 1}
	c.byAddress[address] = c.recent.PushFront(entry)
	c.evict()
	return entry, nil
}

func (c *ConnectionPool) release(entry *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry.users--
	c.evict()
}

func (c *ConnectionPool) evict() {
	element := c.recent.Back()
	for element != nil && c.recent.Len() > c.limit {
		previous := element.Prev()
		if entry := element.Value.(*connection); entry.users == 0 {
			c.recent.Remove(element)
			delete(c.byAddress, entry.address)
			entry.conn.Close()
		}
		element = previous
	}
}

// ready waits for the connection. Without the wait, the stream would be opened
// on a connection still being dialled and the dial would share its deadline.
func (c *ConnectionPool) ready(ctx context.Context, conn *grpc.ClientConn) error {
	ctx, cancel := context.WithTimeout(ctx, c.dialTimeout)
	defer cancel()
	for {
		state := conn.GetState()
		switch state {
		case connectivity.Ready:
			return nil
		case connectivity.Idle:
			conn.Connect()
		case connectivity.TransientFailure:
			return eris.Errorf("dial %s: connection refused or broken", conn.Target())
		case connectivity.Shutdown:
			return eris.Errorf("dial %s: connection closed", conn.Target())
		}
		if !conn.WaitForStateChange(ctx, state) {
			return eris.Wrapf(ctx.Err(), "dial %s", conn.Target())
		}
	}
}

// Len returns the number of connections.
func (c *ConnectionPool) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recent.Len()
}

// Close closes all connections.
func (c *ConnectionPool) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for element := c.recent.Front(); element != nil; element = element.Next() {
		element.Value.(*connection).conn.Close()
	}
	c.recent.Init()
	clear(c.byAddress)
}
