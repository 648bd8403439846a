package httpclient

import (
	"errors"
	"net"
	"testing"

	"siskinstand.example/coord/responsehead"
)

// Guards against a connection that goes on after a head which is not acceptable, so that the bytes
// behind the head are the response to the next call.
func TestReadEndsWithBrokenHead(t *testing.T) {
	const head = "HTTP/1.1 999 Odd\r\nContent-Length: 0\r\n\r\n"
	for name, pieces := range map[string][]string{
		"one piece":        {head + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"},
		"bytes one by one": nil,
	} {
		t.Run(name, func(t *testing.T) {
			if pieces == nil {
				for i := range len(head) {
					pieces = append(pieces, head[i:i+1])
				}
			}
			client, server := net.Pipe()
			defer client.Close()
			go func() {
				defer server.Close()
				for _, p := range pieces {
					if _, err := server.Write([]byte(p)); err != nil {
						return // the client has closed the connection
					}
				}
			}()
			c := &conn{Conn: client}
			c.beginHead()
			got := make([]byte, 0, 4096)
			for {
				buffer := make([]byte, 4096)
				n, err := c.Read(buffer)
				got = append(got, buffer[:n]...)
				if err == nil {
					continue
				}
				if !errors.Is(err, responsehead.ErrMalformed) {
					t.Errorf("error %v, want ErrMalformed", err)
				}
				break
			}
			if len(got) == 0 || len(got) >= len(head) {
				t.Errorf("%q was returned, want a part of the head", got)
			}
		})
	}
}
