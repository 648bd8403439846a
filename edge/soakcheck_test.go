package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskinstand.example/fakes/platform"
)

type span struct{ from, to time.Time }

func (s span) meets(o span) bool { return !s.from.After(o.to) && !o.from.After(s.to) }

// result is what a caller has seen.
type result struct {
	span
	entry int
	call  platform.Call
	reply platform.Reply
	// left callers have closed their connection early.
	left bool
}

// soakRun is a run that a replica has seen.
type soakRun struct {
	replica, zone string
	platform.Run
}

// soakHistory is what happened in a soak; the checks read nothing else.
type soakHistory struct {
	mu      sync.Mutex
	results []result
	runs    []soakRun
	calm    []span
	// disturbed are the times in which a process was paused or restarted.
	disturbed map[int][]span
	// revoked are the times in which revokedKey did not hold.
	revoked []span
	drained map[string]time.Time
	out     map[string][]span
}

// forever ends a span that has no end yet.
var forever = time.Now().Add(1000 * time.Hour)

func (h *soakHistory) noteKeys(sent time.Time, keys []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	open := len(h.revoked) > 0 && h.revoked[len(h.revoked)-1].to.Equal(forever)
	switch holds := slices.Contains(keys, revokedKey); {
	case !holds && !open:
		h.revoked = append(h.revoked, span{time.Now(), forever})
	case holds && open:
		h.revoked[len(h.revoked)-1].to = sent
	}
}

func (h *soakHistory) disturb(at int, s span) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.disturbed == nil {
		h.disturbed = map[int][]span{}
	}
	h.disturbed[at] = append(h.disturbed[at], s)
}

func (h *soakHistory) drain(id string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.drained == nil {
		h.drained = map[string]time.Time{}
	}
	if _, ok := h.drained[id]; !ok {
		h.drained[id] = at
	}
}

func (h *soakHistory) evacuating(zone string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	spans := h.out[zone]
	return len(spans) > 0 && spans[len(spans)-1].to.Equal(forever)
}

func (h *soakHistory) evacuate(zone string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.out == nil {
		h.out = map[string][]span{}
	}
	h.out[zone] = append(h.out[zone], span{at, forever})
}

func (h *soakHistory) back(zone string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.out[zone][len(h.out[zone])-1].to = at
}

func (h *soakHistory) beginCalm(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calm = append(h.calm, span{at, forever})
}

func (h *soakHistory) endCalm(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calm[len(h.calm)-1].to = at
}

// stormy reports whether a moment lies outside of the calm phases so far.
func (h *soakHistory) stormy(at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !slices.ContainsFunc(h.calm, func(c span) bool { return c.meets(span{at, at}) })
}

// problems lists the promises that were broken.
func (h *soakHistory) problems() []string {
	var list []string
	runs := map[string][]soakRun{}
	for _, r := range h.runs {
		runs[r.Body] = append(runs[r.Body], r)
	}
	served, owed, repeats := 0, 0, 0
	for _, r := range h.results {
		mine := runs[r.call.Body]
		for _, check := range []func(result, []soakRun) string{wrongAnswer, h.untrue, h.unbounded, h.lost} {
			if problem := check(r, mine); problem != "" {
				list = append(list, fmt.Sprintf("%s %s: %s at edge-%d, %s, key %q: %d %.200q (%v) after %v, %d runs, reused: %t",
					r.call.Path, r.reply.AttemptID, problem, r.entry, r.from.Format("15:04:05.000"), r.call.APIKey, r.reply.Status, r.reply.Body, r.reply.Err, r.to.Sub(r.from), len(mine), r.reply.Reused))
			}
		}
		repeats += max(0, len(mine)-1)
		switch {
		case r.reply.Err == nil && r.reply.Status == http.StatusOK:
			served++
			owed++
		case r.left, r.call.APIKey == revokedKey, strings.Contains(r.reply.Body, `"stale_config"`):
			// A host out of touch with the store must refuse keys.
		default:
			owed++
		}
	}
	if 4*served < owed {
		list = append(list, fmt.Sprintf("%d of %d requests served, want a quarter", served, owed))
	}
	// The settings allow a fifth of the requests and 20 more in each 10 s over all hosts.
	if allowed := len(h.results)/5 + 20*(1+int(h.length()/(10*time.Second))); repeats > allowed {
		list = append(list, fmt.Sprintf("%d repeats of %d requests, want at most %d", repeats, len(h.results), allowed))
	}
	return list
}

