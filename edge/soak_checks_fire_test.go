package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskinstand.example/fakes/platform"
)

func TestSoakChecksFire(t *testing.T) {
	// Guards against a soak that passes because its checks detect nothing.
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	stream, call := platform.StreamCall(10), platform.PlainCall("non_idempotent")
	revoked := platform.PlainCall("idempotent")
	revoked.APIKey = revokedKey
	reply := func(status int, body string) platform.Reply {
		return platform.Reply{Status: status, Body: body, Connected: true, Header: http.Header{"Replica-Stamp": {"stamp.x"}}}
	}
	whole := reply(http.StatusOK, "answer of i-app-1")
	unstamped := whole
	unstamped.Header = http.Header{}
	cut := reply(0, "")
	cut.Err = fmt.Errorf("connection closed")
	ranAt := func(replica string, ms ...int) []soakRun {
		var runs []soakRun
		for _, m := range ms {
			runs = append(runs, soakRun{replica: replica, zone: "z1", Run: platform.Run{StartedAt: at(m)}})
		}
		return runs
	}
	queued := func(runs []soakRun) []soakRun {
		runs[0].queued = time.Second
		return runs
	}
	completed := func(runs []soakRun) []soakRun {
		runs[0].Completed = true
		return runs
	}
	ending := reply(http.StatusBadGateway, `{"error":{"code":"shutting_down"}}`)
	ran := func(ms ...int) []soakRun { return ranAt("i-app-1", ms...) }
	tests := map[string]struct {
		result callResult
		runs   []soakRun
		want   string
	}{
		"valid":           {callResult{call: call, reply: whole}, ran(1), ""},
		"joined events":   {callResult{call: stream, reply: reply(http.StatusOK, platform.StreamBody(soakEvents)+"id: 3\n")}, nil, "stream events are missing, duplicated or merged"},
		"foreign body":    {callResult{call: call, reply: reply(http.StatusOK, "other")}, nil, "the body does not come from a replica"},
		"no stamp":        {callResult{call: call, reply: unstamped}, nil, "the response has no stamp"},
		"denied":          {callResult{call: call, reply: reply(http.StatusUnauthorized, "")}, nil, "a valid route or key was rejected"},
		"twice":           {callResult{call: call, reply: whole}, ran(1, 2), "an at-most-once call has run more than once"},
		"false not-run":   {callResult{call: call, reply: reply(http.StatusServiceUnavailable, "")}, ran(1), "an at-most-once call answered with 503 has run"},
		"three runs":      {callResult{call: stream, reply: reply(http.StatusBadGateway, "")}, ran(1, 2, 3), "a request has run more often than its route allows"},
		"revoked key":     {callResult{call: revoked, timeSpan: timeSpan{from: at(2100)}, reply: whole}, ran(2150), "a request with a revoked key has run"},
		"late":            {callResult{call: call, timeSpan: timeSpan{to: at(3600)}, reply: whole}, ran(1), "the final response came after the timeout"},
		"late and paused": {callResult{call: call, host: 1, timeSpan: timeSpan{to: at(3600)}, reply: whole}, ran(1), ""},
		"lost":            {callResult{call: call, timeSpan: timeSpan{at(5100), at(5200)}, reply: cut}, ran(5150), "no complete response in a planned-change phase; the connection was closed without an answer to a request that has run"},
		"closed":          {callResult{call: stream, timeSpan: timeSpan{at(8100), at(8200)}, reply: cut}, ran(8150), "the connection was closed without an answer to a request that has run"},
		"closed, not run": {callResult{call: stream, timeSpan: timeSpan{at(8100), at(8200)}, reply: cut}, nil, ""},
		"closed, paused":  {callResult{call: call, host: 1, reply: cut}, ran(1), ""},
		"error response":  {callResult{call: call, timeSpan: timeSpan{at(5100), at(5200)}, reply: reply(http.StatusBadGateway, "")}, ran(5150), "an error response in a planned-change phase"},
		"shutdown time is over, replica accepts late":  {callResult{call: call, host: 5, timeSpan: timeSpan{at(5100), at(6200)}, reply: ending}, queued(ran(6100)), ""},
		"shutdown time is over, replica has ended":     {callResult{call: call, host: 5, timeSpan: timeSpan{at(5100), at(6200)}, reply: ending}, completed(queued(ran(6100))), "an error response in a planned-change phase"},
		"shutdown time is over, replica accepts early": {callResult{call: call, host: 5, timeSpan: timeSpan{at(5100), at(6200)}, reply: ending}, queued(ran(5600)), "an error response in a planned-change phase"},
		"shutdown time is over, replica is at work":    {callResult{call: call, host: 5, timeSpan: timeSpan{at(5100), at(6200)}, reply: ending}, ran(6100), "an error response in a planned-change phase"},
		"shutdown time is over, no shutdown":           {callResult{call: call, timeSpan: timeSpan{at(5100), at(6200)}, reply: ending}, queued(ran(6100)), "an error response in a planned-change phase"},
		"evacuated":                                    {callResult{call: call, timeSpan: timeSpan{at(7100), at(7200)}, reply: whole}, ran(7150), "a replica ran the request long after the evacuation of its availability zone"},
		"removed":                                      {callResult{call: call, timeSpan: timeSpan{at(11_100), at(11_200)}, reply: whole}, ran(11_150), "a replica ran the request later than the drain time after its entry was removed"},
		"removed, cut":                                 {callResult{call: call, host: 2, timeSpan: timeSpan{at(11_100), at(11_200)}, reply: whole}, ran(11_150), ""},
		"leaving":                                      {callResult{call: call, host: 3, timeSpan: timeSpan{at(15_100), at(15_200)}, reply: whole}, ranAt("i-app-2", 15_150), "a replica ran the request after it had said that it leaves"},
		"leaving, other":                               {callResult{call: call, host: 4, timeSpan: timeSpan{at(15_100), at(15_200)}, reply: whole}, ranAt("i-app-2", 15_150), ""},
		"drained":                                      {callResult{call: call, timeSpan: timeSpan{at(7900), at(7990)}, reply: whole}, ran(7950), "a replica ran the request long after the start of its drain"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if tc.result.from.IsZero() {
				tc.result.from = start
			}
			if tc.result.to.IsZero() {
				tc.result.to = tc.result.from
			}
			h := soakHistory{
				revoked: []timeSpan{{at(1000), at(3000)}}, plannedPhases: []timeSpan{{at(5000), at(8000)}}, drained: map[string]time.Time{"i-app-1": at(6900)},
				evacuated: map[string][]timeSpan{"z1": {{at(5500), at(7500)}}}, disturbed: map[int][]timeSpan{1: {{at(0), at(100)}}, 2: {{at(9000), at(12_000)}}, 5: {{at(5000), at(7200)}}},
				removed:     map[string]time.Time{"i-app-1": at(9100)},
				toldLeaving: map[hostAndReplica]time.Time{{3, "i-app-2"}: at(13_000), {4, "i-llm-9"}: at(13_000)},
			}
			var found []string
			for _, check := range []func(callResult, []soakRun) string{wrongResponse, h.wrongExecution, h.lateResponse, h.lostInPlannedPhase, h.closedWithoutAnswer, h.lateAtRemovedReplica, h.lateAtLeavingReplica} {
				if problem := check(tc.result, tc.runs); problem != "" {
					found = append(found, problem)
				}
			}
			if diff := cmp.Diff(tc.want, strings.Join(found, "; ")); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}
