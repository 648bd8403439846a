package caller

import (
	"net/http"
	"testing"
	"time"

	"siskinstand.example/coord/catalog"
	"siskinstand.example/coord/verdict"
	"siskinstand.example/platform"
)

func TestEstimateDuration(t *testing.T) {
	// Guards against draining hosts that refuse all streams, so that almost no stream is served during a rolling
	// restart of three hosts (in a recorded run, from 6 to 10 s after its start), and against a draining host that
	// accepts requests that it cannot finish.
	engine := &catalog.Engine{StepTime: time.Millisecond}
	stream := &catalog.Route{Repeat: catalog.RepeatStream, Objective: 300 * time.Millisecond}
	call := &catalog.Route{Repeat: catalog.RepeatNever, Objective: 150 * time.Millisecond}
	for name, test := range map[string]struct {
		route   *catalog.Route
		service *catalog.Service
		headers platform.CallerHeaders
		want    time.Duration
	}{
		"short stream by its hint": {stream, &catalog.Service{Engine: engine}, platform.CallerHeaders{MaxOutputTokens: 4000, OutputTokensHint: 500}, 1900 * time.Millisecond},
		"stream without a hint":    {stream, &catalog.Service{Engine: engine}, platform.CallerHeaders{MaxOutputTokens: 4000}, 6700 * time.Millisecond},
		"plain call":               {call, &catalog.Service{}, platform.CallerHeaders{}, 150 * time.Millisecond},
	} {
		q := &request{route: test.route, service: test.service, headers: test.headers}
		if got := q.estimateDuration(); got != test.want {
			t.Errorf("%s: %v, want %v", name, got, test.want)
		}
	}
}

// Guards against a draining host that takes a stream late on the strength of its hint, which
// is accurate only at the median, and cuts it off at the end of the shutdown time.
func TestRequestsAcceptedWhileDraining(t *testing.T) {
	s := &Server{config: Config{DrainAcceptTime: 2 * time.Second, DrainNotice: 2500 * time.Millisecond, DrainDeadline: 7200 * time.Millisecond}}
	service := &catalog.Service{Engine: &catalog.Engine{StepTime: time.Millisecond}}
	stream := &catalog.Route{Repeat: catalog.RepeatStream, Objective: 300 * time.Millisecond}
	call := &catalog.Route{Repeat: catalog.RepeatNever, Objective: 150 * time.Millisecond}
	hinted := platform.CallerHeaders{MaxOutputTokens: 4000, OutputTokensHint: 500}
	for name, test := range map[string]struct {
		route   *catalog.Route
		headers platform.CallerHeaders
		since   time.Duration
		want    bool
	}{
		"any length at first":               {stream, platform.CallerHeaders{MaxOutputTokens: 8000}, 2 * time.Second, true},
		"by its hint before the notice":     {stream, hinted, 2400 * time.Millisecond, true},
		"by its hint after the notice":      {stream, hinted, 3100 * time.Millisecond, false},
		"short at most after the notice":    {stream, platform.CallerHeaders{MaxOutputTokens: 1000, OutputTokensHint: 500}, 3100 * time.Millisecond, true},
		"plain call after the notice":       {call, platform.CallerHeaders{}, 7 * time.Second, true},
		"plain call shortly before the end": {call, platform.CallerHeaders{}, 7100 * time.Millisecond, false},
	} {
		q := &request{server: s, route: test.route, service: service, headers: test.headers}
		if got := q.fitsIntoDrain(test.since); got != test.want {
			t.Errorf("%s: accepted %t, want %t", name, got, test.want)
		}
	}
}

func TestStatusCode(t *testing.T) {
	// Guards against a wrong status: 503 guarantees that a request has not run and never will.
	for name, test := range map[string]struct {
		err  *verdict.Error
		want int
	}{
		"not run":               {verdict.New(verdict.NotRun, verdict.ReasonOverloaded, ""), http.StatusServiceUnavailable},
		"may have run":          {verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, ""), http.StatusBadGateway},
		"not run at its limit":  {verdict.New(verdict.NotRun, verdict.ReasonDeadlineExceeded, ""), http.StatusServiceUnavailable},
		"may have run at limit": {verdict.New(verdict.MayHaveRun, verdict.ReasonDeadlineExceeded, ""), http.StatusGatewayTimeout},
		"unknown key":           {verdict.New(verdict.NotRun, verdict.ReasonUnauthorized, ""), http.StatusUnauthorized},
		"no route":              {verdict.New(verdict.NotRun, verdict.ReasonUnknownService, ""), http.StatusNotFound},
		"service not known yet": {verdict.New(verdict.NotRun, verdict.ReasonUnknownService, "").WithRetryAfter(time.Second), http.StatusServiceUnavailable},
	} {
		if got := statusCode(test.err); got != test.want {
			t.Errorf("%s: %d, want %d", name, got, test.want)
		}
	}
}
