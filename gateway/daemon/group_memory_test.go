package daemon

import (
	"net/http"
	"strings"
	"testing"

	pb "siskinstand.example/peerpb"
)

// Guards against a final refusal of a prompt that the pool can run: callers do not send a request
// again after 400 prompt_too_long.
func TestPromptBeyondKnownMemory(t *testing.T) {
	// The prompt needs the memory of all three endpoints.
	body := chatBodyOfTokens(20_000)
	unreported := &pb.Load{PrefillTokensPerSecond: 1000}
	setLoad := func(s *testSidecar, load *pb.Load) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.load = load
	}
	tests := map[string]struct {
		run script
		// before is called before the gateway starts.
		before func(all []*testSidecar)
		// zones is the part of the first configuration that sets the states of zones.
		zones string
	}{
		"one endpoint has not reported": {
			run:    respondWith("ok"),
			before: func(all []*testSidecar) { setLoad(all[2], unreported) },
		},
		"no endpoint has reported": {
			run: refuseTooLong(respondWith("ok")),
			before: func(all []*testSidecar) {
				for _, s := range all {
					setLoad(s, unreported)
				}
			},
		},
		"zone out of service": {run: respondWith("ok"), zones: "[zone zone-e3]\nstate = out\n"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			all := groupSidecars(t, tc.run)
			if tc.before != nil {
				tc.before(all)
			}
			f := startGateway(t, "", all...)
			usable := len(all)
			if tc.zones != "" {
				f.source.set(t, 2, tc.zones)
				usable--
			}
			eventually(t, "the state of the zone", func() bool { return f.daemon.loop.View().Pools["p1"].UsableCount() == usable })
			status, response, header := f.call("POST", chatPath, body, nil)
			assertErrorResponse(t, status, response, http.StatusServiceUnavailable, "no_endpoint", "not_run")
			if header.Get("Retry-After") == "" {
				t.Errorf("no Retry-After in the refusal %s", response)
			}

			for _, s := range all {
				setLoad(s, &pb.Load{MemoryTotalTokens: 10_000, PrefillTokensPerSecond: 1000})
			}
			f.source.set(t, 3, "")
			eventually(t, "an answer with all endpoints", func() bool {
				status, _, _ := f.call("POST", chatPath, body, nil)
				return status == http.StatusOK
			})
			status, response, _ = f.call("POST", chatPath, strings.Replace(body, "four", strings.Repeat("four", 20_000), 1), nil)
			assertErrorResponse(t, status, response, http.StatusBadRequest, "prompt_too_long", "not_run")
		})
	}
}

// refuseTooLong refuses offers without a group, as a sidecar does whose engine is too small.
func refuseTooLong(group script) script {
	return func(o *pb.Offer, s *scriptedStream) error {
		if o.GetGroup() == nil {
			return s.sendRefused("not_run", "prompt_too_long")
		}
		return group(o, s)
	}
}
