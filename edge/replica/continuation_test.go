package replica

import (
	"context"
	"fmt"
	"io"
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
	s := serveLimited(t, 1, closePort, answerAfter(30*time.Millisecond))
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
		time.Sleep(5 * time.Millisecond)
	}
	for i := range 3 {
		sendNamed(fmt.Sprint("new ", i), false)
	}
	for i := range 2 {
		sendNamed(fmt.Sprint("continuation ", i), true)
	}
	wg.Wait()
	if diff := cmp.Diff([]string{"new 0", "continuation 0", "continuation 1", "new 1", "new 2"}, order); diff != "" {
		t.Errorf("order of the requests (-want +got):\n%s", diff)
	}
}
