package kvstore

import (
	"encoding/json"
	"net/http"
	"time"

	"siskinstand.example/fakes/server"
)

func (s *Store) grantHandler(w http.ResponseWriter, r *http.Request) {
	var request leaseMessage
	if !server.ReadJSON(w, r, &request) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if request.TTL <= 0 {
		writeError(w, http.StatusBadRequest, 3, "TTL must be positive")
		return
	}
	if request.ID == 0 {
		// The IDs decrease, because those of a real store need not increase either
		// and a client must not rely on their order.
		request.ID = 1<<62 - int64(len(s.keyspace.leases)+len(s.keyspace.endedLeases))
	}
	if s.keyspace.leases[request.ID] != nil {
		writeError(w, http.StatusPreconditionFailed, 9, "etcdserver: lease already exists")
		return
	}
	s.startLease(request.ID, time.Duration(request.TTL)*time.Second)
	server.WriteJSON(w, request)
}

func (s *Store) startLease(id int64, timeToLive time.Duration) {
	l := &lease{timeToLive: timeToLive, expires: time.Now().Add(timeToLive)}
	l.timer = time.AfterFunc(timeToLive, func() { s.expire(id, l) })
	s.keyspace.leases[id] = l
}

// expire ends a lease when its timer fires. If the lease has been renewed since, it
// resets the timer instead.
func (s *Store) expire(id int64, l *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keyspace.leases[id] != l {
		return
	}
	if left := time.Until(l.expires); left > 0 {
		l.timer.Reset(left)
		return
	}
	s.endLease(id)
}

// endLease ends a lease and deletes its keys.
func (s *Store) endLease(id int64) {
	l := s.keyspace.leases[id]
	l.timer.Stop()
	delete(s.keyspace.leases, id)
	s.keyspace.endedLeases[id] = l.timeToLive
	s.keyspace.revision++
	for key, kv := range s.keyspace.pairs {
		if kv.Lease == id {
			s.keyspace.delete(key)
		}
	}
}

func (s *Store) keepAliveHandler(w http.ResponseWriter, r *http.Request) {
	var request leaseMessage
	if !server.ReadJSON(w, r, &request) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	response := leaseMessage{ID: request.ID}
	if l := s.keyspace.leases[request.ID]; l != nil {
		l.expires = time.Now().Add(l.timeToLive)
		response.TTL = int64(l.timeToLive / time.Second)
	}
	server.WriteJSON(w, streamMessage{Result: response})
}

func (s *Store) revokeHandler(w http.ResponseWriter, r *http.Request) {
	var request leaseMessage
	if !server.ReadJSON(w, r, &request) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keyspace.leases[request.ID] == nil {
		writeError(w, http.StatusNotFound, 5, "etcdserver: requested lease not found")
		return
	}
	s.endLease(request.ID)
	server.WriteJSON(w, struct{}{})
}

// watchHandler streams the events of one key until the client disconnects. A
// restart or an outage aborts the stream.
func (s *Store) watchHandler(w http.ResponseWriter, r *http.Request) {
	var request watchRequest
	if !server.ReadJSON(w, r, &request) {
		return
	}
	key, next := string(request.Create.Key), request.Create.StartRevision
	out := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	s.mu.Lock()
	restarts := s.restarts
	if next == 0 {
		next = s.keyspace.revision + 1
	}
	s.addOpenWatches(1)
	created := watchResult{Header: header{s.keyspace.revision}, Created: true}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.addOpenWatches(-1)
	}()
	_ = encoder.Encode(streamMessage{Result: created})
	for {
		_ = out.Flush()
		s.mu.Lock()
		events := s.keyspace.eventsSince(key, next)
		changed, aborted := s.keyspace.changed, s.restarts != restarts || s.switches.Outage
		revision := s.keyspace.revision
		s.mu.Unlock()
		if aborted {
			panic(server.ErrAbortConnection)
		}
		if len(events) > 0 {
			next = revision + 1
			_ = encoder.Encode(streamMessage{Result: watchResult{Header: header{revision}, Events: events}})
			continue
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		}
	}
}

func (s *Store) addOpenWatches(n int64) {
	s.openWatches += n
	s.counters.MaxWatches = max(s.counters.MaxWatches, s.openWatches)
}
