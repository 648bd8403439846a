// Package responsehead decides which bytes are an acceptable head of an HTTP/1 response, and when
// a body that ends with its connection is complete. It is stricter than net/http, which is lenient
// with faulty servers: what it reads there depends on how it repairs the head, and a proxy would
// pass the result on as the server's response.
package responsehead

import (
	"errors"
	"fmt"
)

// ErrMalformed is the cause of every error of a Checker.
var ErrMalformed = errors.New("malformed head of the response")

const (
	versionPrefix = "HTTP/1."
	statusDigits  = 3
	minStatus     = 100
	minFinal      = 200
	maxStatus     = 599
	// switchingProtocols ends HTTP on the connection. No client here asks for it.
	switchingProtocols = 101
)

// IsFinalStatus reports whether a status is that of a final response.
func IsFinalStatus(status int) bool { return status >= minFinal && status <= maxStatus }

// Checker checks the head of a response as its bytes arrive: the status line and fields of the
// final response, and those of the interim responses before it. The zero value is at the end of
// a head.
type Checker struct {
	next step
	err  error
	// count is the number of bytes of the current element.
	count  int
	minor  byte
	status int
	// isCoding is true while the bytes of a name are those of codingName.
	isCoding bool
}

// step handles one byte of a head and returns the step for the next one, or nil if the head has
// ended.
type step func(*Checker, byte) step

// Reset starts with a new head.
func (c *Checker) Reset() { *c = Checker{next: (*Checker).version} }

// IsOpen reports whether the head is still incomplete and acceptable so far.
func (c *Checker) IsOpen() bool { return c.next != nil }

// Err returns why the head is not acceptable, or nil.
func (c *Checker) Err() error { return c.err }

// Feed checks the next bytes. It ignores those after the end of the head.
func (c *Checker) Feed(p []byte) {
	for i := 0; i < len(p) && c.next != nil; i++ {
		c.next = c.next(c, p[i])
	}
}

func (c *Checker) fail(format string, args ...any) step {
	c.err = fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
	return nil
}

// version expects "HTTP/1.", a digit and a space.
func (c *Checker) version(b byte) step {
	at := c.count
	c.count++
	switch {
	case at < len(versionPrefix) && b == versionPrefix[at]:
		return (*Checker).version
	case at == len(versionPrefix) && isDigit(b):
		c.minor = b
		return (*Checker).version
	case at > len(versionPrefix) && b == ' ':
		c.count, c.status = 0, 0
		return (*Checker).statusCode
	}
	return c.fail("byte %q at %d, want a version of HTTP/1", b, at)
}

func (c *Checker) statusCode(b byte) step {
	if !isDigit(b) {
		return c.fail("byte %q in the status", b)
	}
	c.status = 10*c.status + int(b-'0')
	if c.count++; c.count < statusDigits {
		return (*Checker).statusCode
	}
	isInterim := c.status >= minStatus && c.status < minFinal && c.status != switchingProtocols
	if !isInterim && !IsFinalStatus(c.status) {
		return c.fail("status %03d", c.status)
	}
	return (*Checker).statusEnd
}

func (c *Checker) statusEnd(b byte) step {
	switch b {
	case ' ':
		return (*Checker).text
	case '\r', '\n':
		return c.text(b)
	}
	return c.fail("byte %q after the status", b)
}

// text expects the reason or the value of a field, and the end of its line.
func (c *Checker) text(b byte) step {
	switch {
	case b == '\n':
		return (*Checker).lineStart
	case b == '\r':
		return (*Checker).lineEnd
	case isText(b):
		return (*Checker).text
	}
	return c.fail("byte %q in a reason or value", b)
}

func (c *Checker) lineEnd(b byte) step {
	if b != '\n' {
		return c.fail("byte %q after CR", b)
	}
	return (*Checker).lineStart
}

// lineStart handles the first byte of a line after the status line.
func (c *Checker) lineStart(b byte) step {
	switch b {
	case '\r':
		return (*Checker).headEnd
	case '\n':
		return c.headEnd(b)
	}
	c.count, c.isCoding = 0, true
	return c.name(b)
}

// codingName is the name of the field that decides how a body is framed. It has no meaning in
// version 1.0, where senders that use it disagree with readers on the end of the body.
const codingName = "transfer-encoding"

// name expects the name of a field and a colon. A line that begins with a blank, which once
// continued the previous one (RFC 9112, section 5.2), has none.
func (c *Checker) name(b byte) step {
	if b == ':' && c.count > 0 {
		if c.isCoding && c.count == len(codingName) && c.minor == '0' {
			return c.fail("%s in version 1.0", codingName)
		}
		return (*Checker).text
	}
	if !tokenBytes[b] {
		return c.fail("byte %q at %d in the name of a field", b, c.count)
	}
	c.isCoding = c.isCoding && c.count < len(codingName) && lower(b) == codingName[c.count]
	c.count++
	return (*Checker).name
}

// headEnd ends the head, or starts the next one after an interim response.
func (c *Checker) headEnd(b byte) step {
	switch {
	case b != '\n':
		return c.fail("byte %q after CR", b)
	case c.status < minFinal:
		c.count = 0
		return (*Checker).version
	}
	return nil
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// isText reports whether a byte may be part of a reason or value (RFC 9110, section 5.5).
func isText(b byte) bool { return b >= ' ' && b != 0x7f || b == '\t' }

func lower(b byte) byte {
	if b >= 'A' && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}

// tokenBytes holds the bytes that a name may have (RFC 9110, section 5.6.2).
var tokenBytes = func() (set [256]bool) {
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		set[b] = true
	}
	return set
}()
