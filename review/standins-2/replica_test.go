package cases

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a stand-in of a replica. It registers itself in the store, runs slots requests at a
// time and queues the others, and accepts maxConns channels; any beyond that are reset.
type replica struct {
	store                        *store
	record                       *record
	id, service, zone, address   string
	slots, maxConns              int
	work                         chan struct{}
	conns                        atomic.Int64
	mostConns, atLimit, runCount atomic.Int64
	idle                         time.Duration
	// readBuffer is the receive buffer of a channel, 0 for the usual one. The replica reads
	// pauseAfter bytes of a body and then none for pause, if that is not 0.
	readBuffer, pauseAfter int
	pause                  time.Duration
	// isQuiet leaves the single runs out of the record.
	isQuiet bool
	// run answers a request that has a slot.
	run func(c *replicaConn, r *http.Request, body []byte)

	mu     sync.Mutex
	open   map[net.Conn]bool
	seq    int
	born   int64
	state  string
	ended  chan struct{}
	listen net.Listener
}

// replicaConn is a channel of a replica.
type replicaConn struct {
	net.Conn
	replica *replica
	// isOver is set if the channel is not to be used again.
	isOver bool
}

func newReplica(s *store, rec *record, service, zone string, slots, maxConns int) (*replica, error) {
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return nil, err
	}
	p := &replica{
		store: s, record: rec, id: "i-" + newID()[:8], service: service, zone: zone, address: l.Addr().String(), slots: slots, maxConns: maxConns,
		work: make(chan struct{}, slots), idle: 5 * time.Second, open: map[net.Conn]bool{}, state: "ready", born: time.Now().UnixMilli(), ended: make(chan struct{}), listen: l,
	}
	return p, nil
}

func (p *replica) start() {
	go p.beat()
	go p.accept()
}

func (p *replica) entry() map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	return map[string]any{"backend": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": p.slots, "state": p.state, "cold_left_ms": 0, "seq": p.seq, "born": p.born}
}

// heartbeat is the time between two reports of a replica.
const heartbeat = 1200 * time.Millisecond

func (p *replica) beat() {
	p.store.put("servers/"+p.id, p.entry())
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			p.store.put("servers/"+p.id, p.entry())
		case <-p.ended:
			return
		}
	}
}

// leave drains the replica as the platform does before a planned shutdown: it reports that it
// drains, serves on for the drain time and half a second, and then ends.
func (p *replica) leave(drainTime time.Duration) {
	p.mu.Lock()
	p.state = "draining"
	p.mu.Unlock()
	p.store.put("servers/"+p.id, p.entry())
	p.record.add("replica %s drains", p.id)
	time.Sleep(drainTime + 500*time.Millisecond)
	p.end()
	p.store.remove("servers/" + p.id)
	p.record.add("replica %s has ended; it ran %d requests", p.id, p.runCount.Load())
}

// end ends the replica's process.
func (p *replica) end() {
	close(p.ended)
	_ = p.listener().Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		_ = c.Close()
	}
}

// accept accepts channels up to the limit. At the limit the replica does not listen, so that its
// system resets further channels ("A port with no listener resets the channel").
func (p *replica) accept() {
	for {
		n, err := p.listener().Accept()
		if err != nil {
			return
		}
		count := p.conns.Add(1)
		if count > p.mostConns.Load() {
			p.mostConns.Store(count)
		}
		if p.readBuffer > 0 {
			_ = n.(*net.TCPConn).SetReadBuffer(p.readBuffer)
		}
		go p.serve(&replicaConn{Conn: n, replica: p})
		if count >= int64(p.maxConns) && !p.awaitChannel() {
			return
		}
	}
}

func (p *replica) listener() net.Listener {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listen
}

// awaitChannel stops to listen until the replica has fewer channels than its limit. It returns
// false if the replica has ended.
func (p *replica) awaitChannel() bool {
	_ = p.listener().Close()
	p.atLimit.Add(1)
	p.record.add("replica %s has %d channels and takes no more", p.id, p.maxConns)
	for p.conns.Load() >= int64(p.maxConns) {
		select {
		case <-p.ended:
			return false
		case <-time.After(time.Millisecond):
		}
	}
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		p.record.add("replica %s can't listen again: %v", p.id, err)
		return false
	}
	p.record.add("replica %s takes channels again", p.id)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listen = l
	return true
}

func (p *replica) serve(c *replicaConn) {
	p.mu.Lock()
	p.open[c.Conn] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.open, c.Conn)
	}()
	defer p.conns.Add(-1)
	defer c.Close()
	reader := bufio.NewReader(c)
	for !c.isOver {
		_ = c.SetReadDeadline(time.Now().Add(p.idle))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		body, err := p.readBody(r)
		if err != nil {
			p.record.add("replica %s got %d bytes of the body of %s, and then: %v", p.id, len(body), r.Header.Get("Attempt-Id"), err)
			return
		}
		if id := r.Header.Get("Expect-Replica"); id != "" && id != p.id {
			c.reply(http.StatusMisdirectedRequest, r, "", nil, "Replica-Id: "+p.id, "Not-Executed: 1")
			continue
		}
		p.work <- struct{}{}
		p.runCount.Add(1)
		if !p.isQuiet {
			p.record.add("replica %s runs %s (%s)", p.id, r.Header.Get("Attempt-Id"), r.URL.Path)
		}
		p.run(c, r, body)
		<-p.work
	}
}

// readBody reads the body of a request, with a pause in a long one.
func (p *replica) readBody(r *http.Request) ([]byte, error) {
	if p.pause == 0 || r.ContentLength <= int64(p.pauseAfter) {
		return io.ReadAll(r.Body)
	}
	first := make([]byte, p.pauseAfter)
	if n, err := io.ReadFull(r.Body, first); err != nil {
		return first[:n], err
	}
	time.Sleep(p.pause)
	rest, err := io.ReadAll(r.Body)
	return append(first, rest...), err
}

// reply writes an answer of known length.
func (c *replicaConn) reply(status int, r *http.Request, stamp string, body []byte, headers ...string) {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nContent-Length: %d\r\nKeep-Alive: timeout=%d\r\n", status, http.StatusText(status), r.Header.Get("Attempt-Id"), len(body), int(c.replica.idle.Seconds()))
	if stamp != "" {
		text += "Replica-Stamp: " + stamp + "\r\n"
	}
	for _, h := range headers {
		text += h + "\r\n"
	}
	if _, err := c.Write(append([]byte(text+"\r\n"), body...)); err != nil {
		c.isOver = true
	}
}

// chunk writes one chunk of a stream, or its end.
func (c *replicaConn) chunk(data string) bool {
	if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(data), data); err != nil {
		c.isOver = true
	}
	return !c.isOver
}

// stream answers with count events, or with those after Last-Event-Id: the first one after the
// given time and then one every gap.
func (c *replicaConn) stream(r *http.Request, stamp string, first time.Duration, count int, gap time.Duration) bool {
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nReplica-Stamp: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=%d\r\n\r\n", r.Header.Get("Attempt-Id"), stamp, int(c.replica.idle.Seconds())); err != nil {
		c.isOver = true
		return false
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without one
	for i := last + 1; i <= count; i++ {
		if i == last+1 {
			time.Sleep(first)
		} else {
			time.Sleep(gap)
		}
		if !c.chunk(fmt.Sprintf("id: %d\ndata: piece %d of %d for %s\n\n", i, i, count, r.Header.Get("Attempt-Id"))) {
			return false
		}
	}
	return c.chunk("")
}