func (h *soakHistory) length() time.Duration {
	if len(h.results) == 0 {
		return 0
	}
	return h.results[len(h.results)-1].to.Sub(h.results[0].from)
}

func (h *soakHistory) summary() string {
	tally := map[string]int{}
	for _, r := range h.results {
		code, _, _ := strings.Cut(strings.TrimPrefix(r.reply.Body, `{"error":{"code":"`), `"`)
		switch {
		case r.reply.Err != nil:
			tally["no whole answer"]++
		case r.reply.Status >= http.StatusBadRequest:
			tally[fmt.Sprintf("%d %.20s", r.reply.Status, code)]++
		default:
			tally["served"]++
		}
	}
	return fmt.Sprintf("%d requests %v, %d calm phases", len(h.results), tally, len(h.calm))
}

// wrongAnswer is a body that is not a replica's own.
func wrongAnswer(r result, _ []soakRun) string {
	whole := r.reply.Err == nil && r.reply.Status == http.StatusOK
	stream := strings.HasPrefix(r.call.Path, "/streaming/")
	// A replica that sends two answers has extraBody as the first one.
	const extraBody = "first"
	switch {
	case whole && stream && r.reply.Body != platform.StreamBody(soakEvents) && r.reply.Body != extraBody:
		return "events are missing, doubled or joined"
	case whole && !stream && !strings.HasPrefix(r.reply.Body, "answer of i-app-") && r.reply.Body != extraBody:
		return "the body is not the replica's"
	case whole && !strings.HasPrefix(r.reply.Header.Get("Replica-Stamp"), "stamp."):
		return "the answer has no stamp"
	case r.reply.Status == http.StatusOK && stream && !strings.HasPrefix(platform.StreamBody(soakEvents), r.reply.Body) && !strings.HasPrefix(extraBody, r.reply.Body):
		return "the events that came are not the stream's"
	case r.reply.Status == http.StatusUnauthorized && r.call.APIKey != revokedKey, r.reply.Status == http.StatusNotFound:
		return "a route and key that hold are denied"
	}
	return ""
}

// untrue is a run that the answer or the configuration rules out.
func (h *soakHistory) untrue(r result, runs []soakRun) string {
	once := strings.HasPrefix(r.call.Path, "/non_")
	switch {
	case once && len(runs) > 1:
		return "a call has run more than once"
	case once && r.reply.Status == http.StatusServiceUnavailable && len(runs) > 0:
		return "a call that is said not to have run has run"
	case len(runs) > 2:
		return "a request has run more often than its route allows"
	}
	for _, s := range h.revoked {
		if r.call.APIKey == revokedKey && r.from.After(s.from.Add(keyAge)) && r.from.Before(s.to) {
			if slices.ContainsFunc(runs, func(u soakRun) bool { return u.StartedAt.Before(s.to) }) {
				return "a request with a revoked key has run"
			}
		}
	}
	return ""
}

// unbounded is an answer beyond its time limit.
func (h *soakHistory) unbounded(r result, _ []soakRun) string {
	const slack = 500 * time.Millisecond
	if r.to.Sub(r.from) <= soakLimit+slack || h.wasDisturbed(r) {
		return ""
	}
	return "the final answer is late"
}

func (h *soakHistory) wasDisturbed(r result) bool {
	return slices.ContainsFunc(h.disturbed[r.entry], r.meets)
}

