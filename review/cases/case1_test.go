// Case 1 checks rule MIXED where a replica's second answer to one request arrives
// late, at a point where the answer to a long request is expected.

package cases

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	garbleRounds = 24
	// smallRequests is the number of short requests before each long one. One answer of them
	// at most gets a second answer: x = 1/40 of the answers (limit 0.03).
	smallRequests = 39
	// garbleTime is how long the replica is faulty (limit 5 s).
	garbleTime = 5 * time.Second
	// garblingReplica is the faulty one of the two replicas (limit: a share of 0.6).
	garblingReplica = "i-1"
	longBody        = 3_900_000 // bytes; the config allows 4,194,304
)

// pending is a second answer that has not left yet.
type pending struct{ text, id string }

// garbler decides which answers get a second answer.
type garbler struct {
	mu     sync.Mutex
	isDue  bool
	record *Record
	late   int
	early  int
	total  int
}

// handle answers short requests at once. A long request is rejected as by a full replica
// that answers before it has read the body; the channel then ends.
func (g *garbler) handle(x *Exchange) bool {
	g.mu.Lock()
	g.total++
	g.mu.Unlock()
	if p, ok := (*x.State).(pending); ok {
		*x.State = nil
		g.mu.Lock()
		g.late++
		g.mu.Unlock()
		g.record.Line("replica %s: the second answer to %s arrives where the answer to %s is expected", x.Replica.Config.ID, p.id, x.ID)
		if !x.Write(p.text) {
			return false
		}
	}
	if strings.HasPrefix(x.Request.URL.Path, "/document/") && g.isFirst(x.ID) {
		g.record.Line("replica %s: full, rejects %s before it has read the body (503, Not-Executed)", x.Replica.Config.ID, x.ID)
		x.Write(fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", x.ID))
		return false // unread bytes are left: the channel is reset
	}
	body, err := x.ReadBody()
	if err != nil {
		return false
	}
	answer := x.Answer(http.StatusOK, x.Replica.Stamp(), fmt.Sprintf(`{"for":%q,"tenant":%q,"path":%q,"bytes":%d}`, x.ID, x.Request.Header.Get("Tenant"), x.Request.URL.Path, len(body)))
	if x.Replica.Config.ID == garblingReplica && g.takeDue() {
		*x.State = pending{answer, x.ID}
	}
	return x.Write(answer)
}

var rejectedOnce = map[string]bool{}

// isFirst reports whether a long request comes for the first time.
func (g *garbler) isFirst(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if rejectedOnce[id] {
		return false
	}
	rejectedOnce[id] = true
	g.early++
	return true
}

func (g *garbler) setDue(isDue bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isDue = isDue
}

func (g *garbler) takeDue() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	due := g.isDue
	g.isDue = false
	return due
}

func twoRouteConfig() map[string]any {
	route := func(name, prefix string) map[string]any {
		return map[string]any{
			"name": name, "hostname": deskHost, "prefix": prefix, "route_type": "idempotent", "timeout_ms": 10000, "target_latency_ms": 1500,
			"priority": 1, "backend": "desk", "max_attempts": 2, "public": false, "sticky": false, "resumable": false,
		}
	}
	return map[string]any{
		"version": 7, "routes": []any{route("r-status", "/status/"), route("r-document", "/document/")},
		"services": []any{map[string]any{"name": "desk", "health_path": "/healthz", "max_conns": 96, "cold_s": 0.0, "cold_per_s": 0.0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{
			map[string]any{"name": "vet", "api_keys": []string{"key-of-the-vet"}},
			map[string]any{"name": "shelter", "api_keys": []string{"key-of-the-shelter"}},
		},
	}
}

func case1() {
	record := NewRecord()
	dir := TempDir()
	store := NewStore()
	path, err := store.NewPath()
	if err != nil {
		record.Finish(dir, 2, "can't run: %v", err)
	}
	store.Put("op/config", twoRouteConfig())
	g := &garbler{record: record}
	for _, id := range []string{"i-1", "i-2"} {
		r := NewReplica(ReplicaConfig{ID: id, Service: "desk", Zone: "z1", Slots: 6, Store: store, Handle: g.handle})
		if err := r.Start(); err != nil {
			record.Finish(dir, 2, "can't run: %v", err)
		}
	}
	edge := NewEdge(EdgeConfig{Name: "edge-z1-1", Zone: "z1", Zones: "z1=r1", StoreAddress: path.Address, Dir: dir})
	if err := edge.Start(); err != nil {
		record.Finish(dir, 2, "can't run: %v", err)
	}
	defer edge.Kill()
	if err := edge.AwaitReady(10 * time.Second); err != nil {
		edge.Kill()
		record.Finish(dir, 2, "can't run: %v", err)
	}
	time.Sleep(300 * time.Millisecond)
	foreign, served, failed := 0, 0, 0
	started := time.Now()
	document := bytes.Repeat([]byte("registry "), longBody/9)
	for round := range garbleRounds {
		for i := range smallRequests {
			g.setDue(HasTrouble() && i == smallRequests-1 && time.Since(started) < garbleTime)
			id := fmt.Sprintf("vet-%02d-%02d", round, i)
			reply := Send(edge.Callers, Call{Method: http.MethodGet, Path: "/status/" + id, Host: deskHost, ID: id, Key: "key-of-the-vet", Deadline: 5 * time.Second})
			if reply.Err != nil || reply.Status != http.StatusOK || reply.Header.Get("Attempt-Id") != id {
				record.Line("short request %s of tenant vet gets %s", id, reply)
			}
			time.Sleep(3 * time.Millisecond)
		}
		id := fmt.Sprintf("shelter-%02d", round)
		record.Line("long request %s of tenant shelter is sent, %d bytes", id, len(document))
		reply := Send(edge.Callers, Call{Method: http.MethodPost, Path: "/document/" + id, Host: deskHost, ID: id, Key: "key-of-the-shelter", Deadline: 10 * time.Second, Body: document})
		record.Line("long request %s of tenant shelter gets %s", id, reply)
		switch {
		case reply.Err != nil || reply.Status != http.StatusOK:
			failed++
		case reply.Header.Get("Attempt-Id") != id || !strings.Contains(string(reply.Body), fmt.Sprintf("%q", id)):
			record.Line("MIXED: the success that %s got belongs to %s", id, reply.Header.Get("Attempt-Id"))
			foreign++
		default:
			served++
		}
	}
	edge.Kill()
	record.Line("%d requests at replicas, %d second answers that arrived late, %d early rejections", g.total, g.late, g.early)
	code := 0
	if foreign > 0 {
		code = 1
	}
	record.Finish(dir, code, "long requests: %d with their own answer, %d with an answer that belongs to another request (MIXED), %d without success", served, foreign, failed)
}
