// Case 5 checks rule BUDGET for a request that crashes replicas, while the entry
// hosts are stopped and started in turn.

package cases

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	rollBackAfter = 3 * time.Second
	// rollCallsPerS is the rate of other requests at each host, workTime the time that they take.
	rollCallsPerS = 22
	workTime      = time.Second
)

func case5() {
	config := PlainConfig(7, false)
	config["routes"].([]any)[0].(map[string]any)["timeout_ms"] = 10000
	site := NewSite(config)
	poison := &Poison{Record: site.Record, Point: CrashBeforeAnswer, BackAfter: rollBackAfter, Work: workTime}
	site.AddReplicas("desk", 14, 16, poison.Handle)
	site.StartEdges(5)
	// Each host has other clients, of another account.
	var served, failed atomic.Int64
	stop := make(chan struct{})
	var others sync.WaitGroup
	for _, e := range site.Edges {
		others.Go(func() {
			ticker := time.NewTicker(time.Second / rollCallsPerS)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				others.Go(func() {
					id := fmt.Sprintf("%s-%05d", e.Config.Name, n)
					reply := Send(e.Callers, Call{Method: http.MethodGet, Path: "/status/" + id, Host: "desk.example", ID: id, Key: "key-of-the-shelter", Deadline: 10 * time.Second})
					if reply.Status == http.StatusOK {
						served.Add(1)
					} else {
						failed.Add(1)
					}
				})
			}
		})
	}
	// Five clients of one account send the same request, each at a host of its own.
	send := func(wave int) {
		var clients sync.WaitGroup
		for n, e := range site.Edges {
			clients.Go(func() { site.SendPoison(e, fmt.Sprintf("poison-%d-%d", wave, n+1)) })
		}
		clients.Wait()
	}
	time.Sleep(2 * time.Second)
	send(1)
	time.Sleep(rollBackAfter + contactTime)
	if _, crashes, _ := poison.Counts(contactTime); crashes < 3 {
		site.End(2, "can't run: only %d crashes", crashes)
	}
	send(2)
	if HasTrouble() {
		for _, e := range site.Edges {
			site.Record.Line("%s gets SIGTERM", e.Config.Name)
			e.Terminate()
			if err := e.Start(); err != nil {
				site.End(2, "can't run: %v", err)
			}
			if err := e.AwaitReady(10 * time.Second); err != nil {
				site.End(2, "can't run: %v", err)
			}
			site.Record.Line("%s is ready again", e.Config.Name)
			time.Sleep(2 * time.Second)
		}
	}
	time.Sleep(contactTime + time.Second)
	send(3)
	time.Sleep(time.Second)
	close(stop)
	others.Wait()
	arrivals, crashes, late := poison.Counts(contactTime)
	code := 0
	if late > 3 {
		code = 1
	}
	site.End(code, "the request reached replicas %d times and crashed %d; %d attempts of clients reached one later than 3 s after the third crash (BUDGET allows 3); other requests: %d served, %d not", arrivals, crashes, late, served.Load(), failed.Load())
}
