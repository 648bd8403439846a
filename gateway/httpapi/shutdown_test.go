package httpapi

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"siskinstand.example/gateway/dispatch"
)

// countingDispatcher counts the requests that it runs, by ID.
type countingDispatcher struct {
	echoDispatcher
	mu   sync.Mutex
	runs map[string]int
}

func (d *countingDispatcher) Run(ctx context.Context, r *dispatch.Request, sink dispatch.Sink) (dispatch.Result, error) {
	d.mu.Lock()
	d.runs[r.ID]++
	d.mu.Unlock()
	return d.echoDispatcher.Run(ctx, r, sink)
}

// Guards against a request that ran and got no response because its connection was closed by
// the shutdown. Callers with kept connections send requests while the shutdown starts.
func TestRequestsDuringShutdown(t *testing.T) {
	const span = 40 * time.Millisecond
	certified := httptest.NewTLSServer(nil)
	defer certified.Close()
	tests := map[string]struct {
		clients   int
		serverTLS *tls.Config
	}{
		"HTTP": {500, nil},
		"TLS":  {100, &tls.Config{Certificates: certified.TLS.Certificates}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			dispatcher := &countingDispatcher{runs: map[string]int{}}
			s := newTestServerWith(t, func(c *Config) {
				c.Dispatcher, c.TLS = dispatcher, tc.serverTLS
				c.Limits.MaxRequests, c.Limits.MaxConnections = int64(tc.clients), tc.clients
				c.Limits.HeaderTimeout, c.Limits.IdleTimeout = time.Second, 10*time.Second
			})
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			served := make(chan error, 1)
			go func() { served <- s.Serve(l) }()
			conns := make([]net.Conn, tc.clients)
			for i := range conns {
				c, err := net.Dial("tcp4", l.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				if conns[i] = c; tc.serverTLS != nil {
					conns[i] = tls.Client(c, &tls.Config{InsecureSkipVerify: true})
				}
				defer c.Close()
				if err := callOnce(conns[i], fmt.Sprintf("first-%d", i)); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(300 * time.Millisecond) // younger connections are closed later
			var wg sync.WaitGroup
			errs := make([]error, tc.clients)
			for i, c := range conns {
				wg.Go(func() {
					time.Sleep(span * time.Duration(i) / time.Duration(tc.clients))
					errs[i] = callOnce(c, fmt.Sprintf("last-%d", i))
				})
			}
			time.Sleep(span / 2)
			s.Shutdown(t.Context(), 0)
			wg.Wait()
			if err := <-served; err != nil {
				t.Error(err)
			}
			dispatcher.mu.Lock()
			defer dispatcher.mu.Unlock()
			unanswered := 0
			for i, err := range errs {
				if err == nil {
					continue
				}
				unanswered++
				if dispatcher.runs[fmt.Sprintf("last-%d", i)] > 0 {
					t.Errorf("request %d has run and got no response: %v", i, err)
				}
			}
			t.Logf("%d requests in the shutdown, %d not answered, %d run in all", tc.clients, unanswered, len(dispatcher.runs))
		})
	}
}

// callOnce sends a completion request and reads the response.
func callOnce(c net.Conn, id string) error {
	_ = c.SetDeadline(time.Now().Add(5 * time.Second)) // a failure shows in the calls below
	const body = `{"model":"m1","messages":[{"role":"user","content":"hello"}]}`
	if _, err := fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", headerRequestID, id, len(body), body); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