// lost is a request that gets no answer, or a run on what is leaving, while
// there was only planned work.
func (h *soakHistory) lost(r result, runs []soakRun) string {
	if !slices.ContainsFunc(h.calm, func(c span) bool { return !r.from.Before(c.from) && !r.to.After(c.to) }) {
		return ""
	}
	for _, u := range runs {
		if at, ok := h.drained[u.replica]; ok && u.StartedAt.After(at.Add(planBound)) {
			return "a replica that has left for long got it"
		}
		for _, s := range h.out[u.zone] {
			if u.StartedAt.After(s.from.Add(planBound)) && u.StartedAt.Before(s.to) {
				return "a zone that has been out for long got it"
			}
		}
	}
	switch {
	case r.left, !r.reply.Connected, r.reply.Reused && len(runs) == 0:
		// A kept connection may close as a request is sent on it.
		return ""
	case errors.Is(r.reply.Err, syscall.ECONNRESET) && len(runs) == 0 && h.wasDisturbed(r):
		// The kernel resets what was not accepted when the listener closed (seed
		// 48: 0.5 ms after the connection, at the end of the notice time).
		return ""
	case r.reply.Err != nil:
		return "no whole answer in a calm phase"
	case r.reply.Status >= http.StatusInternalServerError && r.reply.Status != http.StatusServiceUnavailable:
		return "a failure in a calm phase"
	}
	return ""
}

func TestSoakChecksFire(t *testing.T) {
	// Guards against a soak that passes because its checks see nothing.
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
	ran := func(ms ...int) []soakRun {
		var runs []soakRun
		for _, m := range ms {
			runs = append(runs, soakRun{"i-app-1", "z1", platform.Run{StartedAt: at(m)}})
		}
		return runs
	}
	tests := map[string]struct {
		result result
		runs   []soakRun
		want   string
	}{
		"sound":           {result{call: call, reply: whole}, ran(1), ""},
		"joined events":   {result{call: stream, reply: reply(http.StatusOK, platform.StreamBody(soakEvents)+"id: 3\n")}, nil, "events are missing, doubled or joined"},
		"foreign body":    {result{call: call, reply: reply(http.StatusOK, "other")}, nil, "the body is not the replica's"},
		"no stamp":        {result{call: call, reply: unstamped}, nil, "the answer has no stamp"},
		"denied":          {result{call: call, reply: reply(http.StatusUnauthorized, "")}, nil, "a route and key that hold are denied"},
		"twice":           {result{call: call, reply: whole}, ran(1, 2), "a call has run more than once"},
		"untrue refusal":  {result{call: call, reply: reply(http.StatusServiceUnavailable, "")}, ran(1), "a call that is said not to have run has run"},
		"three runs":      {result{call: stream, reply: reply(http.StatusBadGateway, "")}, ran(1, 2, 3), "a request has run more often than its route allows"},
		"revoked key":     {result{call: revoked, span: span{from: at(2100)}, reply: whole}, ran(2150), "a request with a revoked key has run"},
		"late":            {result{call: call, span: span{to: at(3600)}, reply: whole}, ran(1), "the final answer is late"},
		"late and paused": {result{call: call, entry: 1, span: span{to: at(3600)}, reply: whole}, ran(1), ""},
		"lost":            {result{call: call, span: span{at(5100), at(5200)}, reply: cut}, ran(5150), "no whole answer in a calm phase"},
		"failure in calm": {result{call: call, span: span{at(5100), at(5200)}, reply: reply(http.StatusBadGateway, "")}, ran(5150), "a failure in a calm phase"},
		"evacuated":       {result{call: call, span: span{at(7100), at(7200)}, reply: whole}, ran(7150), "a zone that has been out for long got it"},
		"drained":         {result{call: call, span: span{at(7900), at(7990)}, reply: whole}, ran(7950), "a replica that has left for long got it"},
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
				revoked: []span{{at(1000), at(3000)}}, calm: []span{{at(5000), at(8000)}}, drained: map[string]time.Time{"i-app-1": at(6900)},
				out: map[string][]span{"z1": {{at(5500), at(7500)}}}, disturbed: map[int][]span{1: {{at(0), at(100)}}},
			}
			got := ""
			for _, check := range []func(result, []soakRun) string{wrongAnswer, h.untrue, h.unbounded, h.lost} {
				got += check(tc.result, tc.runs)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}
