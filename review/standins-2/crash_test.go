package cases

import (
	"net/http"
	"sync"
	"time"
)

const (
	crashReplicas = 14
	crashSlots    = 16
	// crashed replicas crash at the same time and come back after crashTime, as in srv_crash
	// with share = 0.14 and for_s = 4.5.
	crashed   = 2
	crashTime = 4500 * time.Millisecond
	// boardClients of the account board all ask for the same thing, orderClients of the account
	// orders for one thing each.
	boardClients = 90
	boardGap     = 100 * time.Millisecond
	orderClients = 20
	orderGap     = 450 * time.Millisecond
	// workTime is within the 220 ms that the site has as the longest work of a lookup.
	workTime = 200 * time.Millisecond
	// calm is the time before the crash, crashToFault that from the crash to the final fault.
	calm         = 6 * time.Second
	crashToFault = 3 * time.Second
	boardKey     = "boardboardboardboard"
	orderKey     = "ordersordersordersor"
)

func crashConfig(version, timeout int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-stock", "hostname": clientHost, "prefix": "/stock/", "route_type": "idempotent", "timeout_ms": timeout, "target_latency_ms": 500, "priority": 2, "backend": "app", "max_attempts": 2, "public": false, "sticky": false},
		},
		"services": []any{map[string]any{"name": "app", "health_path": "/healthz", "max_conns": 434, "protocol": "h1", "tls": false, "cold_s": 0.0, "cold_per_s": 0.0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{
			map[string]any{"name": "board", "api_keys": []string{boardKey}, "priority": 1},
			map[string]any{"name": "orders", "api_keys": []string{orderKey}, "priority": 1},
		},
	}
}

// playCrash shows what two replicas that crash at the same moment do to a request that many
// clients repeat, also after a restart of all hosts.
func playCrash(p *play) (int, error) {
	p.store.put("op/config", crashConfig(3, 1500))
	serve := func(r *replica) {
		r.isQuiet = true
		r.run = func(c *replicaConn, q *http.Request, _ []byte) {
			time.Sleep(workTime)
			c.reply(http.StatusOK, q, "stamp."+r.id, []byte("stock of "+q.URL.Path))
		}
	}
	replicas, err := p.newReplicas(crashReplicas, "app", "zone-a", crashSlots, 434, serve)
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
	poll := func(i int, account, key string, gap time.Duration, path func() string) {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 7 * time.Millisecond)
			p.poll(p.hosts[i%len(p.hosts)], stop, gap, key, path, func(sent time.Time, a answer) { result.add(account, sent, a) })
		})
	}
	for i := range boardClients {
		poll(i, "board", boardKey, boardGap, func() string { return "/stock/board" })
	}
	for i := range orderClients {
		poll(i, "orders", orderKey, orderGap, func() string { return "/stock/" + newID() })
	}
	time.Sleep(calm)
	result.report(p)
	if p.trouble {
		p.say("%d of %d replicas crash", crashed, crashReplicas)
		for _, r := range replicas[:crashed] {
			go p.crash(r)
		}
		time.AfterFunc(crashTime, func() {
			if _, err := p.newReplicas(crashed, "app", "zone-a", crashSlots, 434, serve); err == nil {
				p.say("%d replicas are back", crashed)
			}
		})
	}
	time.Sleep(crashToFault)
	result.report(p)
	if err := result.kill(p, crashConfig(11, 1400)); err != nil {
		return exitUnknown, err
	}
	for end := time.Now().Add(recoveryTime + afterRecovery); time.Now().Before(end); {
		time.Sleep(4 * time.Second)
		result.report(p)
	}
	close(stop)
	clients.Wait()
	return result.judge(p), nil
}

// crash ends a replica without notice. Its entry expires after three reports.
func (p *play) crash(r *replica) {
	r.end()
	time.Sleep(3 * heartbeat)
	p.store.remove("servers/" + r.id)
}
