// Package faultproxy is a TCP relay on loopback between two programs under test, with
// the failures of a network as switches.
package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Mode is how a link treats the bytes that it gets.
type Mode string

// The states of a link. Bytes that a state holds back are delivered once the
// link is open again, unless their connection has ended by then.
const (
	// Forward passes everything.
	Forward Mode = ""
	// Delay passes everything late.
	Delay Mode = "slow"
	// Blackhole passes nothing; connections are accepted and stay open.
	Blackhole Mode = "silent"
	// ToServerOnly passes only what the connecting side sends.
	ToServerOnly Mode = "to_server"
	// ToClientOnly passes only what the connecting side gets.
	ToClientOnly Mode = "to_client"
	// Reset resets all connections, new ones included.
	Reset Mode = "reset"
)

// slowBy is the delay of each read of a slow link.
const slowBy = 60 * time.Millisecond

// Proxy is a relay. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener

	mu      sync.Mutex
	target  string
	state   Mode
	changed chan struct{}
	pairs   map[*pair]bool
}

// pair is one connection through the link.
type pair struct {
	client, server net.Conn
	// dead connections pass nothing more, though they stay open.
	dead bool
}

// New starts a link to a target.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &Proxy{listener: l, target: target, changed: make(chan struct{}), pairs: map[*pair]bool{}}
	go k.accept()
	return k, nil
}

// Address is where the link listens.
func (k *Proxy) Address() string { return k.listener.Addr().String() }

// Close ends the link and its connections.
func (k *Proxy) Close() {
	_ = k.listener.Close() // ends accept, whatever it returns
	k.SetMode(Reset)
}

// SetMode changes the state.
func (k *Proxy) SetMode(s Mode) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state = s
	if s == Reset {
		for p := range k.pairs {
			p.reset()
		}
	}
	k.wake()
}

// SetTarget sends new connections elsewhere.
func (k *Proxy) SetTarget(address string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.target = address
}

// BlackholeConnections silences the open connections for good; new ones work.
func (k *Proxy) BlackholeConnections() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.pairs {
		p.dead = true
	}
	k.wake()
}

// ResetBlackholed resets the connections that Drop has silenced, as the probes of
// their ends would in time.
func (k *Proxy) ResetBlackholed() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.pairs {
		if p.dead {
			p.reset()
			delete(k.pairs, p)
		}
	}
	k.wake()
}

func (k *Proxy) wake() {
	close(k.changed)
	k.changed = make(chan struct{})
}

func (p *pair) reset() {
	for _, c := range []net.Conn{p.client, p.server} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a connection that is closed needs no reset
		}
		_ = c.Close()
	}
}

func (k *Proxy) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.connect(c)
	}
}

func (k *Proxy) connect(client net.Conn) {
	k.mu.Lock()
	target := k.target
	k.mu.Unlock()
	p := &pair{client: client}
	server, err := net.Dial("tcp4", target)
	if err != nil {
		p.server = client
		p.reset()
		return
	}
	p.server = server
	k.mu.Lock()
	k.pairs[p] = true
	if k.state == Reset {
		p.reset()
	}
	k.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { k.pump(p, client, server, ToClientOnly) })
	both.Go(func() { k.pump(p, server, client, ToServerOnly) })
	both.Wait()
	k.mu.Lock()
	delete(k.pairs, p)
	k.mu.Unlock()
	client.Close()
	server.Close()
}

// hold waits until the link passes bytes of one direction, which a state of its
// own blocks, and returns the state.
func (k *Proxy) hold(p *pair, blocking Mode) Mode {
	for {
		k.mu.Lock()
		state, dead, changed, open := k.state, p.dead, k.changed, k.pairs[p]
		k.mu.Unlock()
		if !open || state == Reset || !dead && state != Blackhole && state != blocking {
			return state
		}
		<-changed
	}
}

const bufferBytes = 16 << 10

func (k *Proxy) pump(p *pair, from, to net.Conn, blocking Mode) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if k.hold(p, blocking) == Delay {
			time.Sleep(slowBy)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				p.reset()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // the other side may have left too
			}
			return
		case err != nil:
			p.reset()
			return
		}
	}
}
