package headtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Listen calls serve for each connection to the returned address, and closes the connection
// after it.
func Listen(t testing.TB, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return l.Addr().String()
}

// ReadRequest reads a request with its body.
func ReadRequest(r *bufio.Reader) (*http.Request, []byte, error) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(q.Body)
	return q, body, err
}

// Serve answers every request with a text and keeps the connection open. It returns its address.
func Serve(t testing.TB, text string) string {
	t.Helper()
	return Listen(t, func(c net.Conn) {
		for r := bufio.NewReader(c); ; fmt.Fprint(c, text) {
			if _, _, err := ReadRequest(r); err != nil {
				return
			}
		}
	})
}

// ServeEndless sends a prefix to each request and then repeats a filler until the connection is
// closed. It calls sent with the number of bytes of each write.
func ServeEndless(t testing.TB, prefix, filler string, sent func(n int)) string {
	t.Helper()
	const blockBytes = 16 << 10
	block := make([]byte, 0, blockBytes+len(filler))
	for len(block) < blockBytes {
		block = append(block, filler...)
	}
	return Listen(t, func(c net.Conn) {
		if _, _, err := ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		n, err := io.WriteString(c, prefix)
		for err == nil {
			sent(n)
			n, err = c.Write(block)
		}
	})
}

// LongUploadBytes is more than the buffers of a connection hold, so that a server can answer and
// close while an upload is still being written.
const LongUploadBytes = 16 << 20

// earlyWait is the time from an early answer to the end of its connection, in which the client
// writes its upload.
const earlyWait = 20 * time.Millisecond

// ServeEarly answers each request with a text before it reads the body. end then ends the
// exchange.
func ServeEarly(t testing.TB, text string, end func(c *net.TCPConn, body io.Reader)) string {
	t.Helper()
	return Listen(t, func(c net.Conn) {
		q, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		fmt.Fprint(c, text)
		time.Sleep(earlyWait)
		end(c.(*net.TCPConn), q.Body)
	})
}

// Reset resets the connection. What was sent before stays readable for the client.
func Reset(c *net.TCPConn, _ io.Reader) { _ = c.SetLinger(0) }

// ReadAndReset reads the rest of the upload and resets the connection.
func ReadAndReset(c *net.TCPConn, body io.Reader) {
	_, _ = io.Copy(io.Discard, body) // ends with the upload
	_ = c.SetLinger(0)
}

// ReadOn ends the answer and reads the rest of the upload.
func ReadOn(c *net.TCPConn, body io.Reader) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, body) // the client may close first
}
