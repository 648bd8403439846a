package relay

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"siskinstand.example/coord/responsehead"
	"siskinstand.example/coord/responsehead/headtest"
	"siskinstand.example/platform"
	"siskinstand.example/service/bootclock"
)

const testMaxAge = 2 * time.Second

func startServer(t *testing.T, l *Log) (*Client, string) {
	t.Helper()
	server := httptest.NewServer(NewHandler(l))
	t.Cleanup(server.Close)
	client := NewClient(ClientConfig{Timeout: time.Second})
	t.Cleanup(client.Close)
	return client, strings.TrimPrefix(server.URL, "http://")
}

// watchingLog returns a log after a full read at revision 10 with two keys.
func watchingLog() *Log {
	l := NewLog()
	l.Reset(Update{Items: []platform.Item{{Key: "a", Revision: 3}, {Key: "b", Revision: 9}}, Revision: 10, ProofAt: bootclock.Now()})
	l.SetWatching(true)
	return l
}

func keysOf(items []platform.Item) []string {
	var keys []string
	for _, i := range items {
		keys = append(keys, fmt.Sprintf("%s@%d deleted=%t", i.Key, i.Revision, i.Deleted))
	}
	return keys
}

// Guards against a proof that looks newer than it is: requests with a revoked key would run.
// All times on the way may be arbitrarily long, as when a host is suspended between two steps,
// and the boot clocks of the hosts have different zeros.
func TestProofIsNeverNewer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		step := func(label string) time.Duration {
			return time.Duration(rapid.IntRange(0, 20_000_000).Draw(t, label)) * time.Microsecond
		}
		proof := step("proof")
		sent := proof + step("proof to sending") - step("sending before proof")
		asked := sent + step("on the way")
		responded := max(asked, proof) + step("held")
		received := responded + step("on the way back")
		watcherZero, askerZero := step("zero of the watching host"), step("zero of the asking host")
		// The handler reads its clock at asked and responded, the client at sent and received.
		r := response{HeldMicros: ((responded + watcherZero) - (asked + watcherZero)).Microseconds(), ProofAgeMicros: (responded - proof).Microseconds(), FailureAgeMicros: -1}
		got := r.changes(sent+askerZero, received+askerZero).ProofAt - askerZero
		if got > proof {
			t.Fatalf("proof of %v is taken for one of %v", proof, got)
		}
	})
}

func TestHandler(t *testing.T) {
	t.Run("changes at once", func(t *testing.T) {
		// Guards against changes that are late, repeated or left out.
		l := watchingLog()
		client, address := startServer(t, l)
		l.Append(Update{Items: []platform.Item{{Key: "c", Value: []byte("x"), Revision: 12}, {Key: "a", Revision: 13, Deleted: true}}, Revision: 13, ProofAt: bootclock.Now()})
		for after, want := range map[int64][]string{10: {"c@12 deleted=false", "a@13 deleted=true"}, 12: {"a@13 deleted=true"}} {
			got, err := client.Watch(t.Context(), address, after, testMaxAge)
			if err != nil || got.Revision != 13 {
				t.Fatalf("Watch after %d = revision %d, %v", after, got.Revision, err)
			}
			if diff := cmp.Diff(want, keysOf(got.Items)); diff != "" {
				t.Errorf("changes after %d (-want +got):\n%s", after, diff)
			}
		}
	})
	t.Run("new proof", func(t *testing.T) {
		// Guards against followers whose proof grows older than that of the host they follow.
		l := watchingLog()
		client, address := startServer(t, l)
		time.AfterFunc(50*time.Millisecond, func() { l.Append(Update{Revision: 10, ProofAt: bootclock.Now()}) })
		startedAt := bootclock.Now()
		got, err := client.Watch(t.Context(), address, 10, testMaxAge)
		if err != nil || len(got.Items) != 0 || got.ProofAt <= startedAt {
			t.Errorf("Watch = %+v, %v, want a proof from after %v", got, err, startedAt)
		}
	})
	t.Run("old proof", func(t *testing.T) {
		// Guards against followers that rely on a host that has lost the store.
		l := watchingLog()
		client, address := startServer(t, l)
		got, err := client.Watch(t.Context(), address, 10, 100*time.Millisecond)
		if age := bootclock.Now() - got.ProofAt; err != nil || age < 100*time.Millisecond || age > time.Second {
			t.Errorf("response with a proof of age %v, %v, want one of 100ms or a little more", age, err)
		}
	})
	t.Run("store failed", func(t *testing.T) {
		// Guards against followers that take expired leases in an outage for replicas that
		// have ended.
		l := watchingLog()
		client, address := startServer(t, l)
		time.AfterFunc(20*time.Millisecond, func() { l.RecordFailure(bootclock.Now()) })
		startedAt := bootclock.Now()
		got, err := client.Watch(t.Context(), address, 10, testMaxAge)
		if err != nil || got.StoreFailedAt < startedAt {
			t.Errorf("Watch = %+v, %v, want a failure after %v", got, err, startedAt)
		}
	})
}

