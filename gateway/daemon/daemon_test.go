package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskinstand.example/adapters/hostlist"
	"siskinstand.example/coord/claim"
	tables "siskinstand.example/coord/config"
	"siskinstand.example/gateway/config"
	"siskinstand.example/service/rungroup"
	"siskinstand.example/service/settings"
)

const (
	testToken = "secret"
	chatBody  = `{"model":"m1","messages":[{"role":"user","content":"hello"}]}`
	chatPath  = "/v1/chat/completions"
)

// fixture is a running gateway with test sidecars.
type fixture struct {
	t       *testing.T
	daemon  *Daemon
	source  *testConfigSource
	claims  *memClaimLog
	stopped chan struct{}
	cancel  context.CancelFunc
	// violations is the number of invariant violations that a test expects.
	violations int64
}

type testConfigSource struct {
	mu       sync.Mutex
	snapshot tables.Snapshot
	changed  chan struct{}
}

func (s *testConfigSource) Current() tables.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

func (s *testConfigSource) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *testConfigSource) set(t *testing.T, revision uint64, pools string) {
	t.Helper()
	hash := fmt.Sprintf("%x", tables.HashToken(testToken))
	routes := "[account a1]\ntoken_sha256 = " + hash + "\n[route r1]\naccounts = a1\nmodel = m1\npool = p1\n" +
		"[route r2]\naccounts = a1\nservice = book\npool = p2\nrepeatable = no\n" +
		"[route r3]\naccounts = a1\nservice = quote\npool = p2\n"
	parsed, err := tables.Parse(tables.File{Name: "routes", Text: []byte(routes)}, tables.File{Name: "pools", Text: []byte(testPools + pools)})
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = tables.Snapshot{Revision: revision, Tables: parsed}
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

const testPools = "[pool p1]\nkind = model\nservice = llm\nmodel = m1\n[pool p2]\nkind = plain\nservice = llm\n"

type testHostList []hostlist.Host

func (h testHostList) ChangesSince(_ context.Context, index uint64) (hostlist.Update, error) {
	if index > 0 {
		return hostlist.Update{Index: 1}, nil
	}
	return hostlist.Update{Index: 1, Full: true, Hosts: h}, nil
}

// memClaimLog is an in-memory claim.Registry.
type memClaimLog struct {
	// completeDelay is how long Complete takes.
	completeDelay time.Duration

	mu      sync.Mutex
	records map[claim.Key]claim.Record
}

func (c *memClaimLog) Claim(_ context.Context, k claim.Key, id string, bodyHash uint64) (claim.Record, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.records[k]; ok {
		return r, nil
	}
	c.records[k] = claim.Record{State: claim.StateHeld, Holder: id, BodyHash: bodyHash}
	return claim.Record{State: claim.StateClaimed}, nil
}

func (c *memClaimLog) Release(_ context.Context, k claim.Key, _ string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.records, k)
	return nil
}

func (c *memClaimLog) Complete(_ context.Context, k claim.Key, _ string, result claim.Result) error {
	time.Sleep(c.completeDelay)
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.records[k]
	r.State, r.Result = claim.StateDone, result
	c.records[k] = r
	return nil
}

// startGateway runs a gateway. extra holds additional sections of the settings
// file.
func startGateway(t *testing.T, extra string, sidecars ...*testSidecar) *fixture {
	t.Helper()
	return startGatewayWithTLS(t, TLSKeys{}, extra, sidecars...)
}

