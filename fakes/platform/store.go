// Package platform fakes the users' platform for tests and the demo: its
// key-value store, its replicas and its callers, with configurable failures.
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

// Fault is a failure that the store simulates.
type Fault string

// The faults of the store.
const (
	// FaultNone makes calls succeed.
	FaultNone Fault = ""
	// FaultHang never responds.
	FaultHang Fault = "silent"
	// FaultUnavailable responds with 503 without executing the call.
	FaultUnavailable Fault = "busy"
	// FaultTooManyRequests responds with 429 without executing the call.
	FaultTooManyRequests Fault = "many"
	// FaultReset closes the connection without executing the call.
	FaultReset Fault = "reset"
	// FaultLostAnswer executes the call and closes the connection without a
	// response.
	FaultLostAnswer Fault = "lost"
)

// Entry is a key with its value, or a deleted key.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is a key-value store that implements the platform's protocol.
type Store struct {
	mu                sync.Mutex
	changed           chan struct{}
	revision          int64
	entries           map[string]Entry
	history           []Entry
	compactedRevision int64
	leases            map[int64]lease
	fault             Fault
	calls             map[string]int
	// callsLeft is the number of calls until the store responds with 429. If it is
	// below 0, there is no limit.
	callsLeft int
	stop      chan struct{}
}

// NewStore returns an empty store, which must be closed.
func NewStore() *Store {
	s := &Store{
		changed: make(chan struct{}), revision: 1, entries: map[string]Entry{}, leases: map[int64]lease{},
		calls: map[string]int{}, callsLeft: -1, stop: make(chan struct{}),
	}
	go s.expireLeases()
	return s
}

// Close stops the expiry of leases.
func (s *Store) Close() { close(s.stop) }

// leaseCheckInterval is the interval between checks for expired leases.
const leaseCheckInterval = 20 * time.Millisecond

func (s *Store) expireLeases() {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-ticker.C:
			s.mu.Lock()
			for id, l := range s.leases {
				if now.After(l.expires) {
					s.endLease(id)
				}
			}
			s.mu.Unlock()
		}
	}
}

// SetFault sets how calls fail from now on. With any fault but FaultNone, the
// waiting watches are aborted.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wakeWatches()
}

// LimitCalls accepts n more calls; the store responds to later ones with 429.
func (s *Store) LimitCalls(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callsLeft = n
}

// Put writes a key on behalf of the operator or a replica, regardless of the fault,
// and returns its revision. A []byte is stored as it is, any other value as JSON.
func (s *Store) Put(key string, value any) int64 {
	data, isBytes := value.([]byte)
	if !isBytes {
		var err error
		if data, err = json.Marshal(value); err != nil {
			panic(err) // callers only pass values that can be encoded
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, data, 0)
	return s.revision
}

// Delete removes a key, regardless of the fault.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// CompactHistory discards all changes so far. Watches from an earlier revision
// get 410.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.wakeWatches()
}

// ExpireLeases ends all leases immediately.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}

// Keys returns the sorted keys with a prefix.
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
	for k := range s.entries {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) put(key string, value []byte, lease int64) {
	s.revision++
	e := Entry{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.entries[key]; ok {
		e.Created = old.Created
	}
	s.entries[key] = e
	s.history = append(s.history, e)
	s.wakeWatches()
}

func (s *Store) remove(key string) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	s.revision++
	delete(s.entries, key)
	s.history = append(s.history, Entry{Key: key, Revision: s.revision, Deleted: true})
	s.wakeWatches()
}

// endLease ends a lease and removes its keys.
func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for _, k := range s.keys("") {
		if s.entries[k].Lease == id {
			s.remove(k)
		}
	}
}

// ServeHTTP implements the platform's protocol and simulates the fault.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	fault := s.fault
	if s.callsLeft == 0 {
		fault = FaultTooManyRequests
	}
	if s.callsLeft > 0 {
		s.callsLeft--
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
	status, response := s.dispatch(r)
	if fault == FaultLostAnswer {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if response != nil {
		_ = json.NewEncoder(w).Encode(response) // the caller may have disconnected
	}
}

func (s *Store) dispatch(r *http.Request) (int, any) {
	path, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/siskinstand/kv-"), "/")
	leaseID, _ := strconv.ParseInt(id, 10, 64) // 0 is not a valid lease
	switch path {
	case "range":
		return s.rangePage(r)
	case "watch":
		return s.watch(r)
	case "txn":
		return s.txn(r)
	case "lease":
		return s.grant(r)
	case "keep":
		return s.keepAlive(leaseID)
	case "lease-end":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(leaseID)
		return http.StatusOK, struct{}{}
	}
	return http.StatusNotFound, nil
}

// pageSize is the number of entries on a page. It is small, so that tests get
// several pages.
const pageSize = 5

// rangePage returns one page of the entries with a prefix.
func (s *Store) rangePage(r *http.Request) (int, any) {
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
		entries = append(entries, s.entries[k])
	}
	return http.StatusOK, map[string]any{"entries": entries, "more_pages": more, "current_rev": s.revision}
}

// watch returns the changes after a revision, or waits for one until the time
// limit of the call.
func (s *Store) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)  // 0 requests all changes
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64) // 0 returns immediately
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed, compacted, revision, fault := s.changed, s.compactedRevision, s.revision, s.fault
		events := []Entry{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		response := map[string]any{"events": events, "current_rev": revision}
		switch {
		case fault != FaultNone:
			panic(http.ErrAbortHandler)
		case after < compacted:
			return http.StatusGone, nil
		case len(events) > 0:
			return http.StatusOK, response
		}
		select {
		case <-changed:
		case <-timer.C:
			return http.StatusOK, response
		case <-r.Context().Done():
			return http.StatusOK, response
		}
	}
}

// txn writes and removes keys if the expected revisions match. As on the platform,
// callers can't write the keys of the operator and the replicas.
func (s *Store) txn(r *http.Request) (int, any) {
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
		if s.entries[e.Key].Revision != e.Revision {
			return http.StatusPreconditionFailed, map[string]any{"entries": []Entry{s.entries[e.Key]}}
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
	s.leases[s.revision] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": body.TTL}
}

func (s *Store) keepAlive(id int64) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return http.StatusNotFound, nil
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l
	return http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()}
}
