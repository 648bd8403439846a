package server_test

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"siskinstand.example/fakes/server"
)

// Guards against an outage right after the start that accepts connections for a
// moment and resets them: a client then can't tell that its request was not executed.
func TestStopForRefusesConnectionsOnReturn(t *testing.T) {
	const starts = 200
	for range starts {
		s, err := server.StartLoopback(http.NotFoundHandler())
		if err != nil {
			t.Fatal(err)
		}
		s.StopFor(time.Hour)
		conn, err := net.Dial("tcp", s.Address())
		if !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("dial during the outage: %v, %v; want connection refused", conn, err)
		}
		s.Close()
	}
}
