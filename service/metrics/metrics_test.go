package metrics

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against metrics that are recorded in the scope but not served.
func TestHandlerServesCounter(t *testing.T) {
	m, err := New(Config{Prefix: "gateway", ProcessID: "g1", Zone: "koge"})
	if err != nil {
		t.Fatal(err)
	}
	m.Scope.Tagged(map[string]string{"verdict": "not_run"}).Counter("refusals").Inc(3)
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	m.Handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	want := `gateway_refusals{process="g1",verdict="not_run",zone="koge"} 3`
	if !strings.Contains(recorder.Body.String(), want) {
		t.Errorf("metrics lack %q:\n%s", want, recorder.Body)
	}
}
