package peer

import (
	"io"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"

	"siskinstand.example/coord/config"
	"siskinstand.example/coord/spread"
)

// Guards against a gateway that stays behind after a partition: first the peer
// refuses connections, then it swallows what is sent on one that stays open.
func TestReconnect(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	n := New(Config{ID: "n", InForce: config.NewInForce(nil), DialOptions: plain})
	defer n.clients.keep(nil)
	to := spread.Peer{ID: "p", Address: address}
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if n.exchange(t.Context(), to) == nil {
			t.Fatal("exchange without a peer")
		}
	}
	silent, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			conn, err := silent.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
	}()
	time.Sleep(1500 * time.Millisecond)
	if n.exchange(t.Context(), to) == nil {
		t.Fatal("exchange with a peer that does not answer")
	}
	silent.Close()
	listener, err = net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	New(Config{ID: "p", InForce: config.NewInForce(nil)}).Register(server)
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	for began := time.Now(); n.exchange(t.Context(), to) != nil; time.Sleep(100 * time.Millisecond) {
		if time.Since(began) > 4*time.Second {
			t.Fatal("no exchange 4 s after the peer answers again")
		}
	}
}
