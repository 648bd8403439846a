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

// Guards against keeping idle connections beyond the limit, and against closing a
// connection in use.
func TestConnectionPoolLimit(t *testing.T) {
	c := NewConnectionPool(2, time.Second, insecure.NewCredentials())
	defer c.Close()
	inUse, release, err := c.Get(context.Background(), startServer(t))
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		_, releaseIdle, err := c.Get(context.Background(), startServer(t))
		if err != nil {
			t.Fatal(err)
		}
		releaseIdle()
	}
	if c.Len() != 2 {
		t.Errorf("%d connections, want 2", c.Len())
	}
	if state := inUse.GetState().String(); state != "READY" {
		t.Errorf("state of the connection in use = %s, want READY", state)
	}
	release()
	release()
}

// Guards against a request that is blocked for longer than the dial timeout by a
// host that does not respond.
func TestDialTimeout(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	// The listener accepts connections, but never sends an HTTP/2 preface.
	defer l.Close()
	c := NewConnectionPool(2, 100*time.Millisecond, insecure.NewCredentials())
	defer c.Close()
	begin := time.Now()
	if _, _, err := c.Get(context.Background(), l.Addr().String()); err == nil {
		t.Error("connecting to a host that does not respond succeeded")
	}
	if took := time.Since(begin); took > 2*time.Second {
		t.Errorf("dial took %v, want about 100ms", took)
	}
}

// Guards against outdated load data. Tokens sent by this gateway count as queued
// until the next report, less those processed at the reported rate.
func TestEndpointLoad(t *testing.T) {
	e := NewEndpoint("e", "z", "a")
	now := time.Unix(1000, 0)
	e.AddUnreportedTokens(500)
	if l := e.RoutingLoad(now); l.UnreportedTokens != 500 {
		t.Errorf("load before a report = %+v, want 500 unreported", l)
	}
	e.RecordLoad(newLoad(70, 100), now)
	e.AddUnreportedTokens(500)
	if l := e.RoutingLoad(now.Add(2 * time.Second)); l.QueuedTokens != 70 || l.UnreportedTokens != 300 {
		t.Errorf("load = %+v, want 70 queued and 300 unreported", l)
	}
}

func newLoad(queued, rate int64) *pb.Load {
	return &pb.Load{QueuedTokens: queued, PrefillTokensPerSecond: rate}
}
