package http1

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxMethod is longer than any registered method (RFC 9110 and the IANA list,
// of which UPDATEREDIRECTREF with 17 letters is the longest).
const maxMethod = 32

// tokenMarks are the characters of a token beside letters and digits (RFC 9110,
// section 5.6.2).
const tokenMarks = "!#$%&'*+-.^_`|~"

// plausible reports whether the bytes can continue a request. net/http waits
// for the end of a line before it looks at one.
func (c *conn) plausible(data []byte) bool {
	for _, b := range data {
		if c.methodEnd {
			return true
		}
		switch {
		case b == '\r' || b == '\n':
			c.methodEnd = true // net/http answers to a line that is no request
		case b == ' ' && (c.method > 0 || c.later):
			c.methodEnd = true
		case b >= '0' && b <= '9', b >= 'A' && b <= 'Z', b >= 'a' && b <= 'z', strings.IndexByte(tokenMarks, b) >= 0:
			if c.method++; c.method > maxMethod {
				return false
			}
		default:
			return false
		}
	}
	return true
}

// answerWait bounds the write of a short answer.
const answerWait = time.Second

// reject answers in place of net/http and returns the end of the input.
func (c *conn) reject(status int) error {
	c.waiting.Store(false)
	c.answered.Store(true)
	c.server.config.OnReject(Rejection{CallerAddress: c.RemoteAddr().String(), Status: status})
	text := fmt.Sprintf("%d %s", status, http.StatusText(status))
	_ = c.SetWriteDeadline(time.Now().Add(answerWait))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", text, len(text), text) // a caller that has left reads no answer
	_ = c.CloseWrite()
	return io.EOF
}

// statusOf reads the status of an answer's first bytes, or 0.
func statusOf(answer []byte) int {
	head, _, _ := strings.Cut(string(answer[:min(len(answer), 16)]), "\r")
	fields := strings.Fields(head)
	if len(fields) < 2 {
		return 0
	}
	status, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return status
}

const (
	// drainTime and drainBytes bound what is read of a caller that still writes
	// after its answer; net/http keeps such a connection for 0.5 s.
	drainTime  = 500 * time.Millisecond
	drainBytes = 16 << 20
)

// CloseWrite ends the answer and reads on for a while: a connection that is
// closed with unread bytes is reset, and the caller may lose its answer.
func (c *conn) CloseWrite() error {
	if !c.ending.CompareAndSwap(false, true) {
		return nil
	}
	// Connections of a limited listener have no half to close.
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // one that is closed ends the read below
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(drainTime))
	go func() {
		defer c.Conn.Close()
		_, _ = io.CopyN(io.Discard, c.Conn, drainBytes) // ends at the caller's end or the limit
	}()
	return nil
}

// Close ends the connection, of an ending one after its drain.
func (c *conn) Close() error {
	c.server.track(c, false)
	if c.ending.Load() {
		return nil
	}
	return c.Conn.Close()
}

var _ net.Conn = (*conn)(nil)
