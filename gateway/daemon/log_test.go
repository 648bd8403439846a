package daemon

import (
	"bytes"
	"flag"
	"strings"
	"sync"
	"testing"

	"k8s.io/klog/v2"
)

// lockedBuffer collects log output and is safe for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// captureLog redirects the log to a buffer, at the highest verbosity, until the
// test ends.
func captureLog(t *testing.T) *lockedBuffer {
	t.Helper()
	var flags flag.FlagSet
	klog.InitFlags(&flags)
	set := func(values map[string]string) {
		for name, value := range values {
			if err := flags.Set(name, value); err != nil {
				t.Fatal(err)
			}
		}
	}
	set(map[string]string{"logtostderr": "false", "stderrthreshold": "FATAL", "v": "9"})
	out := &lockedBuffer{}
	klog.SetOutput(out)
	t.Cleanup(func() {
		klog.Flush()
		klog.SetOutput(&bytes.Buffer{})
		set(map[string]string{"logtostderr": "true", "stderrthreshold": "ERROR", "v": "0"})
	})
	return out
}

// Guards against prompts, responses or bearer tokens in the log at the highest
// verbosity, for requests that are answered, refused or malformed.
func TestLogOmitsPromptsAndTokens(t *testing.T) {
	const prompt, wrongToken, text = "marked-prompt", "marked-token", "marked-answer"
	log := captureLog(t)
	f := startGateway(t, "", startSidecar(t, "e1", respondWith(text), nil))
	body := strings.Replace(chatBody, "hello", prompt, 1)
	f.call("POST", chatPath, body, map[string]string{"Siskin-Request-Id": "request-1"})
	f.call("POST", chatPath, body, map[string]string{"Authorization": "Bearer " + wrongToken})
	f.call("POST", chatPath, strings.Replace(body, "m1", "no-model", 1), nil)
	f.call("POST", chatPath, strings.Replace(body, `"user"`, prompt, 1), nil)
	f.call("POST", chatPath, `{"model":"m1","messages":"`+prompt+`"}`, nil)
	f.call("POST", "/services/quote/x?key="+prompt, prompt, nil)
	f.stop()
	klog.Flush()
	got := log.String()
	for _, secret := range []string{prompt, wrongToken, text, testToken} {
		if strings.Contains(got, secret) {
			t.Errorf("the log contains %q:\n%s", secret, got)
		}
	}
	for _, wanted := range []string{`request_id="request-1-`, `account="a1"`, `attempt=`, `endpoint="e1"`, `reason="unauthorized"`, `verdict="not_run"`} {
		if !strings.Contains(got, wanted) {
			t.Errorf("the log lacks %s:\n%s", wanted, got)
		}
	}
}
