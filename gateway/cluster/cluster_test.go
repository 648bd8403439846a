package cluster

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"siskinstand.example/adapters/hostlist"
	"siskinstand.example/adapters/kvstore"
	"siskinstand.example/gateway/config"
	"siskinstand.example/gateway/daemon"
	"siskinstand.example/service/settings"
)

type emptyHostList struct{}

func (emptyHostList) ChangesSince(context.Context, uint64) (hostlist.Update, error) {
	return hostlist.Update{Index: 1, Full: true}, nil
}

// Guards against a gateway that reports itself ready, does not refuse requests with
// a Retry-After header, or does not stop after a task has ended, when neither the
// store nor any peer is reachable.
func TestStoreDown(t *testing.T) {
	text := "[process]\nid = g1\nzone = z1\n[callers]\naddress = 127.0.0.1:0\n[admin]\naddress = 127.0.0.1:0\n[platform]\nhost_list = x\n" +
		"[store]\naddress = x\n[peers]\naddress = 127.0.0.1:0\n[shutdown]\nnotice = 0s\n"
	s, err := settings.Parse[config.Settings]("test.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	stoppedStore := httptest.NewServer(nil)
	stoppedStore.Close()
	base, err := daemon.NewBase(s, daemon.TLSKeys{})
	if err != nil {
		t.Fatal(err)
	}
	dependencies, err := Open(base, kvstore.NewClient(strings.TrimPrefix(stoppedStore.URL, "http://"), kvstore.DefaultLimits()), emptyHostList{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	dependencies.Tasks = append(dependencies.Tasks, daemon.Task{Name: "test", Run: func(context.Context) error { <-ctx.Done(); return nil }})
	d, err := daemon.New(base, dependencies)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	go func() { done <- d.Run() }()
	time.Sleep(time.Second)
	if d.NotReadyReason() != "no configuration" {
		t.Errorf("NotReadyReason = %q, want \"no configuration\"", d.NotReadyReason())
	}
	response, err := http.Get("http://" + d.CallerAddress() + "/v1/models")
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, want 503 with a Retry-After header", response.StatusCode)
	}
	stop()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the gateway did not stop within 5 s after one of its tasks ended")
	}
}
