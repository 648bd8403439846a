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
	entryGap      = 200 * time.Millisecond
	// entryToFault is the time from the entries to the final fault.
	entryToFault = 2 * time.Second
)

func entryConfig(version, timeout int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-stock", "hostname": clientHost, "prefix": "/stock/", "route_type": "idempotent", "timeout_ms": timeout, "target_latency_ms": 300, "priority": 2, "backend": "app", "max_attempts": 2, "public": true, "sticky": false},
		},
		"services": []any{plainService("app", lookupConns)},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// playEntry shows what entries of another writer that lack fields do to the replicas at their
// addresses, also after a restart of all hosts.
func playEntry(p *play) (int, error) {
	p.store.put("op/config", entryConfig(3, 1500))
	app, err := p.newReplicas(entryReplicas, "app", "zone-a", 6, lookupConns, func(r *replica) {
		r.run = func(c *replicaConn, q *http.Request, _ []byte) {
			time.Sleep(30 * time.Millisecond)
			c.reply(http.StatusOK, q, "stamp."+r.id, []byte("answer to "+q.URL.Path))
		}
	})
	if err != nil {
		return exitUnknown, err
	}
	if err := p.startHosts(settings{zones: []string{"zone-a"}}, "zone-a", "zone-a"); err != nil {
		return exitUnknown, err
	}
	time.Sleep(contact)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var result recovery
	for i := range entryClients * len(p.hosts) {
		clients.Go(func() {
			e := p.hosts[i%len(p.hosts)]
			path := func() string { return "/stock/" + newID() }
			p.poll(e, stop, entryGap, "", path, func(sent time.Time, a answer) {
				p.add("client %d asks %s and gets %d, stamp %q", i, e.name, a.status, a.stamp)
				result.add("stock", sent, a)
			})
		})
	}
	time.Sleep(calm)
	result.report(p)
	if p.trouble {
		for i, r := range app {
			p.store.put(fmt.Sprintf("servers/agent-%d", i+1), map[string]any{"backend": "app", "address": r.address, "slots": r.slots, "state": "ready", "born": time.Now().UnixMilli()})
			p.say("another writer writes the entry servers/agent-%d with the address of %s; it lacks zone, version, cold_left_ms and seq", i+1, r.id)
		}
	}
	time.Sleep(entryToFault)
	result.report(p)
	if err := result.kill(p, entryConfig(11, 1400)); err != nil {
		return exitUnknown, err
	}
	for end := time.Now().Add(recoveryTime + afterRecovery); time.Now().Before(end); {
		time.Sleep(4 * time.Second)
		result.report(p)
	}
	close(stop)
	clients.Wait()
	for _, r := range app {
		p.say("replica %s of app has run %d requests and is ready", r.id, r.runCount.Load())
	}
	return result.judge(p), nil
}
