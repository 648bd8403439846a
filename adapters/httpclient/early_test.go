package httpclient

import (
	"io"
	"net"
	"strings"
	"testing"

	"siskinstand.example/coord/responsehead/headtest"
)

// Guards against a part of a response without a length that counts as whole, since the write of
// a long upload took the error of the connection.
func TestEarlyResponse(t *testing.T) {
	for name, tc := range map[string]struct {
		text    string
		end     func(*net.TCPConn, io.Reader)
		isWhole bool
	}{
		"reset":              {"HTTP/1.1 200 OK\r\n\r\npart", headtest.Reset, false},
		"reset, version 1.0": {"HTTP/1.0 200 OK\r\n\r\npart", headtest.Reset, false},
		"reset, no body":     {"HTTP/1.1 200 OK\r\n\r\n", headtest.Reset, false},
		"upload read":        {"HTTP/1.1 200 OK\r\n\r\nwhole", headtest.ReadOn, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			url := "http://" + headtest.ServeEarly(t, tc.text, tc.end)
			// Whether the read or the write of the client takes the error is a matter of chance.
			for range 20 {
				got, err := post(newClient(t), url, strings.Repeat("x", headtest.LongUploadBytes))
				if tc.isWhole != (err == nil) || tc.isWhole && got != "whole" {
					t.Fatalf("response %q, error %v, want whole: %t", got, err, tc.isWhole)
				}
			}
		})
	}
}
