package kvstore

import (
	"encoding/json"
	"net/http"
	"time"

	"siskinstand.example/fakes/server"
)

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
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
		// A store chooses identifiers that don't grow.
		request.ID = 1<<62 - int64(len(s.data.leases)+len(s.data.ended))
	}
	if s.data.leases[request.ID] != nil {
		writeError(w, http.StatusPreconditionFailed, 9, "etcdserver: lease already exists")
		return
	}
	s.startLease(request.ID, time.Duration(request.TTL)*time.Second)
	server.WriteJSON(w, request)
}

func (s *Store) startLease(id int64, timeToLive time.Duration) {
	l := &lease{timeToLive: timeToLive, expires: time.Now().Add(timeToLive)}
	l.timer = time.AfterFunc(timeToLive, func() { s.expire(id, l) })
	s.data.leases[id] = l
}

func (s *Store) expire(id int64, l *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.data.leases[id] != l {
		return
	}
	if left := time.Until(l.expires); left > 0 {
		l.timer.Reset(left)
		return
	}
	s.endLease(id)
}

func (s *Store) endLease(id int64) {
	l := s.data.leases[id]
	l.timer.Stop()
	delete(s.data.leases, id)
	s.data.ended[id] = l.timeToLive
	s.data.revision++
	for key, kv := range s.data.pairs {
		if kv.Lease == id {
			s.data.delete(key)
		}
	}
}

func (s *Store) keepAlive(w http.ResponseWriter, r *http.Request) {
	var request leaseMessage
	if !server.ReadJSON(w, r, &request) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := leaseMessage{ID: request.ID}
	if l := s.data.leases[request.ID]; l != nil {
		l.expires = time.Now().Add(l.timeToLive)
		answer.TTL = int64(l.timeToLive / time.Second)
	}
	server.WriteJSON(w, streamed{Result: answer})
}

func (s *Store) revoke(w http.ResponseWriter, r *http.Request) {
	var request leaseMessage
	if !server.ReadJSON(w, r, &request) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.data.leases[request.ID] == nil {
		writeError(w, http.StatusNotFound, 5, "etcdserver: requested lease not found")
		return
	}
	s.endLease(request.ID)
	server.WriteJSON(w, struct{}{})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
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
		next = s.data.revision + 1
	}
	s.countWatch(1)
	created := watchResult{Header: header{s.data.revision}, Created: true}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.countWatch(-1)
	}()
	_ = encoder.Encode(streamed{Result: created})
	for {
		_ = out.Flush()
		s.mu.Lock()
		events := s.data.eventsSince(key, next)
		changed, broken := s.data.changed, s.restarts != restarts || s.switches.Outage
		revision := s.data.revision
		s.mu.Unlock()
		if broken {
			panic(server.ErrAbortConnection)
		}
		if len(events) > 0 {
			next = revision + 1
			_ = encoder.Encode(streamed{Result: watchResult{Header: header{revision}, Events: events}})
			continue
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		}
	}
}

func (s *Store) countWatch(n int64) {
	s.watching += n
	s.counters.MaxWatches = max(s.counters.MaxWatches, s.watching)
}
