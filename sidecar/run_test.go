package main

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"siskinstand.example/coord/invariant"
	"siskinstand.example/service/metrics"
	"siskinstand.example/sidecar/admin"
	"siskinstand.example/sidecar/config"
	"siskinstand.example/sidecar/control"
)

// Guards against a --check option that accepts settings with which the program
// does not start.
func TestCheckReportsInvalidSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "sidecar.ini")
	text := strings.Replace(config.Sample(), "# kind = model", "kind = something", 1)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var errs strings.Builder
	code := program.Execute([]string{"--config", path, "--check"}, io.Discard, &errs)
	if code != 1 || !strings.Contains(errs.String(), "accepted: model, plain") {
		t.Errorf("exit code %d with %q, want 1 and the accepted values", code, errs.String())
	}
}

// Guards against a sidecar that reports ready before its engine has responded,
// and against invariant violations that are missing from the metrics.
func TestAdminReportsStateAndViolations(t *testing.T) {
	m, err := metrics.New(metrics.Config{Prefix: "sidecar", ProcessID: "p", Zone: "z"})
	if err != nil {
		t.Fatal(err)
	}
	invariants := newInvariants("e1", m)
	c := control.DefaultConfig()
	c.Invariants = invariants
	handler := admin.NewHandler(control.New(c), m.Handler)
	get := func(path string) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequestWithContext(context.Background(), http.MethodGet, path, nil))
		return recorder
	}
	if code := get("/readyz").Code; code != http.StatusServiceUnavailable {
		t.Errorf("/readyz = %d before the engine was probed, want 503", code)
	}
	if code := get("/healthz").Code; code != http.StatusOK {
		t.Errorf("/healthz = %d, want 200", code)
	}
	invariants.Check(false, invariant.ZoneOut, "violated on purpose")
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	if body := get("/metrics").Body.String(); !strings.Contains(body, `sidecar_invariant_violations{name="zone_out"`) {
		t.Errorf("/metrics does not contain the violation:\n%s", body)
	}
}
