package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"siskinstand.example/fakes/platform"
)

// timeSpan is the time from one moment to another.
type timeSpan struct{ from, to time.Time }

func (s timeSpan) overlaps(o timeSpan) bool { return !s.from.After(o.to) && !o.from.After(s.to) }

// callResult is the result of a call as the caller has seen it.
type callResult struct {
	timeSpan
	host  int
	call  platform.Call
	reply platform.Reply
	// callerLeft is set if the caller was to disconnect early.
	callerLeft bool
}

// soakRun is the execution of a request at a replica.
type soakRun struct {
	replica, zone string
	platform.Run
	// queued is how long the request had waited until the replica accepted its connection.
	queued time.Duration
}

func (r soakRun) String() string {
	return fmt.Sprintf("%s at %s, %s in its accept queue", r.replica, r.StartedAt.Format("15:04:05.000"), r.queued)
}

// soakHistory records what happened in a soak. It is the only input of the checks.
type soakHistory struct {
	mu            sync.Mutex
	results       []callResult
	runs          []soakRun
	plannedPhases []timeSpan
	// disturbed holds the times during which a host was paused or restarted, by index.
	disturbed map[int][]timeSpan
	// revoked holds the times during which revokedKey was invalid.
	revoked []timeSpan
	drained map[string]time.Time
	// removed holds when the entry of a replica was removed while a host was cut off from the
	// store and nothing else was disturbed.
	removed map[string]time.Time
	// toldLeaving holds when a host first passed on an answer of a replica that says that it
	// leaves.
	toldLeaving map[hostAndReplica]time.Time
	evacuated   map[string][]timeSpan
}

type hostAndReplica struct {
	host    int
	replica string
}

// forever is the end of a timeSpan that is still open.
var forever = time.Now().Add(1000 * time.Hour)

func (h *soakHistory) recordKeys(sent time.Time, keys []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	open := len(h.revoked) > 0 && h.revoked[len(h.revoked)-1].to.Equal(forever)
	switch holds := slices.Contains(keys, revokedKey); {
	case !holds && !open:
		h.revoked = append(h.revoked, timeSpan{time.Now(), forever})
	case holds && open:
		h.revoked[len(h.revoked)-1].to = sent
	}
}

func (h *soakHistory) recordDisturbance(hostIndex int, s timeSpan) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.disturbed == nil {
		h.disturbed = map[int][]timeSpan{}
	}
	h.disturbed[hostIndex] = append(h.disturbed[hostIndex], s)
}

func (h *soakHistory) recordDrain(id string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.drained == nil {
		h.drained = map[string]time.Time{}
	}
	if _, ok := h.drained[id]; !ok {
		h.drained[id] = at
	}
}

func (h *soakHistory) recordRemoval(id string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.removed == nil {
		h.removed = map[string]time.Time{}
	}
	h.removed[id] = at
}

func (h *soakHistory) isEvacuated(zone string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	spans := h.evacuated[zone]
	return len(spans) > 0 && spans[len(spans)-1].to.Equal(forever)
}

func (h *soakHistory) recordEvacuation(zone string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.evacuated == nil {
		h.evacuated = map[string][]timeSpan{}
	}
	h.evacuated[zone] = append(h.evacuated[zone], timeSpan{at, forever})
}

func (h *soakHistory) recordZoneReturn(zone string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evacuated[zone][len(h.evacuated[zone])-1].to = at
}

func (h *soakHistory) beginPlannedPhase(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.plannedPhases = append(h.plannedPhases, timeSpan{at, forever})
}

func (h *soakHistory) endPlannedPhase(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.plannedPhases[len(h.plannedPhases)-1].to = at
}

// inFaultPhase reports whether a time lies outside of all planned-change phases so far.
func (h *soakHistory) inFaultPhase(at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !slices.ContainsFunc(h.plannedPhases, func(c timeSpan) bool { return c.overlaps(timeSpan{at, at}) })
}

