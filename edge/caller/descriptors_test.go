package caller

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against a host that takes its replicas for unreachable because it has no free file
// descriptors, and then goes on to refuse requests.
func TestNoFileDescriptors(t *testing.T) {
	replica := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Attempt-Id", "a1")
		w.Header().Set("Replica-Stamp", "s")
		w.Header().Set("Connection", "close") // so that each request needs a new connection
		fmt.Fprint(w, "answer")
	}))
	defer replica.Close()
	s, _ := startServer(t, strings.TrimPrefix(replica.URL, "http://"))
	send := func() int {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader("order"))
		r.Host = "h.example"
		r.Header.Set("Attempt-Id", "a1")
		s.ServeHTTP(w, r)
		return w.Code
	}
	if status := send(); status != http.StatusOK {
		t.Fatalf("status %d, want 200", status)
	}
	withoutDescriptors(t, func() {
		if status := send(); status != http.StatusServiceUnavailable {
			t.Errorf("status %d without file descriptors, want 503", status)
		}
		time.Sleep(50 * time.Millisecond) // a probe would fail too
	})
	if status := send(); status != http.StatusOK {
		t.Errorf("status %d after the shortage, want 200", status)
	}
}

// withoutDescriptors calls f while no file descriptor can be opened.
func withoutDescriptors(t *testing.T, f func()) {
	t.Helper()
	var old syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: 3, Max: old.Max}); err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &old); err != nil {
			t.Error(err)
		}
	}()
	f()
}
