package httpapi

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/uber-go/tally/v4"

	tables "siskinstand.example/coord/config"
	"siskinstand.example/coord/verdict"
	"siskinstand.example/gateway/config"
	"siskinstand.example/gateway/control"
	"siskinstand.example/gateway/dispatch"
)

// echoDispatcher responds to every request with its body in parts of three bytes.
type echoDispatcher struct{}

func (echoDispatcher) Run(_ context.Context, r *dispatch.Request, sink dispatch.Sink) (dispatch.Result, error) {
	for rest := r.Body; len(rest) > 0; {
		n := min(3, len(rest))
		if err := sink.Deliver(dispatch.ResponsePart{Data: rest[:n]}); err != nil {
			return dispatch.Result{}, verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "gone").WithCause(err)
		}
		rest = rest[n:]
	}
	return dispatch.Result{FinishReason: "stop"}, nil
}

func newTestServer(t testing.TB) *Server {
	t.Helper()
	return newTestServerWith(t, func(*Config) {})
}

// newTestServerWith returns a server whose configuration was changed by prepare.
func newTestServerWith(t testing.TB, prepare func(*Config)) *Server {
	t.Helper()
	hash := tables.HashToken("secret")
	routes := "[account a]\ntoken_sha256 = " + hex.EncodeToString(hash[:]) + "\n[route m]\naccounts = a\nmodel = m1\npool = p\n[route s]\naccounts = a\nservice = s1\npool = q\n"
	pools := "[pool p]\nkind = model\nservice = x\nmodel = m1\n[pool q]\nkind = plain\nservice = x\n"
	parsed, err := tables.Parse(tables.File{Name: "routes", Text: []byte(routes)}, tables.File{Name: "pools", Text: []byte(pools)})
	if err != nil {
		t.Fatal(err)
	}
	view := &control.View{Configured: true, Config: tables.Snapshot{Revision: 1, Tables: parsed}}
	c := Config{
		Limits: config.Callers{
			MaxRequests: 10, MaxBodyBytes: 1 << 16, BodyMemoryBytes: 1 << 20, MaxAnswerBytes: 1 << 20,
			DefaultOutputTokens: 10, MaxOutputTokens: 100, WriteTimeout: 1e9, BodyTimeout: 1e9,
		},
		View: func() *control.View { return view }, Dispatcher: echoDispatcher{}, Scope: tally.NoopScope,
	}
	prepare(&c)
	return New(c)
}

// Guards against input that crashes a handler, produces an invalid JSON response,
// succeeds without a valid token, or leaks a request count or reserved body memory.
func FuzzHandler(f *testing.F) {
	f.Add("POST", "/v1/chat/completions", "secret", "100", `{"model":"m1","messages":[]}`)
	f.Add("POST", "/v1/chat/completions", "secret", "", `{"model":"m1","stream":true,"messages":["€"]}`)
	f.Add("POST", "/v1/completions", "secret", "-1", `{"model":"m1","prompt":"x"}`)
	f.Add("PUT", "/services/s1/a//b/../c?d", "secret", "9999999999999999999", "\xff\x00")
	f.Add("GET", "/v1/models", "none", "", "")
	f.Fuzz(func(t *testing.T, method, path, token, deadline, body string) {
		target, err := url.ParseRequestURI(path)
		if err != nil || !strings.HasPrefix(path, "/") || !validMethod(method) {
			return
		}
		s := newTestServer(t)
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
		r.Method, r.URL = method, target
		r.Header.Set("Authorization", "Bearer "+token)
		r.Header.Set(headerDeadline, deadline)
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, r)
		if strings.HasPrefix(w.Header().Get("Content-Type"), "application/json") && !json.Valid(w.Body.Bytes()) {
			t.Errorf("response with status %d is not JSON: %q", w.Code, w.Body)
		}
		if token != "secret" && w.Code == http.StatusOK {
			t.Errorf("%s %s succeeded without a valid token", method, path)
		}
		if s.gate.count() != 0 || s.memory.Held() != 0 {
			t.Error("a request or its body is still counted")
		}
	})
}

func validMethod(m string) bool {
	return m != "" && !strings.ContainsFunc(m, func(r rune) bool { return r < 'A' || r > 'Z' })
}

// Guards against accepting a body without a model or prompt or with invalid UTF-8,
// and against refusing one without the verdict not_run.
func FuzzDecodeCompletion(f *testing.F) {
	f.Add(`{"model":"m","messages":[{"role":"user","content":"x"}]}`)
	f.Add(`{"model":"m","prompt":["a",1]}`)
	f.Add(`{"model":1}`)
	f.Fuzz(func(t *testing.T, text string) {
		for _, form := range []format{chatFormat, textFormat} {
			b, prompt, err := decodeCompletion(form, []byte(text))
			if err != nil {
				if verdict.FromError(err) != verdict.NotRun {
					t.Errorf("error %v, want the verdict not_run", err)
				}
				continue
			}
			if b.Model == "" || !json.Valid(prompt) || !utf8.ValidString(text) {
				t.Errorf("accepted %q, want a refusal or a model, a prompt in JSON and valid UTF-8", text)
			}
		}
	})
}

// Guards against request IDs that corrupt a header or a log line.
func FuzzRequestID(f *testing.F) {
	f.Add("abc")
	f.Add("a\r\nb")
	f.Fuzz(func(t *testing.T, given string) {
		if id := newRequestID(given); strings.ContainsFunc(id, notPrintable) || len(id) > maxRequestIDBytes+30 {
			t.Errorf("identifier %q, want a limited number of printable characters", id)
		}
	})
}

// Guards against corrupting characters that are split across chunks.
func TestSplitCharacters(t *testing.T) {
	body := `{"model":"m1","stream":true,"messages":["é€😀é€😀"]}`
	s := newTestServer(t)
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer secret")
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	var text string
	for line := range strings.SplitSeq(w.Body.String(), "\n") {
		var d responseBody
		if data, ok := strings.CutPrefix(line, "data: {"); ok && json.Unmarshal([]byte("{"+data), &d) == nil && len(d.Choices) > 0 {
			text += d.Choices[0].Delta.Content
		}
	}
	if text != body {
		t.Errorf("text = %q, want %q", text, body)
	}
}
