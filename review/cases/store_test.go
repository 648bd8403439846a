// Package cases holds the scripted cases of the review, each in a file of its own, and small stand-ins for the platform of the users: its store, its
// replicas and its clients, and what is needed to run the daemon under review.
package cases

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store as on the users' pages.
const (
	historyTime = 20 * time.Second
	pageEntries = 500
	pageBytes   = 1 << 20
	minTTL      = time.Second
)

// Entry is an item of the store, or an event that removed one.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
	at       time.Time
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is the platform's key-value store.
type Store struct {
	mu        sync.Mutex
	changed   chan struct{}
	revision  int64
	compacted int64
	entries   map[string]Entry
	history   []Entry
	leases    map[int64]lease
	nextLease int64
	paths     []*Path
	isDown    bool
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{changed: make(chan struct{}), revision: 100, compacted: 100, entries: map[string]Entry{}, leases: map[int64]lease{}, nextLease: 7000}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire(time.Now())
		}
	}()
	return s
}

func (s *Store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return // leases pause
	}
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyTime {
		s.compacted = s.history[0].Revision
		s.history = s.history[1:]
	}
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) put(key string, value []byte, leaseID int64) {
	s.revision++
	e := Entry{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID, at: time.Now()}
	if old, ok := s.entries[key]; ok {
		e.Created = old.Created
	}
	s.entries[key] = e
	s.history = append(s.history, e)
	s.wake()
}

func (s *Store) remove(key string) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	s.revision++
	delete(s.entries, key)
	s.history = append(s.history, Entry{Key: key, Revision: s.revision, Deleted: true, at: time.Now()})
	s.wake()
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.Lease == id {
			s.remove(key)
		}
	}
}

// Put writes a key on behalf of the operator or a replica. Its return is the store's
// confirmation.
func (s *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, data, 0)
}

// Remove removes a key on behalf of the operator or a replica.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// ServeHTTP answers the calls of the daemons.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/siskinstand/")
	switch {
	case !ok:
		http.NotFound(w, r)
	case path == "kv-range":
		s.serveRange(w, r)
	case path == "kv-watch":
		s.serveWatch(w, r)
	case path == "kv-txn":
		s.serveTransaction(w, r)
	case path == "kv-lease" && r.Method == http.MethodPost:
		s.serveGrant(w, r)
	case strings.HasPrefix(path, "kv-keep/"):
		s.serveKeep(w, strings.TrimPrefix(path, "kv-keep/"))
	case strings.HasPrefix(path, "kv-lease-end/"):
		s.serveEnd(w, strings.TrimPrefix(path, "kv-lease-end/"))
	default:
		http.NotFound(w, r)
	}
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for k := range s.entries {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	list, size, more := []Entry{}, 0, false
	for _, k := range keys {
		e := s.entries[k]
		if len(list) >= pageEntries || len(list) > 0 && size+len(e.Value) > pageBytes {
			more = true
			break
		}
		list, size = append(list, e), size+len(e.Value)
	}
	revision := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"entries": list, "more_pages": more, "current_rev": revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, waitErr := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if err != nil || waitErr != nil || wait < 0 || wait > 30_000 {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if after < s.compacted {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		events := []Entry{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []Entry{}, true
	for _, e := range body.Expected {
		item, ok := s.entries[e.Key]
		if ok {
			current = append(current, item)
		}
		holds = holds && item.Revision == e.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"entries": current})
		return
	}
	for _, p := range body.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, p := range body.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, k := range body.Remove {
		s.remove(k)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	ttl := max(time.Duration(body.TTL)*time.Millisecond, minTTL)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.nextLease, "ttl_ms": ttl.Milliseconds()})
}

func (s *Store) serveKeep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *Store) serveEnd(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}

// Path is the network path from one machine to the store. It can be cut and healed.
type Path struct {
	Address string

	mu    sync.Mutex
	isCut bool
	conns map[net.Conn]bool
}

// NewPath opens a path to the store at a free loopback port.
func (s *Store) NewPath() (*Path, error) {
	l, err := net.Listen("tcp4", FreeAddress())
	if err != nil {
		return nil, err
	}
	p := &Path{Address: l.Addr().String(), conns: map[net.Conn]bool{}}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(pathListener{l, p}) }()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paths = append(s.paths, p)
	return p, nil
}

// SetDown makes the store unavailable for all, or available again. The replicas' status
// reports are not accepted meanwhile, and leases pause.
func (s *Store) SetDown(isDown bool) {
	s.mu.Lock()
	s.isDown = isDown
	for id, l := range s.leases {
		l.expires = time.Now().Add(l.ttl)
		s.leases[id] = l
	}
	paths := s.paths
	s.mu.Unlock()
	for _, p := range paths {
		if isDown {
			p.Cut()
		} else {
			p.Heal()
		}
	}
}

// Report writes a replica's status report, unless the store is down.
func (s *Store) Report(key string, value any) {
	s.mu.Lock()
	isDown := s.isDown
	s.mu.Unlock()
	if !isDown {
		s.Put(key, value)
	}
}

// Cut resets the connections of the machine and those that it opens until Heal.
func (p *Path) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = true
	for c := range p.conns {
		reset(c)
	}
	p.conns = map[net.Conn]bool{}
}

// Heal ends the cut.
func (p *Path) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = false
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

type pathListener struct {
	net.Listener
	path *Path
}

func (l pathListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.path.mu.Lock()
		if l.path.isCut {
			l.path.mu.Unlock()
			reset(c)
			continue
		}
		l.path.conns[c] = true
		l.path.mu.Unlock()
		return c, nil
	}
}
