// Package platform is a small stand-in of the users' platform for tests: its
// store and its replicas, with their failures as switches.
package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is a failure of the store.
type Fault string

// The failures of the store.
const (
	// FaultNone answers.
	FaultNone Fault = ""
	// FaultHang never answers.
	FaultHang Fault = "silent"
	// FaultUnavailable answers 503 and does nothing.
	FaultUnavailable Fault = "busy"
	// FaultTooManyRequests answers 429 and does nothing.
	FaultTooManyRequests Fault = "many"
	// FaultReset closes the connection.
	FaultReset Fault = "reset"
	// FaultLostAnswer does what it is asked and closes the connection.
	FaultLostAnswer Fault = "lost"
)

// Entry is a key of the store.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// Store is a key-value store that speaks the platform's protocol.
type Store struct {
	mu        sync.Mutex
	changed   chan struct{}
	revision  int64
	items     map[string]Entry
	history   []Entry
	compacted int64
	leases    map[int64]lease
	fault     Fault
	calls     map[string]int
	// left is the number of calls until the store is busy; below 0 it never is.
	left int
	stop chan struct{}
}

// NewStore returns an empty store. Close ends its work on leases.
func NewStore() *Store {
	s := &Store{
		changed: make(chan struct{}), revision: 1, items: map[string]Entry{}, leases: map[int64]lease{},
		calls: map[string]int{}, left: -1, stop: make(chan struct{}),
	}
	go s.expire()
	return s
}

// Close ends the store.
func (s *Store) Close() { close(s.stop) }

// leaseCheck is the time between two looks at the leases.
const leaseCheck = 20 * time.Millisecond

func (s *Store) expire() {
	ticker := time.NewTicker(leaseCheck)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-ticker.C:
			s.mu.Lock()
			for id, l := range s.leases {
				if now.After(l.until) {
					s.endLease(id)
				}
			}
			s.mu.Unlock()
		}
	}
}

// SetFault makes all calls fail from now on, waiting ones included.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wake()
}

// LimitCalls answers so many calls and then 429.
func (s *Store) LimitCalls(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left = n
}

// Put writes a key as the operator or a replica does, whatever the fault.
func (s *Store) Put(key string, value any) int64 {
	data, isBytes := value.([]byte)
	if !isBytes {
		var err error
		if data, err = json.Marshal(value); err != nil {
			panic(err) // tests pass values that can be encoded
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, data, 0)
	return s.revision
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// CompactHistory forgets all changes so far.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
	s.wake()
}

// ExpireLeases ends all leases.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}

// Keys returns the keys with a prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys(prefix)
}

// Calls returns the number of calls to a path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

func (s *Store) keys(prefix string) []string {
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) put(key string, value []byte, lease int64) {
	s.revision++
	e := Entry{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		e.Created = old.Created
	}
	s.items[key] = e
	s.history = append(s.history, e)
	s.wake()
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, Entry{Key: key, Revision: s.revision, Deleted: true})
	s.wake()
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for _, k := range s.keys("") {
		if s.items[k].Lease == id {
			s.remove(k)
		}
	}
}

// ServeHTTP answers a call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	fault := s.fault
	if s.left == 0 {
		fault = FaultTooManyRequests
	}
	if s.left > 0 {
		s.left--
	}
	s.mu.Unlock()
	switch fault {
	case FaultHang:
		<-r.Context().Done()
		return
	case FaultUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultTooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case FaultReset:
		panic(http.ErrAbortHandler)
	}
	status, answer := s.call(r)
	if fault == FaultLostAnswer {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(w).Encode(answer) // a caller that has left reads nothing
	}
}

func (s *Store) call(r *http.Request) (int, any) {
	path, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/siskinstand/kv-"), "/")
	number, _ := strconv.ParseInt(id, 10, 64) // 0 is no lease
	switch path {
	case "range":
		return s.list(r)
	case "watch":
		return s.watch(r)
	case "txn":
		return s.change(r)
	case "lease":
		return s.grant(r)
	case "keep":
		return s.keep(number)
	case "lease-end":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(number)
		return http.StatusOK, struct{}{}
	}
	return http.StatusNotFound, nil
}

// pageSize is small, so that tests see several pages.
const pageSize = 5

func (s *Store) list(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	entries := []Entry{}
	more := false
	for _, k := range s.keys(q.Get("prefix")) {
		if k <= q.Get("after") {
			continue
		}
		if len(entries) == pageSize {
			more = true
			break
		}
		entries = append(entries, s.items[k])
	}
	return http.StatusOK, map[string]any{"entries": entries, "more_pages": more, "current_rev": s.revision}
}

func (s *Store) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)  // 0 asks for everything
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64) // 0 does not wait
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed, compacted, revision, fault := s.changed, s.compacted, s.revision, s.fault
		events := []Entry{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		answer := map[string]any{"events": events, "current_rev": revision}
		switch {
		case fault != FaultNone:
			panic(http.ErrAbortHandler)
		case after < compacted:
			return http.StatusGone, nil
		case len(events) > 0:
			return http.StatusOK, answer
		}
		select {
		case <-changed:
		case <-timer.C:
			return http.StatusOK, answer
		case <-r.Context().Done():
			return http.StatusOK, answer
		}
	}
}

func (s *Store) change(r *http.Request) (int, any) {
	var body struct {
		Expected []Entry  `json:"expected"`
		Puts     []Entry  `json:"puts"`
		Remove   []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range body.Expected {
		if s.items[e.Key].Revision != e.Revision {
			return http.StatusPreconditionFailed, map[string]any{"entries": []Entry{s.items[e.Key]}}
		}
	}
	for _, e := range body.Puts {
		if strings.HasPrefix(e.Key, "op/") || strings.HasPrefix(e.Key, "servers/") {
			return http.StatusForbidden, nil
		}
		if _, ok := s.leases[e.Lease]; e.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
	}
	for _, e := range body.Puts {
		s.put(e.Key, e.Value, e.Lease)
	}
	for _, k := range body.Remove {
		s.remove(k)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *Store) grant(r *http.Request) (int, any) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.revision] = lease{ttl: ttl, until: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": body.TTL}
}

func (s *Store) keep(id int64) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return http.StatusNotFound, nil
	}
	l.until = time.Now().Add(l.ttl)
	s.leases[id] = l
	return http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()}
}
