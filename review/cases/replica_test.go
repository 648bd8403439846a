package cases

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// ReplicaConfig describes a replica.
type ReplicaConfig struct {
	ID, Service, Zone string
	Slots             int
	Store             *Store
	// Handle answers a request whose header has been read. It returns false if the channel
	// is to be closed. Body bytes that it has not read stay unread.
	Handle func(x *Exchange) bool
}

// Replica is a stand-in for a replica.
type Replica struct {
	Config  ReplicaConfig
	Address string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	isUp     bool
	born     int64
	boot     int
	hasLeft  bool
	runs     int
	seq      int
	coldTill time.Time
}

// Exchange is one request on a channel.
type Exchange struct {
	Replica *Replica
	Conn    net.Conn
	Request *http.Request
	ID      string
	// State belongs to the handler and lives as long as the channel.
	State *any
}

// NewReplica returns a replica that is not started.
func NewReplica(c ReplicaConfig) *Replica {
	return &Replica{Config: c, Address: FreeAddress(), conns: map[net.Conn]bool{}}
}

const (
	// segmentBytes is the segment size of an Ethernet network.
	segmentBytes = 1460
	// windowBytes is the receive buffer of a channel. The platform's links have small
	// windows, so that a peer that does not read blocks the writer.
	windowBytes = 64 << 10
)

// useSmallWindow gives the channels of a listener the segments and windows of a network
// between machines in place of those of the loopback device.
func useSmallWindow(_, _ string, c syscall.RawConn) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		if err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes); err != nil {
			return
		}
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
	})
	return errors.Join(controlErr, err)
}

// Start starts the replica's process anew: it listens and registers.
func (r *Replica) Start() error {
	l, err := (&net.ListenConfig{Control: useSmallWindow}).Listen(context.Background(), "tcp4", r.Address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listener, r.isUp, r.born = l, true, time.Now().UnixMilli()
	r.boot++
	boot := r.boot
	r.mu.Unlock()
	go r.accept(l)
	r.register()
	go func() {
		// The status report, about every heartbeat_ms.
		for range time.Tick(1200 * time.Millisecond) {
			r.mu.Lock()
			isCurrent := r.isUp && r.boot == boot
			r.mu.Unlock()
			if !isCurrent {
				return
			}
			r.register()
		}
	}()
	return nil
}

func (r *Replica) register() {
	r.mu.Lock()
	if r.hasLeft {
		r.mu.Unlock()
		return
	}
	r.seq++
	entry := map[string]any{
		"backend": r.Config.Service, "address": r.Address, "zone": r.Config.Zone, "version": "v1", "slots": r.Config.Slots,
		"state": "ready", "cold_left_ms": max(time.Until(r.coldTill).Milliseconds(), 0), "seq": r.seq, "born": r.born,
	}
	r.mu.Unlock()
	r.Config.Store.Report("servers/"+r.Config.ID, entry)
}

// Crash ends the replica's process at once: its listener and its channels are reset. Its
// entry stays until three status reports are missing. It returns false if the process has
// ended before.
func (r *Replica) Crash() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isUp {
		return false
	}
	r.isUp = false
	_ = r.listener.Close()
	for c := range r.conns {
		reset(c)
	}
	r.conns = map[net.Conn]bool{}
	boot := r.boot
	go func() {
		time.Sleep(3600 * time.Millisecond)
		r.mu.Lock()
		isGone := !r.isUp && r.boot == boot
		r.mu.Unlock()
		if isGone {
			r.Config.Store.Remove("servers/" + r.Config.ID)
		}
	}()
	return true
}

func (r *Replica) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		if !r.isUp {
			r.mu.Unlock()
			reset(c)
			continue
		}
		r.conns[c] = true
		r.mu.Unlock()
		go r.serve(c)
	}
}

func (r *Replica) serve(c net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	var state any
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		x := &Exchange{Replica: r, Conn: c, Request: req, ID: req.Header.Get("Attempt-Id"), State: &state}
		if want := req.Header.Get("Expect-Replica"); want != "" && want != r.Config.ID {
			_, _ = io.Copy(io.Discard, req.Body)
			x.Reject(http.StatusMisdirectedRequest)
			continue
		}
		if !r.Config.Handle(x) {
			return
		}
	}
}

// Stamp returns a new receipt of the replica.
func (r *Replica) Stamp() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs++
	return fmt.Sprintf("%s.%d.%d", r.Config.ID, r.boot, r.runs)
}

// ReadBody reads the whole body of the request.
func (x *Exchange) ReadBody() ([]byte, error) { return io.ReadAll(x.Request.Body) }

// Answer formats a whole answer.
func (x *Exchange) Answer(status int, stamp, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nReplica-Stamp: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), x.ID, stamp, len(body), body)
}

// Write writes bytes to the channel.
func (x *Exchange) Write(text string) bool {
	_, err := io.WriteString(x.Conn, text)
	return err == nil
}

// Reject says that the request has not run.
func (x *Exchange) Reject(status int) bool {
	return x.Write(fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), x.ID))
}

// Leave removes the replica's entry without a report that it drains. The replica goes on
// serving. It returns after the store's confirmation.
func (r *Replica) Leave() {
	r.mu.Lock()
	r.hasLeft = true
	r.mu.Unlock()
	r.Config.Store.Remove("servers/" + r.Config.ID)
}

// SetCold makes the replica cold for a time from now on.
func (r *Replica) SetCold(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.coldTill = time.Now().Add(d)
}

// IsUp reports whether the replica's process runs.
func (r *Replica) IsUp() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isUp
}
