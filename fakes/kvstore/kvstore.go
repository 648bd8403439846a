// Package kvstore is a fake of the platform's key-value store for tests and the
// demo. It implements the part of the etcd v3 JSON gateway protocol that
// siskinstand uses, and simulates the failures listed in Switches.
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

// Switches holds the settings that can be changed while the store runs.
type Switches struct {
	// ReadsPerSecond and WritesPerSecond limit the rate of calls; 0 means no
	// limit. A watch counts as one read, a lease call as one write.
	ReadsPerSecond  int `json:"reads_per_second"`
	WritesPerSecond int `json:"writes_per_second"`
	// Outage aborts every connection without a response.
	Outage bool `json:"outage"`
	// Unavailable makes every call fail with status 503.
	Unavailable bool `json:"unavailable"`
	// Delay is added to the time of every call.
	Delay server.Duration `json:"delay"`
	// LoseAnswers is the number of upcoming transactions with a put that take
	// effect but whose connection is aborted before the response. LosePrefix
	// restricts them to puts of keys with that prefix.
	LoseAnswers int    `json:"lose_answers"`
	LosePrefix  string `json:"lose_prefix"`
}

// Counters are totals since New.
type Counters struct {
	Ranges     int64 `json:"ranges"`
	Txns       int64 `json:"txns"`
	Watches    int64 `json:"watches"`
	Grants     int64 `json:"grants"`
	KeepAlives int64 `json:"keep_alives"`
	Revokes    int64 `json:"revokes"`
	// RateLimited counts the calls that exceeded a rate limit.
	RateLimited int64 `json:"limited"`
	// LostAnswers counts the writes whose response was dropped for LoseAnswers.
	LostAnswers int64 `json:"lost"`
	// MaxWatches is the maximum number of watches that were open at once.
	MaxWatches int64 `json:"max_watches"`
}

// Config holds the parameters that are fixed when the store starts.
type Config struct {
	// OnRestart, if set, is called on a restart with a downtime, during which it
	// makes the server refuse connections.
	OnRestart func(time.Duration)
	Switches  Switches
}

// Store is the fake key-value store. Its methods are safe for concurrent use.
type Store struct {
	config Config

	mu           sync.Mutex
	switches     Switches
	counters     Counters
	openWatches  int64
	keyspace     *keyspace
	restarts     int
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
}

// maxValueBytes is the largest value that the platform's store accepts.
const maxValueBytes = 1 << 20

// New returns an empty store.
func New(c Config) *Store {
	s := &Store{config: c, keyspace: newKeyspace()}
	_ = s.SetSwitches(c.Switches)
	return s
}

// Handler returns the store's HTTP API, including the control endpoint.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", s.withSwitches(s.rangeHandler, &s.counters.Ranges, readCall))
	mux.HandleFunc("POST /v3/kv/txn", s.withSwitches(s.txnHandler, &s.counters.Txns, writeCall))
	mux.HandleFunc("POST /v3/lease/grant", s.withSwitches(s.grantHandler, &s.counters.Grants, writeCall))
	mux.HandleFunc("POST /v3/lease/keepalive", s.withSwitches(s.keepAliveHandler, &s.counters.KeepAlives, writeCall))
	mux.HandleFunc("POST /v3/lease/revoke", s.withSwitches(s.revokeHandler, &s.counters.Revokes, writeCall))
	mux.HandleFunc("POST /v3/watch", s.withSwitches(s.watchHandler, &s.counters.Watches, readCall))
	control := server.ControlHandler(s.Switches, s.SetSwitches)
	mux.HandleFunc("GET /control", control)
	mux.HandleFunc("POST /control", control)
	mux.HandleFunc("GET /control/counters", func(w http.ResponseWriter, _ *http.Request) { server.WriteJSON(w, s.Counters()) })
	mux.HandleFunc("POST /control/restart", s.restartHandler)
	return mux
}

// Switches returns the current switches.
func (s *Store) Switches() Switches {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.switches
}

