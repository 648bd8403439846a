package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"siskinstand.example/coord/placement"
	"siskinstand.example/coord/suspect"
	"siskinstand.example/edge/control"
	"siskinstand.example/edge/peer"
	"siskinstand.example/edge/replica"
	"siskinstand.example/platform"
	"siskinstand.example/service/bootclock"
)

// serveSilent starts a replica that reads requests and never responds. It reports each
// request and returns its address.
func serveSilent(t *testing.T) (string, <-chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	received := make(chan struct{}, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				if _, err := http.ReadRequest(r); err == nil {
					received <- struct{}{}
				}
				_, _ = io.Copy(io.Discard, r) // ends when the host closes the connection
			}()
		}
	}()
	return l.Addr().String(), received
}

// startServer returns a server with one service, one replica of it at the given address,
// and another host that sends reports.
func startServer(t testing.TB, address string) (*Server, *control.Loop) {
	t.Helper()
	return startServerWithScope(t, address, tally.NoopScope)
}

func startServerWithScope(t testing.TB, address string, scope tally.Scope) (*Server, *control.Loop) {
	t.Helper()
	configuration, err := platform.DecodeConfig([]byte(`{"version":1,"services":[{"name":"app"}],"routes":[
		{"name":"r","hostname":"h.example","prefix":"/","route_type":"non_idempotent","backend":"app","timeout_ms":10000,"target_latency_ms":1000,"public":true},
		{"name":"c","hostname":"h.example","prefix":"/resumable/","route_type":"streaming","resumable":true,"max_attempts":3,"backend":"app","timeout_ms":10000,"target_latency_ms":1000,"public":true},
		{"name":"s","hostname":"h.example","prefix":"/stream/","route_type":"streaming","sticky":true,"backend":"app","timeout_ms":10000,"target_latency_ms":1000,"public":true}]}`))
	if err != nil {
		t.Fatal(err)
	}
	pool := replica.NewPool(replica.Config{ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4, MaxReservationTTL: 20 * time.Second})
	t.Cleanup(pool.Close)
	loop := control.New(control.Config{
		Name: "edge-1", RetryLimits: control.RetryLimits{Share: 0.2, Slack: 10}, PeerTimeout: 2 * time.Second,
		FullReportInterval: time.Second, Prober: pool, Placement: placement.DefaultPolicy(), Scope: scope,
	})
	go loop.Run(t.Context())
	if err := loop.ApplySnapshot(t.Context(), []platform.Change{
		{Kind: platform.ChangeConfig, Config: configuration},
		{Kind: platform.ChangeReplica, Name: "i-1", Replica: platform.Replica{ID: "i-1", Service: "app", Address: address, Zone: "z1", Slots: 4}},
		{Kind: platform.ChangePeer, Name: "edge-2", Peer: platform.Peer{Address: "127.0.0.1:1", Incarnation: 1}},
	}, bootclock.Now()); err != nil {
		t.Fatal(err)
	}
	<-loop.Configured()
	s := New(Config{Loop: loop, Pool: pool, MaxBodyBytes: 1 << 20, MaxRequests: 10, MaxAnswerBytes: 1 << 20, BodyTimeout: time.Second, Scope: tally.NoopScope})
	s.SetMaxProofAge(time.Minute)
	return s, loop
}

// Guards against a request that crashes replicas and is still not refused. Its first strike
// is cleared by a send that ends without a response, although the request has not finished.
func TestUnfinishedSendKeepsStrike(t *testing.T) {
	tests := map[string]struct {
		timeoutMillis string
		callerLeaves  bool
	}{
		"caller leaves":     {"10000", true},
		"time limit passes": {"300", false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			address, received := serveSilent(t)
			s, loop := startServer(t, address)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/x", strings.NewReader("crash"))
			r.Host = "h.example"
			r.Header.Set("Attempt-Id", "a1")
			r.Header.Set("Deadline-Ms", tc.timeoutMillis)
			f := fingerprint(r, "", []byte("crash"))
			strike := func(crash suspect.CrashID) {
				loop.ReceiveReport(peer.Message{Name: "edge-2", Incarnation: 1, Suspects: []suspect.Report{{Fingerprint: f, Crashes: []suspect.CrashID{crash}, Strikes: 1}}})
			}
			strike(1)
			done := make(chan struct{})
			go func() {
				defer close(done)
				s.ServeHTTP(httptest.NewRecorder(), r)
			}()
			select {
			case <-received:
			case <-time.After(5 * time.Second):
				t.Fatal("the replica got no request")
			}
			if tc.callerLeaves {
				cancel()
			}
			<-done // the end of the send is recorded before that
			strike(2)
			_, refusal, err := loop.Place(t.Context(), control.PlacementRequest{
				ID: "a2", Service: loop.View().Catalog.Service("app"), Fingerprint: f, Request: placement.Request{Service: "app", Objective: time.Second, TimeLeft: time.Second},
			})
			if err != nil || refusal.Reason != control.RefusedCrashSuspect {
				t.Errorf("refusal after two strikes = %q, %v, want %q", refusal.Reason, err, control.RefusedCrashSuspect)
			}
		})
	}
}