func startGatewayWithTLS(t *testing.T, keys TLSKeys, extra string, sidecars ...*testSidecar) *fixture {
	t.Helper()
	callers := "[callers]\naddress = 127.0.0.1:0\nwrite_timeout = 1s\nheader_timeout = 500ms\nbody_timeout = 300ms\n"
	if strings.Contains(extra, "[callers]") {
		callers = "" // extra has its own section
	}
	text := "[process]\nid = g1\nzone = z1\n" + callers + "[admin]\naddress = 127.0.0.1:0\n" +
		"[tables]\nroutes = r\npools = p\n[platform]\nhost_list = test\nhost_interval = 50ms\n[shutdown]\nnotice = 100ms\nlimit = 5s\n" + extra
	s, err := settings.Parse[config.Settings]("test.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	var hosts testHostList
	for _, sc := range sidecars {
		hosts = append(hosts, hostlist.Host{Name: sc.name, Zone: "zone-" + sc.name, Role: hostlist.RoleEndpoint, Service: "llm", Address: sc.addr, State: hostlist.StateLive})
	}
	f := &fixture{t: t, source: &testConfigSource{}, claims: &memClaimLog{records: map[claim.Key]claim.Record{}}, stopped: make(chan struct{})}
	f.source.set(t, 1, "")
	base, err := NewBase(s, keys)
	if err != nil {
		t.Fatal(err)
	}
	if f.daemon, err = New(base, Dependencies{Source: f.source, Hosts: hosts, Claims: f.claims}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go func() {
		defer close(f.stopped)
		f.daemon.runUntil(ctx)
	}()
	t.Cleanup(f.stop)
	eventually(t, "reports of all sidecars", func() bool {
		pool, ok := f.daemon.loop.View().Pools["p1"]
		if !ok || len(pool.Endpoints) != len(sidecars) {
			return false
		}
		for _, e := range pool.Endpoints {
			if e.LastLoad() == nil {
				return false
			}
		}
		return true
	})
	return f
}

func (f *fixture) stop() {
	f.cancel()
	<-f.stopped
	if n := f.daemon.Invariants.Total(); n != f.violations {
		f.t.Errorf("%d invariant violations, want %d", n, f.violations)
	}
}

func (f *fixture) request(method, path, body string, header map[string]string) *http.Request {
	f.t.Helper()
	r, err := http.NewRequest(method, "http://"+f.daemon.CallerAddress()+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testToken)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	return r
}

func (f *fixture) call(method, path, body string, header map[string]string) (int, string, http.Header) {
	f.t.Helper()
	response, err := http.DefaultClient.Do(f.request(method, path, body, header))
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return response.StatusCode, string(data), response.Header
}

// streamText joins the text of a stream and reports whether its end marker was
// received.
func streamText(t *testing.T, body string) (text string, done bool) {
	t.Helper()
	for line := range strings.SplitSeq(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var event struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if err := json.NewDecoder(bytes.NewReader([]byte(data))).Decode(&event); err != nil {
			t.Fatal(err)
		}
		for _, c := range event.Choices {
			text += c.Delta.Content
		}
	}
	return text, false
}

func assertErrorResponse(t *testing.T, status int, body string, wantStatus int, wantCode, wantVerdict string) {
	t.Helper()
	var got struct {
		Error struct{ Code, Message, Verdict string }
	}
	if err := json.Unmarshal([]byte(body), &got); err != nil {
		t.Fatalf("error response %q: %v", body, err)
	}
	type errorResponse struct {
		Status        int
		Code, Verdict string
	}
	want := errorResponse{wantStatus, wantCode, wantVerdict}
	if diff := cmp.Diff(want, errorResponse{status, got.Error.Code, got.Error.Verdict}); diff != "" {
		t.Errorf("error response differs (-want +got):\n%s%s", diff, body)
	}
}

// Guards against failures on the path of a request from HTTP to gRPC and back.
func TestResponse(t *testing.T) {
	f := startGateway(t, "", startSidecar(t, "e1", respondWith("Hel", "lo"), nil), startSidecar(t, "e2", respondWith("Hel", "lo"), nil))
	status, body, _ := f.call("POST", chatPath, chatBody, nil)
	if want := `"message":{"role":"assistant","content":"Hello"},"finish_reason":"stop"`; status != 200 || !strings.Contains(body, want) {
		t.Errorf("response = %d %s, want %s", status, body, want)
	}
	_, body, _ = f.call("POST", chatPath, strings.Replace(chatBody, "{", `{"stream":true,`, 1), nil)
	if text, done := streamText(t, body); text != "Hello" || !done {
		t.Errorf("stream = %q, done %v, want Hello and the end marker", text, done)
	}
	_, body, _ = f.call("GET", "/v1/models", "", nil)
	if !strings.Contains(body, `"id":"m1"`) {
		t.Errorf("models = %s, want m1", body)
	}
}

// runUntil is like Run, but drains when ctx is cancelled instead of on a signal.
func (d *Daemon) runUntil(ctx context.Context) {
	var g rungroup.Group
	d.addTasks(&g)
	g.Add("test", func(group context.Context) error {
		select {
		case <-ctx.Done():
			d.Drain(group)
		case <-group.Done():
		}
		return nil
	})
	if err := d.run(&g); err != nil {
		panic(err)
	}
}
