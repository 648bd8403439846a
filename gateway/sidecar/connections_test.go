package sidecar

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	pb "siskinstand.example/peerpb"
)

func startServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer()
	go s.Serve(l)
	t.Cleanup(s.Stop)
	return l.Addr().String()
}

// Guards against connections beyond the limit, and against closing one in use.
func TestConnectionsLimit(t *testing.T) {
	c := NewConnectionPool(2, time.Second, insecure.NewCredentials())
	defer c.Close()
	held, release, err := c.Get(context.Background(), startServer(t))
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		_, give, err := c.Get(context.Background(), startServer(t))
		if err != nil {
			t.Fatal(err)
		}
		give()
	}
	if c.Len() != 2 {
		t.Errorf("%d connections, want 2", c.Len())
	}
	if state := held.GetState().String(); state != "READY" {
		t.Errorf("the connection in use is %s", state)
	}
	release()
	release()
}

// Guards against a dial to a host that doesn't answer holding a request longer
// than the time limit.
func TestDialTimeout(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	// The listener accepts, but never speaks HTTP/2.
	defer l.Close()
	c := NewConnectionPool(2, 100*time.Millisecond, insecure.NewCredentials())
	defer c.Close()
	begin := time.Now()
	if _, _, err := c.Get(context.Background(), l.Addr().String()); err == nil {
		t.Error("a silent host counts as connected")
	}
	if took := time.Since(begin); took > 2*time.Second {
		t.Errorf("dial took %v, limit 100ms", took)
	}
}

// Guards against stale load: own work counts until the next report and is
// worked off at the reported rate.
func TestEndpointLoad(t *testing.T) {
	e := NewEndpoint("e", "z", "a")
	now := time.Unix(1000, 0)
	e.AddUnreportedTokens(500)
	if l := e.RoutingLoad(now); l.UnreportedTokens != 500 {
		t.Errorf("load before a report = %+v", l)
	}
	e.RecordLoad(loadOf(70, 100), now)
	e.AddUnreportedTokens(500)
	if l := e.RoutingLoad(now.Add(2 * time.Second)); l.QueuedTokens != 70 || l.UnreportedTokens != 300 {
		t.Errorf("load = %+v, want 70 queued and 300 unreported", l)
	}
}

func loadOf(queued, rate int64) *pb.Load {
	return &pb.Load{QueuedTokens: queued, PrefillTokensPerSecond: rate}
}
