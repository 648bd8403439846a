package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"siskinstand.example/fakes/platform"
)

// lateTimeLimit is the time limit of the routes of startSlowHost.
const lateTimeLimit = 4 * time.Second

// startSlowHost starts an entry host before a plain service that takes the given time for a call.
// Its objective is much shorter than its time limit.
func startSlowHost(t *testing.T, answerDelay time.Duration) (*edgeProcess, *platform.Replica) {
	t.Helper()
	store := platform.NewStore()
	t.Cleanup(store.Close)
	server := httptest.NewServer(store)
	t.Cleanup(server.CloseClientConnections)
	c := platform.Configuration(1, lateTimeLimit, []platform.Account{{Name: "t1", Keys: []string{platform.SampleAPIKey}}})
	for _, route := range c["routes"].([]any) {
		route.(map[string]any)["target_latency_ms"] = 150
	}
	store.Put(platform.ConfigKey, c)
	r, err := platform.NewReplica(platform.ReplicaConfig{ID: "i-app", Service: "app", Zone: "z1", Slots: 400, AnswerDelay: answerDelay})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	store.Put(platform.ReplicaPrefix+"i-app", r.StoreEntry("ready"))
	e := startEdgeProcessWith(t, "edge-1", processSettings{Store: strings.TrimPrefix(server.URL, "http://"), KeyAge: keyAge, Verbosity: 1, BodyTimeout: 2 * shutdownTime})
	eventually(t, "the process is ready", e.isReady)
	return e, r
}

// slowUpload is a call whose body arrives in pieces.
type slowUpload struct {
	net.Conn
	id string
}

// beginUpload sends the head of a call with a body of two bytes, and the first of them.
func beginUpload(t *testing.T, e *edgeProcess, id string, timeLimit time.Duration) slowUpload {
	t.Helper()
	c, err := net.Dial("tcp4", e.callerAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	fmt.Fprintf(c, "POST /non_idempotent/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n\r\nx",
		platform.PlainHost, id, timeLimit.Milliseconds(), platform.SampleAPIKey)
	return slowUpload{c, id}
}

// finish sends the last byte of the body and reads the response.
func (u slowUpload) finish() (status int, body string, err error) {
	if _, err := io.WriteString(u, "y"); err != nil {
		return 0, "", err
	}
	return u.read()
}

func (u slowUpload) read() (status int, body string, err error) {
	resp, err := http.ReadResponse(bufio.NewReader(u), nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// Guards against calls that are read late in a planned stop, passed on, and ended at the end of
// the shutdown time without the replica's answer: the caller of one that must not be repeated
// can't know whether it has run. The host knows how long such a call may take, and refuses it
// at once if that is too long. It also guards against refusals of calls that end in time.
func TestCallsLateInShutdown(t *testing.T) {
	const (
		count = 24
		// firstEnd is when the first upload ends, counted from SIGTERM. Of shutdownTime, 3 s, a
		// quarter is the time in which everything is accepted.
		firstEnd = 800 * time.Millisecond
		// maxRefusalTime is how soon a call that can't end in time is refused.
		maxRefusalTime = 500 * time.Millisecond
	)
	for name, tc := range map[string]struct {
		answerDelay, timeLimit, lastEnd time.Duration
		wantStatus                      int
	}{
		"limit after the end":  {1200 * time.Millisecond, lateTimeLimit, 2200 * time.Millisecond, http.StatusServiceUnavailable},
		"limit before the end": {100 * time.Millisecond, 1900 * time.Millisecond, 1400 * time.Millisecond, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			e, r := startSlowHost(t, tc.answerDelay)
			startedAt := time.Now()
			ended := make(chan error, 1)
			var wg sync.WaitGroup
			for i := range count {
				end := firstEnd + (tc.lastEnd-firstEnd)*time.Duration(i)/count
				wg.Go(func() {
					time.Sleep(time.Until(startedAt.Add(testNotice / 2))) // the host listens until the notice time is over
					u := beginUpload(t, e, fmt.Sprintf("late-%d", i), tc.timeLimit)
					time.Sleep(time.Until(startedAt.Add(end)))
					sentAt := time.Now()
					status, body, err := u.finish()
					took := time.Since(sentAt)
					isAnswer := status == http.StatusOK && strings.HasPrefix(body, "answer of")
					isRefusal := status == http.StatusServiceUnavailable && strings.Contains(body, `"not_run"`) && took < maxRefusalTime && !ranAt(r, u.id)
					if err != nil || status != tc.wantStatus || !isAnswer && !isRefusal {
						t.Errorf("upload that ended %v after SIGTERM: answer %d %s, error %v, after %v, run %t; want status %d, from the replica or at once",
							end, status, body, err, took, ranAt(r, u.id), tc.wantStatus)
					}
				})
			}
			go func() { ended <- e.terminate() }()
			wg.Wait()
			if err := <-ended; err != nil {
				t.Errorf("the process ended with %v, want exit status 0", err)
			}
		})
	}
}

func ranAt(r *platform.Replica, attemptID string) bool {
	for _, run := range r.Runs() {
		if run.AttemptID == attemptID {
			return true
		}
	}
	return false
}

// Guards against callers that get no answer from a host whose shutdown time is over: those of
// requests that a replica still runs, and those whose body is still arriving.
func TestAnswersAtEndOfShutdown(t *testing.T) {
	e, r := startSlowHost(t, 0)
	r.SetResponseMode(platform.ResponseHang)
	const running, arriving = 300, 20
	var wg sync.WaitGroup
	for i := range running {
		wg.Go(func() {
			u := beginUpload(t, e, fmt.Sprintf("running-%d", i), lateTimeLimit)
			status, body, err := u.finish()
			if err != nil || status != http.StatusBadGateway || !strings.Contains(body, `"may_have_run"`) {
				t.Errorf("request that the replica runs: answer %d %s, %v; want 502 may_have_run", status, body, err)
			}
		})
	}
	eventually(t, "the replica runs the requests", func() bool { return len(r.Runs()) == running })
	for i := range arriving {
		wg.Go(func() {
			u := beginUpload(t, e, fmt.Sprintf("arriving-%d", i), lateTimeLimit)
			status, body, err := u.read()
			if err != nil || status != http.StatusServiceUnavailable || !strings.Contains(body, `"not_run"`) {
				t.Errorf("request that is not read: answer %d %s, %v; want 503 not_run", status, body, err)
			}
		})
	}
	time.Sleep(testNotice) // the uploads have begun
	if err := e.terminate(); err != nil {
		t.Errorf("the process ended with %v, want exit status 0", err)
	}
	wg.Wait()
}
