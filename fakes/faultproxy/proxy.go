// Package faultproxy is a TCP proxy on loopback between two programs under test.
// It simulates network failures.
package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Mode selects how a proxy treats the bytes that it receives.
type Mode string

// The modes of a proxy. Bytes that a mode holds back are delivered once the mode
// allows it again, unless their connection has ended by then.
const (
	// Forward forwards all bytes.
	Forward Mode = ""
	// Delay forwards all bytes after a delay.
	Delay Mode = "slow"
	// Blackhole forwards nothing. Connections are accepted and stay open.
	Blackhole Mode = "silent"
	// ToServerOnly forwards only the bytes that the client sends.
	ToServerOnly Mode = "to_server"
	// ToClientOnly forwards only the bytes that the server sends.
	ToClientOnly Mode = "to_client"
	// Reset resets all connections, including new ones.
	Reset Mode = "reset"
)

// readDelay is the time for which the Delay mode holds back the bytes of each
// read.
const readDelay = 60 * time.Millisecond

// Proxy forwards TCP connections to a target. Its methods are safe for concurrent
// use.
type Proxy struct {
	address string

	mu       sync.Mutex
	listener net.Listener
	isClosed bool
	// limit is the number of connections beyond which atLimit applies, or 0 for none; open is
	// the number of those that count.
	limit   int
	atLimit AtLimit
	open    int
	target  string
	mode    Mode
	changed chan struct{}
	pairs   map[*connPair]bool
	// queued holds how long the connections that waited for their accept have waited; see QueueTime.
	queued map[string]time.Duration
}

// connPair is a client connection with the matching connection to the target.
type connPair struct {
	client, server net.Conn
	// blackholed connections forward nothing more, but stay open.
	blackholed bool
}

// New starts a proxy in front of a target address.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{address: l.Addr().String(), listener: l, target: target, changed: make(chan struct{}), pairs: map[*connPair]bool{}, queued: map[string]time.Duration{}}
	go p.accept(l)
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.address }

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.isClosed = true
	_ = p.listener.Close() // ends accept, even if it returns an error
	p.mu.Unlock()
	p.SetMode(Reset)
}

// SetMode changes the mode of all connections, open and new.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == Reset {
		for pair := range p.pairs {
			pair.reset()
		}
	}
	p.notifyChange()
}

// SetTarget changes the target of new connections.
func (p *Proxy) SetTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = address
}

// BlackholeConnections permanently stops forwarding on the open connections. New
// ones are not affected.
func (p *Proxy) BlackholeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.pairs {
		pair.blackholed = true
	}
	p.notifyChange()
}

// ResetBlackholed resets the connections that BlackholeConnections has stopped, as
// the keep-alive probes of their two ends would do eventually.
func (p *Proxy) ResetBlackholed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.pairs {
		if pair.blackholed {
			pair.reset()
			delete(p.pairs, pair)
		}
	}
	p.notifyChange()
}

func (p *Proxy) notifyChange() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (pair *connPair) reset() {
	for _, c := range []net.Conn{pair.client, pair.server} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only if the connection is already closed
		}
		_ = c.Close()
	}
}

func (p *Proxy) handleConnection(client net.Conn) {
	queued := queueTime(client)
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	pair := &connPair{client: client}
	server, err := net.Dial("tcp4", target)
	if err != nil {
		pair.server = client
		pair.reset()
		return
	}
	pair.server = server
	p.mu.Lock()
	p.pairs[pair] = true
	if queued > 0 {
		p.queued[server.LocalAddr().String()] = queued
	}
	if p.mode == Reset {
		pair.reset()
	}
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(pair, client, server, ToClientOnly) })
	directions.Go(func() { p.forward(pair, server, client, ToServerOnly) })
	directions.Wait()
	p.mu.Lock()
	delete(p.pairs, pair)
	p.mu.Unlock()
	client.Close()
	server.Close()
}

// awaitForwarding waits until bytes of one direction may be forwarded or the
// connection must end, and returns the mode. Blocking is the mode that blocks only
// this direction.
func (p *Proxy) awaitForwarding(pair *connPair, blocking Mode) Mode {
	for {
		p.mu.Lock()
		mode, blackholed, changed, open := p.mode, pair.blackholed, p.changed, p.pairs[pair]
		p.mu.Unlock()
		if !open || mode == Reset || !blackholed && mode != Blackhole && mode != blocking {
			return mode
		}
		<-changed
	}
}

// bufferBytes is the maximum number of bytes forwarded at once.
const bufferBytes = 16 << 10

// forward copies the bytes of one direction until the connection ends.
func (p *Proxy) forward(pair *connPair, from, to net.Conn, blocking Mode) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if p.awaitForwarding(pair, blocking) == Delay {
			time.Sleep(readDelay)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				pair.reset()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // the other side may have closed too
			}
			return
		case err != nil:
			pair.reset()
			return
		}
	}
}
