package http1

import (
	"bytes"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// maxMethodLength exceeds the length of all registered methods (RFC 9110 and the IANA
// registry). The longest one is UPDATEREDIRECTREF with 17 letters.
const maxMethodLength = 32

// tokenPunctuation contains the characters other than letters and digits that a token
// may contain (RFC 9110, section 5.6.2).
const tokenPunctuation = "!#$%&'*+-.^_`|~"

// mayBeRequest reports whether data can be the next bytes of a request, and records how
// much of the method has arrived. It checks only the method, which net/http does not
// look at before the whole line has arrived. If the first bytes of the request may have
// been read earlier, it accepts any text up to the end of the line.
func (c *conn) mayBeRequest(data []byte) bool {
	for _, b := range data {
		if c.isMethodComplete {
			return true
		}
		switch {
		case b == '\r' || b == '\n':
			c.isMethodComplete = true // net/http responds to an invalid request line
		case c.mayStartInside:
			if b < ' ' && b != '\t' || b == '\x7f' {
				return false
			}
		case b == ' ' && c.methodBytes > 0:
			c.isMethodComplete = true
		case b >= '0' && b <= '9', b >= 'A' && b <= 'Z', b >= 'a' && b <= 'z', strings.IndexByte(tokenPunctuation, b) >= 0:
			if c.methodBytes++; c.methodBytes > maxMethodLength {
				return false
			}
		default:
			return false
		}
	}
	return true
}

// endsWithEmptyLine reports whether data ends with a line break that ends an empty line.
func endsWithEmptyLine(data []byte) bool {
	return bytes.HasSuffix(data, []byte("\n\r\n")) || bytes.HasSuffix(data, []byte("\n\n"))
}

// rejectWriteTimeout limits the time to write the response of a rejection.
const rejectWriteTimeout = time.Second

// reject sends an error response and returns io.EOF, so that net/http stops reading.
func (c *conn) reject(status int) error {
	c.sendRejection(status, "")
	return io.EOF
}

// parseStatus returns the status code in the first bytes of a response, or 0.
func parseStatus(response []byte) int {
	statusLine, _, _ := strings.Cut(string(response[:min(len(response), 16)]), "\r")
	fields := strings.Fields(statusLine)
	if len(fields) < 2 {
		return 0
	}
	status, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return status
}

// Close closes the connection. A connection that is being drained is closed later, at
// the end of the drain.
func (c *conn) Close() error {
	c.isClosed.Store(true)
	c.server.track(c, false)
	c.claim.Close()
	if c.drainsOnClose.Load() {
		return c.CloseWrite()
	}
	if c.isDraining.Load() {
		return nil
	}
	if socket, ok := c.Conn.(interface{ SetLinger(int) error }); ok && c.isReset.Load() {
		_ = socket.SetLinger(0) // fails only for a closed connection
	}
	return c.Conn.Close()
}

var _ net.Conn = (*conn)(nil)
