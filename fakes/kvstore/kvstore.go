// Package kvstore is a small fake of the platform's key-value store for tests
// and the demo. It speaks the part of the etcd v3 JSON gateway protocol that
// siskinstand uses and has the failures listed in Switches.
package kvstore

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"siskinstand.example/fakes/server"
)

// Switches is the behaviour that can change while the store runs.
type Switches struct {
	// ReadsPerSecond and WritesPerSecond limit calls; 0 sets no limit. A waiting
	// watch counts as one read.
	ReadsPerSecond  int `json:"reads_per_second"`
	WritesPerSecond int `json:"writes_per_second"`
	// Outage breaks every connection without an answer.
	Outage bool `json:"outage"`
	// Unavailable answers every call with status 503.
	Unavailable bool `json:"unavailable"`
	// Delay slows down each answer.
	Delay server.Duration `json:"delay"`
	// LoseAnswers is the number of next writes that take effect and whose
	// answer is lost; LosePrefix restricts them to keys with a prefix.
	LoseAnswers int    `json:"lose_answers"`
	LosePrefix  string `json:"lose_prefix"`
}

// Counters is the number of calls since the start.
type Counters struct {
	Ranges     int64 `json:"ranges"`
	Txns       int64 `json:"txns"`
	Watches    int64 `json:"watches"`
	Grants     int64 `json:"grants"`
	KeepAlives int64 `json:"keep_alives"`
	Revokes    int64 `json:"revokes"`
	// RateLimited counts calls refused by a rate limit, Lost lost answers.
	RateLimited int64 `json:"limited"`
	LostAnswers int64 `json:"lost"`
	// MaxWatches is the most watches that waited at once.
	MaxWatches int64 `json:"max_watches"`
}

// Config holds what is fixed at start.
type Config struct {
	// OnDown, if set, makes the address refuse connections for a time.
	OnRestart func(time.Duration)
	Switches  Switches
}

// Store is the fake. Its methods are safe for concurrent use.
type Store struct {
	config Config

	mu       sync.Mutex
	switches Switches
	counters Counters
	watching int64
	data     *data
	restarts int
	reads    *rate.Limiter
	writes   *rate.Limiter
}

// maxValueBytes is the largest value that the platform's store accepts.
const maxValueBytes = 1 << 20

// New returns an empty store.
func New(c Config) *Store {
	s := &Store{config: c, data: newData()}
	_ = s.SetSwitches(c.Switches)
	return s
}

// Handler returns the store's HTTP interface with its control endpoint.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", s.limited(s.rangeKeys, &s.counters.Ranges, false))
	mux.HandleFunc("POST /v3/kv/txn", s.limited(s.txn, &s.counters.Txns, true))
	mux.HandleFunc("POST /v3/lease/grant", s.limited(s.grant, &s.counters.Grants, true))
	mux.HandleFunc("POST /v3/lease/keepalive", s.limited(s.keepAlive, &s.counters.KeepAlives, true))
	mux.HandleFunc("POST /v3/lease/revoke", s.limited(s.revoke, &s.counters.Revokes, true))
	mux.HandleFunc("POST /v3/watch", s.limited(s.watch, &s.counters.Watches, false))
	control := server.ControlHandler(s.Switches, s.SetSwitches)
	mux.HandleFunc("GET /control", control)
	mux.HandleFunc("POST /control", control)
	mux.HandleFunc("GET /control/counters", func(w http.ResponseWriter, _ *http.Request) { server.WriteJSON(w, s.Counters()) })
	mux.HandleFunc("POST /control/restart", s.restartHandler)
	return mux
}

// Switches returns the switches in force.
func (s *Store) Switches() Switches {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.switches
}

