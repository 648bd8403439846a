package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"siskinstand.example/fakes/platform"
)

// Guards against requests that are cut off, and kept connections that are closed, when the
// settings are reloaded or a new configuration comes into force.
func TestRequestsDuringReload(t *testing.T) {
	const reloads = 40
	e, settings, store := startSingleHost(t, 5)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	counts := make([]int, 16)
	for i := range counts {
		wg.Go(func() {
			c := platform.NewClient()
			defer c.Close()
			call, want := platform.PlainCall("non_idempotent"), "answer of i-app"
			if i%4 == 0 {
				call, want = streamCall(), platform.StreamBody(5)
			}
			for {
				select {
				case <-stop:
					return
				default:
				}
				r := c.Send(t.Context(), e.callerAddress, call)
				if r.Err != nil || r.Status != http.StatusOK || r.Body != want || r.Reused != (counts[i] > 0) {
					t.Errorf("request %d: %d %q, %v, reused connection: %t; want %q on a kept connection", counts[i], r.Status, r.Body, r.Err, r.Reused, want)
					return
				}
				counts[i]++
			}
		})
	}
	accounts := []platform.Account{{Name: "t1", Keys: []string{platform.SampleAPIKey}}}
	for i := range reloads {
		settings.Verbosity = 1 + i%2
		e.writeSettings(settings)
		e.signal(syscall.SIGHUP)
		store.Put(platform.ConfigKey, platform.Configuration(int64(2+i), time.Duration(5+i%2)*time.Second, accounts))
		time.Sleep(50 * time.Millisecond)
	}
	inForce := holdsWithin5s(func() bool { return e.countInLog(fmt.Sprintf("config_version=%d", reloads+1)) > 0 })
	close(stop)
	wg.Wait()
	if !inForce {
		t.Error("no request with the last configuration")
	}
	t.Logf("%d requests on %d connections during %d reloads", sum(counts), len(counts), e.countInLog(`"settings reloaded"`))
}

func sum(list []int) int {
	total := 0
	for _, n := range list {
		total += n
	}
	return total
}
