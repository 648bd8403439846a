package http1

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"siskinstand.example/coord/bytebudget"
)

const (
	// connectionBytes is what an open connection is charged: its goroutine, its buffers and the
	// first part of a header take about 16 KB.
	connectionBytes = 16 << 10
	// includedHeaderBytes is the part of a header that connectionBytes includes. Each further byte
	// is charged headerCost times: half a header of 15 KB took 30 to 50 KB.
	includedHeaderBytes = 4 << 10
	headerCost          = 3
	// headerChargeStep is the number of header bytes that are charged at once.
	headerChargeStep = 4 << 10
	// connectionMargin is the divisor for how far the number of connections may exceed
	// MaxConnections while others are being closed by the server or were closed by their callers.
	connectionMargin = 8
	// maxInspected limits how many connections are inspected to admit one.
	maxInspected = 256
)

// admit charges a new connection and makes room for it by cutting off a stalled one, or takes the
// room of one that its caller has closed. It returns false if there is no room; the connection is
// then refused.
func (s *Server) admit(c *conn) bool {
	if limit := s.config.MaxConnections; limit > 0 {
		open := s.openCount()
		hasRoom := open < limit || s.config.Memory.EvictStalled() || s.haveClosed(open-limit+1)
		if !hasRoom || open >= limit+max(limit/connectionMargin, 1) {
			return false
		}
	}
	source, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	c.claim = s.config.Memory.Open(bytebudget.KindHeader, source, "", c.cutOff)
	return c.claim.TryGrow(connectionBytes) == nil
}

func (s *Server) openCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// haveClosed reports whether at least n callers have closed their connections, as far as a sample
// of the open ones tells. On a busy host such connections remain until their goroutines have run.
func (s *Server) haveClosed(n int) bool {
	s.mu.Lock()
	sample := make([]*conn, 0, min(len(s.conns), maxInspected))
	for c := range s.conns {
		if len(sample) == cap(sample) {
			break
		}
		sample = append(sample, c)
	}
	s.mu.Unlock()
	for _, c := range sample {
		if n <= 0 {
			break
		}
		if c.isClosedByCaller() {
			n--
		}
	}
	return n <= 0
}

// refuse answers a connection that is not admitted, without reading its request.
func (s *Server) refuse(c *conn) {
	c.sendRejection(http.StatusServiceUnavailable, "Retry-After: 1\r\n")
	_ = c.Close()
}

// cutOff closes a connection whose claim gave way. It does not block.
func (c *conn) cutOff() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.awaitsHeader.Load() {
		return // a request has arrived; see updateState
	}
	if c.isBusy {
		c.isCutOff = true
	} else {
		c.isRetired = true
	}
	_ = c.Conn.SetReadDeadline(time.Now()) // ends the wait of Read; a closed connection has no reader
}

// keepRequest takes back a cutOff that came when the header was already complete. awaitsHeader is
// false.
func (c *conn) keepRequest() {
	c.claim.Revive()
	_ = c.claim.SetPhase(bytebudget.PhaseInUse) // never fails after Revive
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isCutOff {
		c.isCutOff = false
		_ = c.Conn.SetReadDeadline(time.Time{}) // fails only for a closed connection, whose next read fails too
	}
}

// chargeHeader charges the header that is arriving. It returns false if there is no memory for it.
func (c *conn) chargeHeader(n int) bool {
	c.claim.Progress(int64(n))
	for c.receivedBytes > c.chargedBytes+includedHeaderBytes {
		if c.claim.TryGrow(headerCost*headerChargeStep) != nil {
			return false
		}
		c.chargedBytes += headerChargeStep
	}
	return true
}

// releaseHeader returns what chargeHeader has charged.
func (c *conn) releaseHeader() {
	if c.chargedBytes > 0 {
		c.claim.Shrink(int64(headerCost * c.chargedBytes))
		c.chargedBytes = 0
	}
}

// sendRejection reports a rejection and sends an error response without involving net/http.
func (c *conn) sendRejection(status int, fields string) {
	c.awaitsHeader.Store(false)
	c.isRejected.Store(true)
	c.server.config.OnReject(Rejection{CallerAddress: c.RemoteAddr().String(), Status: status})
	text := fmt.Sprintf("%d %s", status, http.StatusText(status))
	_ = c.SetWriteDeadline(time.Now().Add(rejectWriteTimeout))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %s\r\n%sContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", text, fields, len(text), text) // the caller may have disconnected
	_ = c.CloseWrite()
}
