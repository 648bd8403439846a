package engine

import (
	"net/http"
	"testing"
	"time"

	"siskinstand.example/coord/responsehead/headtest"
	"siskinstand.example/coord/verdict"
)

// Guards against the response of an engine or service without an acceptable head: callers of
// the gateway got it as a 200, and a service that sends one counted as ready.
func TestBrokenHead(t *testing.T) {
	request := Request{AttemptID: "a", Method: http.MethodPost, Path: "/x", Body: []byte("{}")}
	for _, tc := range headtest.Broken("Content-Type: application/json\r\n") {
		t.Run(tc.Name, func(t *testing.T) {
			t.Parallel()
			address := headtest.Serve(t, tc.Text)
			deliver := func(c Chunk) error {
				t.Errorf("delivered status %d, %q", c.HTTPStatus, c.Data)
				return nil
			}
			check := func(what string, err error) {
				t.Helper()
				if err == nil || verdict.FromError(err) != verdict.MayHaveRun {
					t.Errorf("%s: error %v, want one with the verdict %s", what, err, verdict.MayHaveRun)
				}
			}
			startedAt := time.Now()
			plain, model := NewPlainClient(address, DefaultLimits()), NewModelClient(address, DefaultLimits())
			_, err := plain.Run(t.Context(), request, deliver)
			check("request to the service", err)
			_, err = plain.State(t.Context())
			check("probe of the service", err)
			_, err = model.Run(t.Context(), request, deliver)
			check("request to the engine", err)
			_, err = model.State(t.Context())
			check("report of the engine", err)
			if d := time.Since(startedAt); d > time.Second {
				t.Errorf("the calls took %v, want less than 1s", d)
			}
		})
	}
}
