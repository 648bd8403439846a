// Case 2 checks rule CONFIG at a host that the store has turned away while the
// operator changed the config in quick succession.

package cases

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// addedRoutes is two times big_config (350 routes each).
	addedRoutes = 700
	// stormTime and stormGap are those of two storms, one after the other: the limits of
	// config_storm are 2 s with a change each 0.08 s.
	stormTime = 4 * time.Second
	stormGap  = 80 * time.Millisecond
	// turnedAwayTime is the limit of platform_down for some machines.
	turnedAwayTime = 8 * time.Second

	configTime  = 2 * time.Second
	stretchTime = 5 * time.Second
	// watchedTime is how long requests are sent after the store serves the host again.
	watchedTime = 11 * time.Second
)

func statusRoute(name, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "hostname": deskHost, "prefix": prefix, "route_type": "idempotent", "timeout_ms": 2000, "target_latency_ms": 150,
		"priority": 1, "backend": service, "max_attempts": 2, "public": true, "sticky": false, "resumable": false, "target_gap_ms": 200,
	}
}

// grownConfig returns a version of the config, in which service answers the status route.
func grownConfig(version int, service string) map[string]any {
	routes := []any{statusRoute("r-status", "/status/", service)}
	for i := range addedRoutes {
		routes = append(routes, statusRoute(fmt.Sprintf("r-%07d", i), fmt.Sprintf("/added%04d/", i), "desk-old"))
	}
	plain := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 110, "cold_s": 0.0, "cold_per_s": 0.0}
	}
	return map[string]any{
		"version": version, "routes": routes, "services": []any{plain("desk-old"), plain("desk-new")},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "vet", "api_keys": []string{"key-of-the-vet"}}},
	}
}

func answerWithService(x *Exchange) bool {
	if _, err := x.ReadBody(); err != nil {
		return false
	}
	return x.Write(x.Answer(http.StatusOK, x.Replica.Stamp(), fmt.Sprintf(`{"for":%q,"service":%q}`, x.ID, x.Replica.Config.Service)))
}

// boundedCount counts the requests of one host after the bound.
type boundedCount struct{ old, current, other int }

func case2() {
	record := NewRecord()
	dir := TempDir()
	store := NewStore()
	store.Put("op/config", grownConfig(7, "desk-old"))
	for i, service := range []string{"desk-old", "desk-new"} {
		r := NewReplica(ReplicaConfig{ID: fmt.Sprintf("i-%d", i+1), Service: service, Zone: "z1", Slots: 6, Store: store, Handle: answerWithService})
		if err := r.Start(); err != nil {
			record.Finish(dir, 2, "can't run: %v", err)
		}
	}
	var edges []*Edge
	var paths []*Path
	end := func(code int, format string, args ...any) {
		for _, e := range edges {
			e.Kill()
		}
		record.Finish(dir, code, format, args...)
	}
	for i := range 3 {
		p, err := store.NewPath()
		if err != nil {
			end(2, "can't run: %v", err)
		}
		zone := fmt.Sprintf("z%d", i+1)
		e := NewEdge(EdgeConfig{Name: "edge-" + zone + "-1", Zone: zone, Zones: "z1=r1 z2=r1 z3=r1", StoreAddress: p.Address, Dir: dir})
		if err := e.Start(); err != nil {
			end(2, "can't run: %v", err)
		}
		edges, paths = append(edges, e), append(paths, p)
	}
	for _, e := range edges {
		if err := e.AwaitReady(10 * time.Second); err != nil {
			end(2, "can't run: %v", err)
		}
	}
	time.Sleep(2 * time.Second)

	// Each host has a client with a kept channel.
	var mu sync.Mutex
	var movedAt, servedAgainAt time.Time
	boundedCounts := make([]boundedCount, len(edges))
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, e := range edges {
		channel, err := OpenChannel(e.Callers)
		if err != nil {
			end(2, "can't run: %v", err)
		}
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					channel.Close()
					return
				case <-time.After(200 * time.Millisecond):
				}
				id := fmt.Sprintf("%s-%03d", e.Config.Name, n)
				sentAt := time.Now()
				reply := channel.Send(Call{Method: http.MethodGet, Path: "/status/" + id, Host: deskHost, ID: id, Deadline: 2 * time.Second})
				mu.Lock()
				moved, again := movedAt, servedAgainAt
				mu.Unlock()
				// In touch, and beyond both the bound and its stretch by an unstable store.
				isBound := !moved.IsZero() && sentAt.Sub(moved) > configTime && (again.IsZero() == (i != 0) || sentAt.Sub(again) > contactTime+stretchTime)
				if i == 0 && (again.IsZero() || sentAt.Sub(again) <= contactTime+stretchTime) {
					isBound = false
				}
				service := "another"
				for _, name := range []string{"desk-old", "desk-new"} {
					if strings.Contains(string(reply.Body), name) {
						service = name
					}
				}
				if n%5 == 0 || isBound && service != "desk-new" {
					record.Line("%s at %s: run by %s, %s (bound: %t)", id, e.Config.Name, service, reply, isBound)
				}
				if reply.Err != nil {
					channel.Close()
					if channel, err = OpenChannel(e.Callers); err != nil {
						record.Line("%s: no new channel: %v", e.Config.Name, err)
						return
					}
				}
				if !isBound {
					continue
				}
				mu.Lock()
				switch service {
				case "desk-old":
					boundedCounts[i].old++
				case "desk-new":
					boundedCounts[i].current++
				default:
					boundedCounts[i].other++
				}
				mu.Unlock()
			}
		})
	}

	time.Sleep(time.Second)
	cutAt := time.Now()
	if HasTrouble() {
		record.Line("the store turns %s away (channel resets) and serves the others", edges[0].Config.Name)
		paths[0].Cut()
	}
	time.Sleep(time.Second)
	version := 8
	for begun := time.Now(); time.Since(begun) < stormTime; time.Sleep(stormGap) {
		store.Put("op/config", grownConfig(version, "desk-old"))
		version++
	}
	store.Put("op/config", grownConfig(version, "desk-new"))
	mu.Lock()
	movedAt = time.Now()
	mu.Unlock()
	record.Line("%d versions written since; version %d, the last one, moves the status route to desk-new and is confirmed", version-7, version)
	time.Sleep(time.Until(cutAt.Add(turnedAwayTime)))
	paths[0].Heal()
	mu.Lock()
	servedAgainAt = time.Now()
	mu.Unlock()
	record.Line("the store serves %s again", edges[0].Config.Name)
	time.Sleep(watchedTime)
	close(stop)
	clients.Wait()
	for _, line := range edges[0].Log("store") {
		record.Line("log of %s: %.300s", edges[0].Config.Name, line)
	}
	code, old := 0, 0
	for i, r := range boundedCounts {
		record.Line("%s: requests sent after the bound: %d run by the new service, %d by the old one, %d neither", edges[i].Config.Name, r.current, r.old, r.other)
		old += r.old
	}
	if old > 0 {
		code = 1
	}
	if boundedCounts[0].current+boundedCounts[0].old == 0 || boundedCounts[1].current == 0 {
		code = 2
	}
	end(code, "requests run by the old service though sent after the bound of CONFIG: %d of %d at %s, %d at the others", boundedCounts[0].old, boundedCounts[0].old+boundedCounts[0].current, edges[0].Config.Name, boundedCounts[1].old+boundedCounts[2].old)
}
