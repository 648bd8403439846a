package faultproxy

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// AtLimit selects what a proxy does with connections beyond its limit.
type AtLimit string

const (
	// Refuse does not listen, so that the operating system refuses the connections.
	Refuse AtLimit = "refuse"
	// ResetAtOnce accepts the connections and resets them.
	ResetAtOnce AtLimit = "reset at once"
	// ResetLate accepts the connections and resets them after their first bytes have arrived.
	ResetLate AtLimit = "reset late"
	// Ignore accepts no connections, so that their opening gets no answer once the accept queue
	// is full.
	Ignore AtLimit = "ignore"
)

// AtLimits are all of them.
var AtLimits = []AtLimit{Refuse, ResetAtOnce, ResetLate, Ignore}

// limitInterval is the time between two looks at the number of open connections.
const limitInterval = time.Millisecond

// SetLimit limits the number of open connections; 0 means no limit.
func (p *Proxy) SetLimit(limit int, how AtLimit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit, p.atLimit = limit, how
	if limit > 0 && how == Ignore {
		setAcceptQueue(p.listener, 0)
	}
}

// setAcceptQueue sets the length of the accept queue of a listener.
func setAcceptQueue(l net.Listener, length int) {
	c, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return // the listener is closed
	}
	_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), length) }) // fails only for a closed listener
}

// limitState returns whether another connection is beyond the limit, and what happens to it.
func (p *Proxy) limitState() (isBeyond bool, how AtLimit, isClosed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limit > 0 && p.open >= p.limit, p.atLimit, p.isClosed
}

func (p *Proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if isBeyond, how, _ := p.limitState(); isBeyond && how != Ignore {
			go turnAway(c, how)
			continue
		}
		p.addOpen(1)
		go func() {
			defer p.addOpen(-1)
			p.handleConnection(c)
		}()
		if l = p.awaitRoom(l); l == nil {
			return
		}
	}
}

func (p *Proxy) addOpen(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open += n
}

// turnAway resets a connection.
func turnAway(c net.Conn, how AtLimit) {
	if how == ResetLate {
		_, _ = c.Read(make([]byte, 1)) // the connection ends whatever arrives
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is already closed
	}
	_ = c.Close()
}

// awaitRoom waits while connections beyond the limit are refused or ignored, and returns the
// listener for the next one, or nil if the proxy is closed.
func (p *Proxy) awaitRoom(l net.Listener) net.Listener {
	for isListening := true; ; time.Sleep(limitInterval) {
		isBeyond, how, isClosed := p.limitState()
		switch {
		case isClosed:
			return nil
		case isBeyond && how == Refuse && isListening:
			_ = l.Close()
			isListening = false
		case isBeyond && (how == Refuse || how == Ignore):
		case isListening:
			return l
		default:
			if again := p.listenAgain(); again != nil {
				return again
			}
		}
	}
}

// listenAgain opens the port again. It returns nil if another socket has the port at present.
func (p *Proxy) listenAgain() net.Listener {
	l, err := net.Listen("tcp4", p.address)
	if err != nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed {
		_ = l.Close()
		return nil
	}
	p.listener = l
	return l
}

// queueTime returns how long the bytes that have arrived on a connection have waited for its accept,
// or 0 if none have.
func queueTime(c net.Conn) time.Duration {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	var d time.Duration
	_ = raw.Control(func(fd uintptr) { // fails only for a closed connection
		n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		if err != nil || n == 0 {
			return
		}
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			d = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return d
}

// QueueTime returns how long the first bytes of a connection have waited until the proxy accepted it,
// since a limit was reached. The address is the one from which the target got the connection.
func (p *Proxy) QueueTime(address string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queued[address]
}
