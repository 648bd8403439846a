package caller

import (
	"net/http"
	"testing"
	"time"

	"siskinstand.example/coord/catalog"
	"siskinstand.example/coord/verdict"
	"siskinstand.example/edge/control"
	"siskinstand.example/platform"
	"siskinstand.example/service/bootclock"
)

func TestEstimateDuration(t *testing.T) {
	// Guards against draining hosts that refuse all streams, so that almost no stream is served during a rolling
	// restart of three hosts (in a recorded run, from 6 to 10 s after its start), and against a draining host that
	// accepts requests that it cannot finish.
	engine := &catalog.Engine{StepTime: time.Millisecond}
	stream := &catalog.Route{Repeat: catalog.RepeatStream, Objective: 300 * time.Millisecond}
	for name, test := range map[string]struct {
		route   *catalog.Route
		service *catalog.Service
		headers platform.CallerHeaders
		want    time.Duration
	}{
		"short stream by its hint": {stream, &catalog.Service{Engine: engine}, platform.CallerHeaders{MaxOutputTokens: 4000, OutputTokensHint: 500}, 1900 * time.Millisecond},
		"stream without a hint":    {stream, &catalog.Service{Engine: engine}, platform.CallerHeaders{MaxOutputTokens: 4000}, 6700 * time.Millisecond},
	} {
		q := &request{route: test.route, service: test.service, headers: test.headers}
		if got := q.estimateDuration(); got != test.want {
			t.Errorf("%s: %v, want %v", name, got, test.want)
		}
	}
}

// Guards against a draining host that takes a request late and cuts it off at the end of the
// shutdown time: a stream on the strength of its hint, which is accurate only at the median, a
// call on the strength of its objective, which tells nothing about how long it takes, and either
// without regard to the load of the replica.
func TestRequestsAcceptedWhileDraining(t *testing.T) {
	s := &Server{config: Config{DrainAcceptTime: 2 * time.Second, DrainNotice: 2500 * time.Millisecond, DrainDeadline: 7200 * time.Millisecond}}
	service := &catalog.Service{Engine: &catalog.Engine{StepTime: time.Millisecond}}
	stream := &catalog.Route{Repeat: catalog.RepeatStream, Objective: 300 * time.Millisecond}
	call := &catalog.Route{Repeat: catalog.RepeatNever, Objective: 150 * time.Millisecond}
	repeatable := &catalog.Route{Repeat: catalog.RepeatAllowed, Objective: 150 * time.Millisecond}
	hinted := platform.CallerHeaders{MaxOutputTokens: 4000, OutputTokensHint: 500}
	short := platform.CallerHeaders{MaxOutputTokens: 1000, OutputTokensHint: 500}
	const noLateness = 0
	for name, test := range map[string]struct {
		route                     *catalog.Route
		headers                   platform.CallerHeaders
		timeLeft, since, lateness time.Duration
		want                      bool
	}{
		"any length at first":                 {stream, platform.CallerHeaders{MaxOutputTokens: 8000}, 10 * time.Second, 2 * time.Second, noLateness, true},
		"by its hint before the notice":       {stream, hinted, 10 * time.Second, 2400 * time.Millisecond, noLateness, true},
		"by its hint after the notice":        {stream, hinted, 10 * time.Second, 3100 * time.Millisecond, noLateness, false},
		"short at most after the notice":      {stream, short, 10 * time.Second, 3100 * time.Millisecond, noLateness, true},
		"short, at a replica that is late":    {stream, short, 10 * time.Second, 3100 * time.Millisecond, 3 * time.Second, false},
		"late, with little time left":         {stream, short, 4 * time.Second, 3100 * time.Millisecond, 3 * time.Second, true},
		"stream of unknown length":            {stream, platform.CallerHeaders{}, 10 * time.Second, 2100 * time.Millisecond, noLateness, false},
		"any call at first":                   {call, platform.CallerHeaders{}, 10 * time.Second, 2 * time.Second, noLateness, true},
		"call that ends by its limit":         {call, platform.CallerHeaders{}, 1500 * time.Millisecond, 5600 * time.Millisecond, noLateness, true},
		"call whose limit is beyond the end":  {call, platform.CallerHeaders{}, 1500 * time.Millisecond, 5800 * time.Millisecond, noLateness, false},
		"call with a long limit":              {call, platform.CallerHeaders{}, 10 * time.Second, 2100 * time.Millisecond, noLateness, false},
		"repeatable call with a long limit":   {repeatable, platform.CallerHeaders{}, 10 * time.Second, 2100 * time.Millisecond, noLateness, false},
		"call with little time, near the end": {call, platform.CallerHeaders{}, 100 * time.Millisecond, 7 * time.Second, noLateness, true},
	} {
		q := &request{server: s, route: test.route, service: service, headers: test.headers, received: bootclock.Now(), timeout: test.timeLeft}
		if got := q.fitsIntoDrain(test.since, test.lateness); got != test.want {
			t.Errorf("%s: accepted %t, want %t", name, got, test.want)
		}
	}
}

// Guards against a request that has waited, or was refused by a replica, and is sent so late that
// the host stops before its answer.
func TestSendsWhileDraining(t *testing.T) {
	call := &catalog.Route{Repeat: catalog.RepeatNever, Objective: 150 * time.Millisecond}
	stream := &catalog.Route{Repeat: catalog.RepeatStream, Objective: 300 * time.Millisecond}
	for name, test := range map[string]struct {
		route      *catalog.Route
		since      time.Duration
		predicted  time.Duration
		sendCount  int
		mayHaveRun bool
		want       bool
	}{
		"at first":                       {call, time.Second, 0, 0, false, true},
		"late":                           {call, 6 * time.Second, 0, 0, false, false},
		"late, after a refusal":          {call, 6 * time.Second, 0, 1, false, false},
		"late, after a run":              {call, 6 * time.Second, 0, 1, true, true},
		"stream at a free replica":       {stream, 3 * time.Second, 300 * time.Millisecond, 0, false, true},
		"stream at a replica with a lot": {stream, 3 * time.Second, 4 * time.Second, 0, false, false},
	} {
		s := &Server{config: Config{DrainAcceptTime: 2 * time.Second, DrainNotice: 2500 * time.Millisecond, DrainDeadline: 7200 * time.Millisecond}}
		s.drainStartedAt.Store(int64(bootclock.Now() - test.since))
		q := &request{
			server: s, route: test.route, service: &catalog.Service{Engine: &catalog.Engine{StepTime: time.Millisecond}}, headers: platform.CallerHeaders{MaxOutputTokens: 1000},
			received: bootclock.Now(), timeout: 10 * time.Second, sendCount: test.sendCount, mayHaveRun: test.mayHaveRun,
		}
		if got := q.canEndBeforeShutdown(control.Assignment{PredictedFirstEvent: test.predicted}); got != test.want {
			t.Errorf("%s: sent %t, want %t", name, got, test.want)
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
