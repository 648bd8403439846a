package main

import (
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"siskinstand.example/fakes/platform"
)

const (
	// shutdownClients is the number of callers with a kept connection. They send their last
	// request within lastRequestSpan around the end of the notice period, at which the host
	// closes the connections that it finds idle.
	shutdownClients = 400
	lastRequestSpan = 60 * time.Millisecond
	// testNotice is the notice period in the settings of startEdgeProcess.
	testNotice = 300 * time.Millisecond
)

// Guards against a request that a host reads while it shuts down and never answers. Callers use
// their kept connections, and open new ones, until the process has exited.
func TestRequestsDuringShutdown(t *testing.T) {
	e, _, _ := startSingleHost(t, 1)
	var mu sync.Mutex
	var replies []platform.Reply
	send := func(c *platform.Client) platform.Reply {
		r := c.Send(t.Context(), e.callerAddress, platform.PlainCall("idempotent"))
		mu.Lock()
		defer mu.Unlock()
		replies = append(replies, r)
		return r
	}
	clients := make([]*platform.Client, shutdownClients)
	for i := range clients {
		clients[i] = platform.NewClient()
		defer clients[i].Close()
		if r := send(clients[i]); r.Status != http.StatusOK {
			t.Fatalf("response %d, %v before the shutdown", r.Status, r.Err)
		}
	}
	startedAt := time.Now()
	ended := make(chan error, 1)
	go func() { ended <- e.terminate() }()
	var wg sync.WaitGroup
	for i, c := range clients {
		offset := lastRequestSpan * time.Duration(i) / shutdownClients
		wg.Go(func() {
			time.Sleep(time.Until(startedAt.Add(testNotice - lastRequestSpan/2 + offset)))
			send(c)
		})
	}
	for range 8 {
		wg.Go(func() {
			c := platform.NewClient()
			defer c.Close()
			for r := send(c); r.Connected; r = send(c) {
				time.Sleep(time.Millisecond)
			}
		})
	}
	wg.Wait()
	if err := <-ended; err != nil {
		t.Errorf("the process ended with %v, want exit status 0", err)
	}
	checkReadRequestsAnswered(t, e, replies)
}

var answeredLine = regexp.MustCompile(`"answered" request_id="([^"]*)"`)

// checkReadRequestsAnswered checks that the callers of all requests that a host has read, and
// therefore logged, got a response.
func checkReadRequestsAnswered(t *testing.T, e *edgeProcess, replies []platform.Reply) {
	t.Helper()
	log, err := os.ReadFile(e.logPath)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(string(log), "log lines suppressed") {
		t.Error("lines are missing from the log, so that read requests may count as not read")
	}
	wasRead := map[string]bool{}
	for _, m := range answeredLine.FindAllStringSubmatch(string(log), -1) {
		wasRead[m[1]] = true
	}
	var unread int
	var lost []string
	for _, r := range replies {
		switch {
		case r.Err == nil:
		case wasRead[r.AttemptID]:
			lost = append(lost, fmt.Sprintf("%s: %v (reused connection: %t)", r.AttemptID, r.Err, r.Reused))
		default:
			unread++
		}
	}
	t.Logf("%d requests, %d read by the host, %d not read", len(replies), len(wasRead), unread)
	if unread == 0 || unread == len(replies) {
		t.Error("the requests did not arrive around the moment at which connections are closed")
	}
	if len(lost) > 0 {
		t.Errorf("%d requests were read and got no response, the first: %s", len(lost), lost[0])
	}
}
