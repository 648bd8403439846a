package control

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"siskinstand.example/coord/health"
	"siskinstand.example/service/bootclock"
)

// Guards against an assignment that is never released because the request's context ends
// while the assignment is made: the replica would look busy for good. The contexts end
// around that moment.
func TestContextEndsDuringPlacement(t *testing.T) {
	const requests, workers = 5000, 50
	l := testLoop(t, replica("i-1", "app", "z1"), replica("i-2", "app", "z1"))
	ctx, stop := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- l.Run(ctx) }()
	var assigned, ended atomic.Int64
	var wg sync.WaitGroup
	req := plainRequest(l, t)
	for w := range workers {
		wg.Go(func() {
			for i := range requests / workers {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration((w+i*workers)%400)*10*time.Microsecond)
				a, _, err := l.Place(ctx, req)
				if cancel(); err != nil {
					ended.Add(1)
				}
				if a.ID != 0 {
					assigned.Add(1)
					l.RecordSendEnd(a, SendResult{Outcome: health.Served}, 0)
				}
			}
		})
	}
	wg.Wait()
	stop()
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
	// Late assignments are released in the background, by messages that the loop may not have
	// handled when it stopped.
	for end := time.Now().Add(5 * time.Second); l.ledger.JobCount() > 0 && time.Now().Before(end); {
		select {
		case m := <-l.messages:
			l.handle(bootclock.Now(), m)
		case <-time.After(10 * time.Millisecond):
		}
	}
	if n := l.ledger.JobCount(); n != 0 {
		t.Errorf("%d assignments were not released", n)
	}
	t.Logf("%d requests, %d assigned, %d whose context ended first", requests, assigned.Load(), ended.Load())
}