// violations lists the guarantees that were violated.
func (h *soakHistory) violations() []string {
	var list []string
	runs := map[string][]soakRun{}
	for _, r := range h.runs {
		runs[r.Body] = append(runs[r.Body], r)
	}
	h.findLeavingReplicas()
	served, expected, retries := 0, 0, 0
	for _, r := range h.results {
		mine := runs[r.call.Body]
		for _, check := range []func(callResult, []soakRun) string{wrongResponse, h.wrongExecution, h.lateResponse, h.lostInPlannedPhase, h.closedWithoutAnswer, h.lateAtRemovedReplica, h.lateAtLeavingReplica} {
			if problem := check(r, mine); problem != "" {
				list = append(list, fmt.Sprintf("%s %s: %s at edge-%d, %s, key %q: %d %.200q (%v) after %v, runs %v, reused: %t",
					r.call.Path, r.reply.AttemptID, problem, r.host, r.from.Format("15:04:05.000"), r.call.APIKey, r.reply.Status, r.reply.Body, r.reply.Err, r.to.Sub(r.from), mine, r.reply.Reused))
			}
		}
		retries += max(0, len(mine)-1)
		switch {
		case r.reply.Err == nil && r.reply.Status == http.StatusOK:
			served++
			expected++
		case r.callerLeft, r.call.APIKey == revokedKey, strings.Contains(r.reply.Body, `"stale_config"`):
			// A host without contact to the store must refuse keys.
		default:
			expected++
		}
	}
	if 4*served < expected {
		list = append(list, fmt.Sprintf("%d of %d requests served, want at least a quarter", served, expected))
	}
	// The settings allow retries for a fifth of the requests, plus 20 in every 10 s, for all hosts together.
	if allowed := len(h.results)/5 + 20*(1+int(h.length()/(10*time.Second))); retries > allowed {
		list = append(list, fmt.Sprintf("%d retries for %d requests, want at most %d", retries, len(h.results), allowed))
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
			tally["no complete response"]++
		case r.reply.Status >= http.StatusBadRequest:
			tally[fmt.Sprintf("%d %.20s", r.reply.Status, code)]++
		default:
			tally["served"]++
		}
	}
	return fmt.Sprintf("%d requests %v, %d planned-change phases", len(h.results), tally, len(h.plannedPhases))
}

// wrongResponse reports a response that no replica has sent, and a rejection of a valid
// route or key.
func wrongResponse(r callResult, _ []soakRun) string {
	whole := r.reply.Err == nil && r.reply.Status == http.StatusOK
	stream := strings.HasPrefix(r.call.Path, "/streaming/")
	// firstOfTwoBody is the body of the first response of a replica that sends two (see
	// platform.ResponseDuplicated).
	const firstOfTwoBody = "first"
	switch {
	case whole && stream && r.reply.Body != platform.StreamBody(soakEvents) && r.reply.Body != firstOfTwoBody:
		return "stream events are missing, duplicated or merged"
	case whole && !stream && !strings.HasPrefix(r.reply.Body, "answer of i-app-") && r.reply.Body != firstOfTwoBody:
		return "the body does not come from a replica"
	case whole && !strings.HasPrefix(r.reply.Header.Get("Replica-Stamp"), "stamp."):
		return "the response has no stamp"
	case r.reply.Status == http.StatusOK && stream && !strings.HasPrefix(platform.StreamBody(soakEvents), r.reply.Body) && !strings.HasPrefix(firstOfTwoBody, r.reply.Body):
		return "the received events are not the start of the stream"
	case r.reply.Status == http.StatusUnauthorized && r.call.APIKey != revokedKey, r.reply.Status == http.StatusNotFound:
		return "a valid route or key was rejected"
	}
	return ""
}

// wrongExecution reports a run that contradicts the response or the configuration.
func (h *soakHistory) wrongExecution(r callResult, runs []soakRun) string {
	once := strings.HasPrefix(r.call.Path, "/non_")
	switch {
	case once && len(runs) > 1:
		return "an at-most-once call has run more than once"
	case once && r.reply.Status == http.StatusServiceUnavailable && len(runs) > 0:
		return "an at-most-once call answered with 503 has run"
	case len(runs) > 2:
		return "a request has run more often than its route allows"
	}
	for _, s := range h.revoked {
		if r.call.APIKey == revokedKey && r.from.After(s.from.Add(keyAge)) && r.from.Before(s.to) {
			if slices.ContainsFunc(runs, func(run soakRun) bool { return run.StartedAt.Before(s.to) }) {
				return "a request with a revoked key has run"
			}
		}
	}
	return ""
}

// lateResponse reports a response after the timeout of the route, unless the host was paused
// or restarted.
func (h *soakHistory) lateResponse(r callResult, _ []soakRun) string {
	const slack = 500 * time.Millisecond
	if r.to.Sub(r.from) <= soakRouteTimeout+slack || h.wasDisturbed(r) {
		return ""
	}
	return "the final response came after the timeout"
}

func (h *soakHistory) wasDisturbed(r callResult) bool {
	return slices.ContainsFunc(h.disturbed[r.host], r.overlaps)
}

