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

// streamWindowBytes limits how much a sidecar can send ahead of a caller that does
// not read. A fixed window also disables gRPC's dynamic window, which can grow to
// 16 MiB.
const streamWindowBytes = 256 << 10

// connectionWindowBytes allows 16 streams to fill their windows at the same time.
const connectionWindowBytes = 16 * streamWindowBytes

// maxMessageBytes limits the size of a message from a sidecar. Chunks are much
// smaller.
const maxMessageBytes = 4 << 20

// ConnectionPool holds gRPC connections by address. Idle connections beyond the
// limit are closed, the least recently used first. Connections in use are not
// evicted, so the limit can be exceeded temporarily.
type ConnectionPool struct {
	limit       int
	dialTimeout time.Duration
	options     []grpc.DialOption

	mu        sync.Mutex
	byAddress map[string]*list.Element
	lru       *list.List
}

type connection struct {
	address string
	conn    *grpc.ClientConn
	refs    int
}

// NewConnectionPool returns an empty pool. The options are used for each dial.
func NewConnectionPool(limit int, dialTimeout time.Duration, c credentials.TransportCredentials, options ...grpc.DialOption) *ConnectionPool {
	return &ConnectionPool{
		limit: limit, dialTimeout: dialTimeout,
		options:   append(options, grpc.WithTransportCredentials(c)),
		byAddress: map[string]*list.Element{}, lru: list.New(),
	}
}

// Get returns a ready connection to the address and a function that releases it.
// If it fails, nothing was sent.
func (c *ConnectionPool) Get(ctx context.Context, address string) (*grpc.ClientConn, func(), error) {
	entry, err := c.acquire(address)
	if err != nil {
		return nil, nil, err
	}
	release := sync.OnceFunc(func() { c.release(entry) })
	if err := c.awaitReady(ctx, entry.conn); err != nil {
		release()
		return nil, nil, err
	}
	return entry.conn, release, nil
}

func (c *ConnectionPool) acquire(address string) (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if element, ok := c.byAddress[address]; ok {
		c.lru.MoveToFront(element)
		entry := element.Value.(*connection)
		entry.refs++
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
	entry := &connection{address: address, conn: conn, refs: 1}
	c.byAddress[address] = c.lru.PushFront(entry)
	c.evict()
	return entry, nil
}

func (c *ConnectionPool) release(entry *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry.refs--
	c.evict()
}

func (c *ConnectionPool) evict() {
	element := c.lru.Back()
	for element != nil && c.lru.Len() > c.limit {
		previous := element.Prev()
		if entry := element.Value.(*connection); entry.refs == 0 {
			c.lru.Remove(element)
			delete(c.byAddress, entry.address)
			entry.conn.Close()
		}
		element = previous
	}
}

// awaitReady waits until the connection is ready, so that a dial is limited by the
// dial timeout rather than by the deadline of the stream opened on it.
func (c *ConnectionPool) awaitReady(ctx context.Context, conn *grpc.ClientConn) error {
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

// Len returns the number of connections, including idle ones.
func (c *ConnectionPool) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lru.Len()
}

// Close closes all connections, including those in use.
func (c *ConnectionPool) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for element := c.lru.Front(); element != nil; element = element.Next() {
		element.Value.(*connection).conn.Close()
	}
	c.lru.Init()
	clear(c.byAddress)
}
