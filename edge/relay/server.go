package relay

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/platform"
	"siskinstand.example/service/bootclock"
)

const (
	// path is the path of the only call: wait for changes after a revision.
	path = "/changes"
	// maxWaiting is the maximum number of questions that wait for a response. It exceeds the
	// number of hosts in an availability zone at the design size.
	maxWaiting = 128
	// maxProofAge is the longest max_age_ms accepted, in milliseconds.
	maxProofAge = 60_000
)

// response is the body of a response, in JSON. Times are in microseconds.
type response struct {
	Changes  []change `json:"changes"`
	Revision int64    `json:"revision"`
	// HeldMicros is how long the question was held, and ProofAgeMicros how old the proof of
	// Revision was at the end of that time.
	HeldMicros     int64 `json:"held_us"`
	ProofAgeMicros int64 `json:"proof_age_us"`
	// FailureAgeMicros is the age of the last failed call to the store, or -1.
	FailureAgeMicros int64 `json:"failure_age_us"`
}

type change struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Handler answers the questions of other hosts from a log.
type Handler struct {
	log     *Log
	waiting chan struct{}
}

// NewHandler returns a handler for the log.
func NewHandler(l *Log) *Handler { return &Handler{log: l, waiting: make(chan struct{}, maxWaiting)} }

// ServeHTTP responds at the next response of the store or failure of a call, or when the
// proof reaches the age max_age_ms. The status is 503 if this host does not watch the store,
// and 410 if the log does not reach back to the revision.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	askedAt := bootclock.Now()
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	maxAge, ageErr := strconv.ParseInt(r.URL.Query().Get("max_age_ms"), 10, 64)
	if r.URL.Path != path || err != nil || ageErr != nil || maxAge <= 0 || maxAge > maxProofAge {
		http.Error(w, "want "+path+"?after=REVISION&max_age_ms=MILLISECONDS", http.StatusBadRequest)
		return
	}
	select {
	case h.waiting <- struct{}{}:
		defer func() { <-h.waiting }()
	default:
		http.Error(w, "too many hosts wait for changes", http.StatusServiceUnavailable)
		return
	}
	s := h.log.read(after)
	if s.isWatching && s.isComplete && len(s.items) == 0 {
		timer := time.NewTimer(time.Duration(maxAge)*time.Millisecond - (askedAt - s.proofAt))
		defer timer.Stop()
		select {
		case <-s.changed:
		case <-timer.C:
		case <-r.Context().Done():
			return
		}
		s = h.log.read(after)
	}
	switch {
	case !s.isWatching:
		http.Error(w, "this host does not watch the store", http.StatusServiceUnavailable)
	case !s.isComplete:
		http.Error(w, "changes are no longer available", http.StatusGone)
	default:
		writeResponse(w, s, askedAt)
	}
}

func writeResponse(w http.ResponseWriter, s state, askedAt time.Duration) {
	// The times are read after the state, so that they can only make the proof older.
	now := bootclock.Now()
	body := response{Revision: s.revision, HeldMicros: (now - askedAt).Microseconds(), ProofAgeMicros: (now - s.proofAt).Microseconds() + 1, FailureAgeMicros: -1}
	if s.failedAt > 0 {
		body.FailureAgeMicros = (now - s.failedAt).Microseconds()
	}
	for _, i := range s.items {
		body.Changes = append(body.Changes, change{Key: i.Key, Value: i.Value, Revision: i.Revision, Deleted: i.Deleted})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		klog.V(1).InfoS("changes not sent to another host", "err", err)
	}
}

func (c change) item() platform.Item {
	return platform.Item{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted}
}