// lostInPlannedPhase reports what must not happen in a planned-change phase: an incomplete
// response, a 5xx status other than 503, and a run at a replica long after the start of its
// drain or the evacuation of its availability zone.
func (h *soakHistory) lostInPlannedPhase(r callResult, runs []soakRun) string {
	if !slices.ContainsFunc(h.plannedPhases, func(c timeSpan) bool { return !r.from.Before(c.from) && !r.to.After(c.to) }) {
		return ""
	}
	for _, run := range runs {
		if at, ok := h.drained[run.replica]; ok && run.StartedAt.After(at.Add(plannedChangeBound)) {
			return "a replica ran the request long after the start of its drain"
		}
		for _, s := range h.evacuated[run.zone] {
			if run.StartedAt.After(s.from.Add(plannedChangeBound)) && run.StartedAt.Before(s.to) {
				return "a replica ran the request long after the evacuation of its availability zone"
			}
		}
	}
	switch {
	case r.callerLeft, !r.reply.Connected, r.reply.Reused && len(runs) == 0:
		// A host may close an idle connection just as a request is sent on it.
		return ""
	case errors.Is(r.reply.Err, syscall.ECONNRESET) && len(runs) == 0 && h.wasDisturbed(r):
		// The kernel resets connections that are not yet accepted when the listener closes. With seed 48, the
		// listener closed 0.5 ms after the connection was made, at the end of the notice time.
		return ""
	case h.wasDisturbed(r) && strings.Contains(r.reply.Body, `"shutting_down"`) && slices.ContainsFunc(runs, func(run soakRun) bool {
		return run.queued > 0 && !run.Completed && run.StartedAt.After(r.to.Add(-shutdownTime/6))
	}):
		// A replica that is still at work in the last sixth of the shutdown time may lose its response. The host
		// ends requests in that time, so that a run which was not completed then was at work. With seed 1, the
		// replica accepted the connection 2 s after the bytes had arrived.
		return ""
	case r.reply.Err != nil:
		return "no complete response in a planned-change phase"
	case r.reply.Status >= http.StatusInternalServerError && r.reply.Status != http.StatusServiceUnavailable:
		return "an error response in a planned-change phase"
	}
	return ""
}

// closedWithoutAnswer reports a connection that ended without a byte of an answer although a replica
// had run the request, unless the host was paused or restarted.
func (h *soakHistory) closedWithoutAnswer(r callResult, runs []soakRun) string {
	if r.callerLeft || !r.reply.Connected || r.reply.Status != 0 || len(runs) == 0 || h.wasDisturbed(r) {
		return ""
	}
	return "the connection was closed without an answer to a request that has run"
}

// lateAtRemovedReplica reports a run at a replica later than the drain time after its entry was
// removed, unless the host was cut off from the store, paused or restarted.
func (h *soakHistory) lateAtRemovedReplica(r callResult, runs []soakRun) string {
	for _, run := range runs {
		if at, ok := h.removed[run.replica]; ok && run.StartedAt.After(at.Add(drainTime)) && !h.wasDisturbed(r) {
			return "a replica ran the request later than the drain time after its entry was removed"
		}
	}
	return ""
}

// findLeavingReplicas derives toldLeaving from the results.
func (h *soakHistory) findLeavingReplicas() {
	if h.toldLeaving == nil {
		h.toldLeaving = map[hostAndReplica]time.Time{}
	}
	for _, r := range h.results {
		if r.reply.Err != nil || r.reply.Header.Get("Server-Leaving") == "" {
			continue
		}
		key := hostAndReplica{r.host, strings.TrimPrefix(r.reply.Header.Get("Replica-Stamp"), "stamp.")}
		if at, ok := h.toldLeaving[key]; !ok || r.to.Before(at) {
			h.toldLeaving[key] = r.to
		}
	}
}

// lateAtLeavingReplica reports a run at a replica later than the drain time after the host had
// passed on that it leaves, unless the host was paused or restarted since then.
func (h *soakHistory) lateAtLeavingReplica(r callResult, runs []soakRun) string {
	for _, run := range runs {
		at, ok := h.toldLeaving[hostAndReplica{r.host, run.replica}]
		since := timeSpan{at, r.to}
		if ok && r.from.After(at.Add(drainTime)) && !slices.ContainsFunc(h.disturbed[r.host], since.overlaps) {
			return "a replica ran the request after it had said that it leaves"
		}
	}
	return ""
}
