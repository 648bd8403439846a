package httpapi

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"siskinstand.example/coord/verdict"
	"siskinstand.example/gateway/dispatch"
)

// Guards against a response without an acceptable status that callers get as a 200.
func TestPlainSinkStatus(t *testing.T) {
	for name, parts := range map[string][]dispatch.ResponsePart{
		"status 99":       {{Status: 99, Data: []byte("x")}},
		"status 101":      {{Status: 101}},
		"status 600":      {{Status: 600, Data: []byte("x")}},
		"negative status": {{Status: -200, Data: []byte("x")}},
		"no status":       {{Data: []byte("x")}},
		"no part":         nil,
	} {
		t.Run(name, func(t *testing.T) {
			w := httptest.NewRecorder()
			sink := &plainSink{w: w, request: httptest.NewRequest(http.MethodPost, "/services/s/x", nil)}
			var err error
			for _, p := range parts {
				if err = sink.Deliver(p); err != nil {
					break
				}
			}
			if err == nil {
				err = sink.finish()
			}
			if err == nil || verdict.FromError(err) != verdict.MayHaveRun {
				t.Errorf("error %v, want one with the verdict %s", err, verdict.MayHaveRun)
			}
			if w.Body.Len() > 0 || sink.started {
				t.Errorf("response %d %q was begun", w.Code, w.Body)
			}
		})
	}
}
