package replica

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskinstand.example/coord/connlimit"
)

// Guards against a response that breaks off because new requests take each connection that becomes
// free: a request that continues one goes before them, and after earlier ones of its kind.
func TestContinuationGetsConnectionFirst(t *testing.T) {
	isQueued := make(chan struct{})
	s := serveLimited(t, 1, closePort, func(c net.Conn, r *bufio.Reader) {
		<-isQueued
		answerAfter(time.Millisecond)(c, r)
	})
	p := testPool(t)
	var mu sync.Mutex
	var order []string
	var wg sync.WaitGroup
	sendNamed := func(name string, isContinuation bool) {
		wg.Go(func() {
			resp, err := p.Do(context.Background(), Request{
				Address: s.address, Method: http.MethodPost, Target: "/x", Host: "h.example", Headers: http.Header{"Attempt-Id": {name}}, AttemptID: name,
				MaxConnectionWait: 2 * time.Second, Connections: connlimit.NewBounds(1, 1, 1), IsContinuation: isContinuation,
			})
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.ReadAll(resp)
			mu.Lock()
			order = append(order, name)
			mu.Unlock()
			resp.Close()
		})
	}
	sendNamed("new 0", false)
	awaitConnections(t, p, s.address, 1)
	for i, name := range []string{"new 1", "new 2", "continuation 0", "continuation 1"} {
		sendNamed(name, i >= 2)
		awaitWaiting(t, p, s.address, i+1)
	}
	close(isQueued)
	wg.Wait()
	if diff := cmp.Diff([]string{"new 0", "continuation 0", "continuation 1", "new 1", "new 2"}, order); diff != "" {
		t.Errorf("order of the requests (-want +got):\n%s", diff)
	}
}

// awaitWaiting waits until the given number of requests wait for a connection to an address.
func awaitWaiting(t *testing.T, p *Pool, address string, want int) {
	t.Helper()
	count := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.at(address).waiting)
	}
	for end := time.Now().Add(time.Second); count() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d requests wait, want %d", count(), want)
		}
	}
}
