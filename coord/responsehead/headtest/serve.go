package headtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// Serve answers every request with a text and keeps the connection open. It returns its address.
func Serve(t testing.TB, text string) string {
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
			go answer(c, text)
		}
	}()
	return l.Addr().String()
}

func answer(c net.Conn, text string) {
	defer c.Close()
	for r := bufio.NewReader(c); ; fmt.Fprint(c, text) {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
	}
}
