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
	orderClients = 200
	// workTime is within the 220 ms that the site has as the longest work of a lookup.
	workTime = 200 * time.Millisecond
	orderGap = 450 * time.Millisecond
	// calm is the time before the crash, later the time after it.
	calm  = 5 * time.Second
	later = 45 * time.Second
)

func crashConfig() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []any{
			map[string]any{"name": "r-stock", "hostname": clientHost, "prefix": "/stock/", "route_type": "idempotent", "timeout_ms": 1500, "target_latency_ms": 500, "priority": 2, "backend": "app", "max_attempts": 2, "public": false, "sticky": false},
		},
		"services": []any{map[string]any{"name": "app", "health_path": "/healthz", "max_conns": 434, "protocol": "h1", "tls": false, "cold_s": 0.0, "cold_per_s": 0.0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{
			map[string]any{"name": "board", "api_keys": []string{"boardboardboardboard"}, "priority": 1},
			map[string]any{"name": "orders", "api_keys": []string{"ordersordersordersor"}, "priority": 1},
		},
	}
}

// served counts the requests of an account.
type served struct{ asked, served int }

func (s served) share() float64 { return float64(s.served) / float64(max(1, s.asked)) }

// playCrash shows what two replicas that crash at the same moment do to a request that many
// clients repeat.
func playCrash(p *play) (int, error) {
	p.store.put("op/config", crashConfig())
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
	var mu sync.Mutex
	accounts := map[string]*served{"board": {}, "orders": {}}
	latest := map[string]map[int]int{"board": {}, "orders": {}}
	poll := func(i int, account, key string, gap time.Duration, path func() string) {
		clients.Go(func() {
			e := p.hosts[i%len(p.hosts)]
			time.Sleep(time.Duration(i) * 7 * time.Millisecond)
			var c *channel
			for {
				select {
				case <-stop:
					return
				case <-time.After(gap):
				}
				var err error
				if c == nil {
					if c, err = openChannel(e.callers); err != nil {
						continue
					}
				}
				a := c.send(request{method: "GET", host: clientHost, path: path(), id: newID(), key: key, limit: 1500 * time.Millisecond})
				mu.Lock()
				accounts[account].asked++
				latest[account][a.status]++
				if a.status == http.StatusOK && a.isWhole && a.stamp != "" {
					accounts[account].served++
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
	for i := range boardClients {
		poll(i, "board", "boardboardboardboard", boardGap, func() string { return "/stock/board" })
	}
	for i := range orderClients {
		poll(i, "orders", "ordersordersordersor", orderGap, func() string { return "/stock/" + newID() })
	}
	report := func() {
		mu.Lock()
		defer mu.Unlock()
		p.say("answers since the last line, by status: board %v, orders %v", latest["board"], latest["orders"])
		clear(latest["board"])
		clear(latest["orders"])
	}
	time.Sleep(calm)
	report()
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
	for range int(later / (5 * time.Second)) {
		time.Sleep(5 * time.Second)
		report()
	}
	close(stop)
	clients.Wait()
	return p.judgeStarved("tenant", accounts), nil
}

// crash ends a replica without notice. Its entry expires after three reports.
func (p *play) crash(r *replica) {
	r.end()
	time.Sleep(3 * heartbeat)
	p.store.remove("servers/" + r.id)
}

// judgeStarved applies the rule Starved: the requests of a tenant, or a kind of request, are served
// less than a quarter as often as all.
func (p *play) judgeStarved(what string, accounts map[string]*served) int {
	var all served
	for _, s := range accounts {
		all.asked, all.served = all.asked+s.asked, all.served+s.served
	}
	code := exitHeld
	for name, s := range accounts {
		p.say("%s %s: %d of %d requests served, %.2f times as often as all", what, name, s.served, s.asked, s.share()/all.share())
		if s.share() < all.share()/4 {
			code = exitBroken
		}
	}
	return code
}
