package cases

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	entryReplicas = 3
	entryClients  = 6
	entryCalm     = 2 * time.Second
	entryLater    = 45 * time.Second
)

func entryConfig() map[string]any {
	c := limitConfig(3, "lookup")
	c["routes"] = []any{
		map[string]any{"name": "r-stock", "hostname": clientHost, "prefix": "/stock/", "route_type": "idempotent", "timeout_ms": 1500, "target_latency_ms": 300, "priority": 2, "backend": "app", "max_attempts": 2, "public": true, "sticky": false},
		map[string]any{"name": "r-status", "hostname": clientHost, "prefix": "/status/", "route_type": "idempotent", "timeout_ms": 1500, "target_latency_ms": 300, "priority": 2, "backend": "lookup", "max_attempts": 2, "public": true, "sticky": false},
	}
	c["services"] = []any{plainService("app", lookupConns), plainService("lookup", lookupConns)}
	return c
}

// playEntry shows what entries of another writer that lack fields do to the replicas at their
// addresses.
func playEntry(p *play) (int, error) {
	p.store.put("op/config", entryConfig())
	var app []*replica
	for _, service := range []string{"app", "lookup"} {
		list, err := p.newReplicas(entryReplicas, service, "zone-a", 6, lookupConns, func(r *replica) {
			r.run = func(c *replicaConn, q *http.Request, _ []byte) {
				time.Sleep(30 * time.Millisecond)
				c.reply(http.StatusOK, q, "stamp."+r.id, []byte("answer to "+q.URL.Path))
			}
		})
		if err != nil {
			return exitUnknown, err
		}
		if service == "app" {
			app = list
		}
	}
	if err := p.startHosts(settings{zones: []string{"zone-a"}}, "zone-a", "zone-a"); err != nil {
		return exitUnknown, err
	}
	time.Sleep(contact)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	kinds := map[string]*served{"stock": {}, "status": {}}
	latest := map[string]map[int]int{"stock": {}, "status": {}}
	for i := range entryClients * len(p.hosts) {
		for kind := range kinds {
			clients.Go(func() {
				e := p.hosts[i%len(p.hosts)]
				var c *channel
				for {
					select {
					case <-stop:
						return
					case <-time.After(200 * time.Millisecond):
					}
					var err error
					if c == nil {
						if c, err = openChannel(e.callers); err != nil {
							continue
						}
					}
					id := newID()
					a := c.send(request{method: "GET", host: clientHost, path: fmt.Sprintf("/%s/%s", kind, id), id: id, limit: 1500 * time.Millisecond})
					p.add("client asks %s for /%s/%s and gets %d, stamp %q", e.name, kind, id, a.status, a.stamp)
					mu.Lock()
					kinds[kind].asked++
					latest[kind][a.status]++
					if a.status == http.StatusOK && a.isWhole && a.stamp != "" {
						kinds[kind].served++
					}
					mu.Unlock()
					if !a.keep {
						c.Close()
						c = nil
					}
					time.Sleep(a.retryAfter())
				}
			})
		}
	}
	report := func() {
		mu.Lock()
		defer mu.Unlock()
		p.say("answers since the last line, by status: stock %v, status %v", latest["stock"], latest["status"])
		clear(latest["stock"])
		clear(latest["status"])
	}
	time.Sleep(entryCalm)
	report()
	if p.trouble {
		for i, r := range app {
			p.store.put(fmt.Sprintf("servers/agent-%d", i+1), map[string]any{"backend": "app", "address": r.address, "slots": r.slots, "state": "ready", "born": time.Now().UnixMilli()})
			p.say("another writer writes the entry servers/agent-%d with the address of %s; it lacks zone, version, cold_left_ms and seq", i+1, r.id)
		}
	}
	for range int(entryLater / (5 * time.Second)) {
		time.Sleep(5 * time.Second)
		report()
	}
	close(stop)
	clients.Wait()
	for _, r := range app {
		p.say("replica %s of app has run %d requests and has free slots", r.id, r.runCount.Load())
	}
	return p.judgeKinds(kinds), nil
}

// judgeKinds applies the rule Starved: a kind of request is served less than a quarter as often as
// all requests.
func (p *play) judgeKinds(kinds map[string]*served) int { return p.judgeStarved("kind", kinds) }