// SetSwitches changes the switches.
func (s *Store) SetSwitches(switches Switches) error {
	if switches.ReadsPerSecond < 0 || switches.WritesPerSecond < 0 || switches.LoseAnswers < 0 {
		return fmt.Errorf("limits and counts must not be negative")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.switches = switches
	s.reads = limiter(switches.ReadsPerSecond)
	s.writes = limiter(switches.WritesPerSecond)
	s.data.wake()
	return nil
}

func limiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Counters returns a copy of the counters.
func (s *Store) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// Restart breaks all watches and refuses connections for a time; the store
// comes back without its last changes.
func (s *Store) Restart(lostChanges int, down time.Duration) {
	s.mu.Lock()
	s.restarts++
	s.data.rewind(lostChanges)
	for _, kv := range s.data.pairs {
		if _, ok := s.data.leases[kv.Lease]; kv.Lease != 0 && !ok {
			s.startLease(kv.Lease, s.data.ended[kv.Lease])
		}
	}
	s.mu.Unlock()
	if s.config.OnRestart != nil && down > 0 {
		s.config.OnRestart(down)
	}
}

func (s *Store) restartHandler(w http.ResponseWriter, r *http.Request) {
	var body struct {
		LostChanges int             `json:"lost_changes"`
		Down        server.Duration `json:"down"`
	}
	if !server.ReadJSON(w, r, &body) {
		return
	}
	server.WriteJSON(w, struct{}{})
	go s.Restart(body.LostChanges, time.Duration(body.Down))
}

// limited applies the switches that concern every call.
func (s *Store) limited(handle http.HandlerFunc, counter *int64, write bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		*counter++
		switches := s.switches
		limit := s.reads
		if write {
			limit = s.writes
		}
		allowed := limit.Allow()
		if !allowed {
			s.counters.RateLimited++
		}
		s.mu.Unlock()
		if switches.Outage {
			panic(server.ErrAbortConnection)
		}
		if !sleep(r.Context(), time.Duration(switches.Delay)) {
			return
		}
		switch {
		case switches.Unavailable:
			writeError(w, http.StatusServiceUnavailable, 14, "etcdserver: no leader")
		case !allowed:
			writeError(w, http.StatusTooManyRequests, 8, "etcdserver: too many requests")
		default:
			handle(w, r)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func writeError(w http.ResponseWriter, status, code int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(struct {
		Error   string `json:"error"`
		Code    int    `json:"code"`
		Message string `json:"message"`
	}{message, code, message})
}

func (s *Store) rangeKeys(w http.ResponseWriter, r *http.Request) {
	var request rangeRequest
	if !server.ReadJSON(w, r, &request) {
		return
	}
	s.mu.Lock()
	list, ok := s.data.read(request)
	answer := rangeResponse{Header: header{s.data.revision}, Count: int64(len(list))}
	s.mu.Unlock()
	if !ok {
		writeError(w, http.StatusBadRequest, 11, "etcdserver: mvcc: required revision has been compacted")
		return
	}
	if request.Limit > 0 && int64(len(list)) > request.Limit {
		list, answer.More = list[:request.Limit], true
	}
	answer.Pairs = list
	server.WriteJSON(w, answer)
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var request txnRequest
	if !server.ReadJSON(w, r, &request) {
		return
	}
	s.mu.Lock()
	answer, status, code, message := s.apply(request)
	lost := answer.Succeeded && s.loses(request)
	s.mu.Unlock()
	if lost {
		panic(server.ErrAbortConnection)
	}
	if message != "" {
		writeError(w, status, code, message)
		return
	}
	server.WriteJSON(w, answer)
}

func (s *Store) apply(request txnRequest) (answer txnResponse, status, code int, message string) {
	for _, c := range request.Compare {
		matches, known := c.matches(s.data.pairs[string(c.Key)])
		if !known {
			return answer, http.StatusNotImplemented, 12, "the fake does not support this comparison"
		}
		if !matches {
			return txnResponse{Header: header{s.data.revision}}, 0, 0, ""
		}
	}
	for _, op := range request.Success {
		if op.Put != nil && len(op.Put.Value) > maxValueBytes {
			return answer, http.StatusBadRequest, 3, "etcdserver: request is too large"
		}
		if op.Put != nil && op.Put.Lease != 0 && s.data.leases[op.Put.Lease] == nil {
			return answer, http.StatusNotFound, 5, "etcdserver: requested lease not found"
		}
	}
	s.data.revision++
	for _, op := range request.Success {
		if op.Put != nil {
			s.data.put(string(op.Put.Key), op.Put.Value, op.Put.Lease)
		}
		if op.Delete != nil {
			s.data.delete(string(op.Delete.Key))
		}
	}
	return txnResponse{Header: header{s.data.revision}, Succeeded: true}, 0, 0, ""
}

func (s *Store) loses(request txnRequest) bool {
	if s.switches.LoseAnswers == 0 {
		return false
	}
	for _, op := range request.Success {
		if op.Put != nil && strings.HasPrefix(string(op.Put.Key), s.switches.LosePrefix) {
			s.switches.LoseAnswers--
			s.counters.LostAnswers++
			return true
		}
	}
	return false
}