func TestHandlerRefuses(t *testing.T) {
	full := watchingLog()
	for i := range 5 {
		full.Append(Update{Items: []platform.Item{{Key: "big", Value: make([]byte, maxLogBytes/3), Revision: int64(11 + i)}}, Revision: int64(11 + i), ProofAt: bootclock.Now()})
	}
	follower := watchingLog()
	follower.SetWatching(false)
	tests := map[string]struct {
		log  *Log
		want int
	}{
		// Guards against chains of hosts that follow each other and learn nothing.
		"a host that follows another": {follower, http.StatusServiceUnavailable},
		"a host without a full read":  {NewLog(), http.StatusServiceUnavailable},
		// Guards against changes that are skipped silently.
		"changes that were dropped": {full, http.StatusGone},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			client, address := startServer(t, tc.log)
			_, err := client.Watch(t.Context(), address, 10, testMaxAge)
			var status *StatusError
			if !errors.As(err, &status) || status.Status != tc.want {
				t.Errorf("Watch = %v, want status %d", err, tc.want)
			}
		})
	}
	for _, query := range []string{"", "?after=1", "?after=x&max_age_ms=1", "?after=1&max_age_ms=0", "?after=1&max_age_ms=9999999"} {
		t.Run("malformed "+query, func(t *testing.T) {
			// Guards against questions that wait forever.
			w := httptest.NewRecorder()
			NewHandler(watchingLog()).ServeHTTP(w, httptest.NewRequest(http.MethodGet, path+query, nil))
			if w.Code != http.StatusBadRequest {
				t.Errorf("status %d, want 400", w.Code)
			}
		})
	}
}

// Guards against full reads of all hosts after the store has compacted its history: the
// watching host's full read continues its log.
func TestFullReadContinuesLog(t *testing.T) {
	l := watchingLog()
	l.Reset(Update{Items: []platform.Item{{Key: "b", Revision: 15}, {Key: "c", Revision: 14}}, Revision: 16, ProofAt: bootclock.Now()})
	s := l.read(10)
	want := []string{"c@14 deleted=false", "b@15 deleted=false", "a@16 deleted=true"}
	if diff := cmp.Diff(want, keysOf(s.items)); diff != "" || !s.isComplete {
		t.Errorf("complete %t, changes (-want +got):\n%s", s.isComplete, diff)
	}
}

// Guards against a host that sends a response without end, in its header or its body.
func TestClientLimitsResponse(t *testing.T) {
	endless := func(w http.ResponseWriter, prefix string) {
		conn, buffer, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		_, err = buffer.WriteString(prefix)
		for line := "X-Filler: " + strings.Repeat("x", 1000) + "\r\n"; err == nil; {
			_, err = buffer.WriteString(line)
		}
	}
	for name, prefix := range map[string]string{
		"header": "HTTP/1.1 200 OK\r\n",
		"body":   "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { endless(w, prefix) }))
			t.Cleanup(server.Close)
			client := NewClient(ClientConfig{Timeout: 5 * time.Second})
			startedAt := time.Now()
			if _, err := client.Watch(t.Context(), strings.TrimPrefix(server.URL, "http://"), 1, time.Second); err == nil {
				t.Error("a response without end is accepted")
			}
			if d := time.Since(startedAt); d > 5*time.Second {
				t.Errorf("refused after %v, want at most 5s", d)
			}
		})
	}
}

// Guards against a response that is cut off when the watching host stops and taken for a
// complete one, and against a question that waits for a host that has stopped. The changes
// arrive while the host closes its connections.
func TestHostStopsDuringQuestions(t *testing.T) {
	const questions, changes, rounds = 30, 50, 34
	for round := range rounds {
		l := watchingLog()
		server := httptest.NewServer(NewHandler(l))
		client := NewClient(ClientConfig{Timeout: time.Second})
		var answered, failed atomic.Int64
		var wg sync.WaitGroup
		for range questions {
			wg.Go(func() {
				got, err := client.Watch(t.Context(), strings.TrimPrefix(server.URL, "http://"), 10, testMaxAge)
				switch {
				case err != nil:
					failed.Add(1)
				case got.Revision != 10+changes || len(got.Items) != changes:
					t.Errorf("response with revision %d and %d changes, want %d changes or an error", got.Revision, len(got.Items), changes)
				default:
					answered.Add(1)
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
		startedAt := time.Now()
		update := Update{Revision: 10 + changes, ProofAt: bootclock.Now()}
		for i := range changes {
			update.Items = append(update.Items, platform.Item{Key: fmt.Sprint(i), Value: make([]byte, 1000), Revision: int64(11 + i)})
		}
		time.AfterFunc(time.Duration(round)*10*time.Millisecond/rounds, func() { _ = server.Config.Close() }) // the questions show whether it has stopped
		l.Append(update)
		wg.Wait()
		if took := time.Since(startedAt); took > testMaxAge/2 {
			t.Errorf("the questions ended after %v", took)
		}
		client.Close()
		server.Close()
		t.Logf("%d questions answered, %d failed", answered.Load(), failed.Load())
	}
}

// Guards against bytes that are no response and are taken for one of a watching host.
func TestBrokenHead(t *testing.T) {
	for _, tc := range headtest.Broken("Content-Type: application/json\r\n") {
		t.Run(tc.Name, func(t *testing.T) {
			t.Parallel()
			c := NewClient(ClientConfig{Timeout: 5 * time.Second})
			t.Cleanup(c.Close)
			if changes, err := c.Watch(t.Context(), headtest.Serve(t, tc.Text), 1, 0); !errors.Is(err, responsehead.ErrMalformed) {
				t.Errorf("changes %v, error %v, want ErrMalformed", changes, err)
			}
		})
	}
}