// SetSwitches replaces the switches. It resets the rate limits and makes an
// outage abort the open watches.
func (s *Store) SetSwitches(switches Switches) error {
	if switches.ReadsPerSecond < 0 || switches.WritesPerSecond < 0 || switches.LoseAnswers < 0 {
		return fmt.Errorf("limits and counts must not be negative")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.switches = switches
	s.readLimiter = newLimiter(switches.ReadsPerSecond)
	s.writeLimiter = newLimiter(switches.WritesPerSecond)
	s.keyspace.wakeWatches()
	return nil
}

func newLimiter(perSecond int) *rate.Limiter {
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

// Restart simulates a restart with older data: it aborts all watches, reverts the
// latest lostChanges changes and refuses connections for the time given by down.
func (s *Store) Restart(lostChanges int, down time.Duration) {
	s.mu.Lock()
	s.restarts++
	s.keyspace.revertChanges(lostChanges)
	for _, kv := range s.keyspace.pairs {
		if _, ok := s.keyspace.leases[kv.Lease]; kv.Lease != 0 && !ok {
			s.startLease(kv.Lease, s.keyspace.endedLeases[kv.Lease])
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

// callKind selects the rate limit of a call.
type callKind string

const (
	readCall  callKind = "read"
	writeCall callKind = "write"
)

// withSwitches wraps a handler with the call counter and the switches that apply
// to every call.
func (s *Store) withSwitches(handle http.HandlerFunc, counter *int64, kind callKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		*counter++
		switches := s.switches
		limiter := s.readLimiter
		if kind == writeCall {
			limiter = s.writeLimiter
		}
		allowed := limiter.Allow()
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

func (s *Store) rangeHandler(w http.ResponseWriter, r *http.Request) {
	var request rangeRequest
	if !server.ReadJSON(w, r, &request) {
		return
	}
	s.mu.Lock()
	pairs, ok := s.keyspace.readRange(request)
	response := rangeResponse{Header: header{s.keyspace.revision}, Count: int64(len(pairs))}
	s.mu.Unlock()
	if !ok {
		writeError(w, http.StatusBadRequest, 11, "etcdserver: mvcc: required revision has been compacted")
		return
	}
	if request.Limit > 0 && int64(len(pairs)) > request.Limit {
		pairs, response.More = pairs[:request.Limit], true
	}
	response.Pairs = pairs
	server.WriteJSON(w, response)
}

func (s *Store) txnHandler(w http.ResponseWriter, r *http.Request) {
	var request txnRequest
	if !server.ReadJSON(w, r, &request) {
		return
	}
	s.mu.Lock()
	response, status, code, message := s.applyTxn(request)
	lost := response.Succeeded && s.loseAnswer(request)
	s.mu.Unlock()
	if lost {
		panic(server.ErrAbortConnection)
	}
	if message != "" {
		writeError(w, status, code, message)
		return
	}
	server.WriteJSON(w, response)
}

// applyTxn compares and executes a transaction. A non-empty message is the error
// to respond with.
func (s *Store) applyTxn(request txnRequest) (response txnResponse, status, code int, message string) {
	for _, c := range request.Compare {
		matches, supported := c.matches(s.keyspace.pairs[string(c.Key)])
		if !supported {
			return response, http.StatusNotImplemented, 12, "the fake does not support this comparison"
		}
		if !matches {
			return txnResponse{Header: header{s.keyspace.revision}}, 0, 0, ""
		}
	}
	for _, op := range request.Success {
		if op.Put != nil && len(op.Put.Value) > maxValueBytes {
			return response, http.StatusBadRequest, 3, "etcdserver: request is too large"
		}
		if op.Put != nil && op.Put.Lease != 0 && s.keyspace.leases[op.Put.Lease] == nil {
			return response, http.StatusNotFound, 5, "etcdserver: requested lease not found"
		}
	}
	s.keyspace.revision++
	for _, op := range request.Success {
		if op.Put != nil {
			s.keyspace.put(string(op.Put.Key), op.Put.Value, op.Put.Lease)
		}
		if op.Delete != nil {
			s.keyspace.delete(string(op.Delete.Key))
		}
	}
	return txnResponse{Header: header{s.keyspace.revision}, Succeeded: true}, 0, 0, ""
}

// loseAnswer reports whether the response to a transaction is to be dropped, and
// counts it if so.
func (s *Store) loseAnswer(request txnRequest) bool {
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
