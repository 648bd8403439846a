package cases

import (
	"net/http"
	"sync"
	"time"
)

const (
	leakReplicas = 14
	leakSlots    = 16
	leakConns    = 434
	// callsPerReplica is how many calls each replica has at a time in a wave.
	callsPerReplica = 24
	// replacedAtOnce replicas are replaced every replaceGap, as in a release with x = 2 and
	// gap_s = 1.
	replacedAtOnce = 2
	replaceGap     = time.Second
	drainTime      = 2 * time.Second
	// replaceFor is how long releases go on, one after the other.
	replaceFor = 85 * time.Second
	// newClients try new channels, one every newClientGap each.
	newClients   = 10
	newClientGap = 700 * time.Millisecond
)

func leakConfig() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []any{
			map[string]any{"name": "r-status", "hostname": clientHost, "prefix": "/status/", "route_type": "idempotent", "timeout_ms": 1500, "target_latency_ms": 500, "priority": 2, "backend": "app", "max_attempts": 2, "public": true, "sticky": false},
		},
		"services": []any{map[string]any{"name": "app", "health_path": "/healthz", "max_conns": leakConns, "protocol": "h1", "tls": false, "cold_s": 0.0, "cold_per_s": 0.0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// playLeak shows what releases do to a host: the replicas of a service are replaced one after the
// other, each at a new address.
func playLeak(p *play) (int, error) {
	p.store.put("op/config", leakConfig())
	serve := func(r *replica) {
		r.isQuiet = true
		r.run = func(c *replicaConn, q *http.Request, _ []byte) {
			time.Sleep(100 * time.Millisecond)
			c.reply(http.StatusOK, q, "stamp."+r.id, []byte("status of "+q.URL.Path))
		}
	}
	replicas, err := p.newReplicas(leakReplicas, "app", "zone-a", leakSlots, leakConns, serve)
	if err != nil {
		return exitUnknown, err
	}
	if err := p.startHosts(settings{zones: []string{"zone-a"}, fds: 4100}, "zone-a"); err != nil {
		return exitUnknown, err
	}
	e := p.hosts[0]
	time.Sleep(contact)

	stop := make(chan struct{})
	var tasks sync.WaitGroup
	var mu sync.Mutex
	calls := map[int]int{}
	tasks.Go(func() {
		channels := make([]*channel, leakReplicas*callsPerReplica)
		p.waves(e, channels, stop, func(status int) {
			mu.Lock()
			defer mu.Unlock()
			calls[status]++
		})
	})
	watch := &readyWatch{}
	tasks.Go(func() { watch.run(p, e, stop) })
	for i := range newClients {
		tasks.Go(func() {
			time.Sleep(time.Duration(i) * newClientGap / newClients)
			watch.tryChannels(p, e, i, stop)
		})
	}
	replaced := 0
	for end := time.Now().Add(replaceFor); time.Now().Before(end); time.Sleep(replaceGap) {
		if n := int(p.since()); n%5 == 0 {
			mu.Lock()
			p.say("%d replicas replaced; the host has %d descriptors open; answers to calls since the last line: %v", replaced, e.openDescriptors(), calls)
			clear(calls)
			mu.Unlock()
		}
		if !p.trouble {
			continue
		}
		for range replacedAtOnce {
			list, err := p.newReplicas(1, "app", "zone-a", leakSlots, leakConns, serve)
			if err != nil {
				return exitUnknown, err
			}
			old := replicas[0]
			replicas = append(replicas[1:], list...)
			go old.leave(drainTime)
			replaced++
		}
	}
	time.Sleep(6 * time.Second)
	close(stop)
	tasks.Wait()
	return watch.judge(p, e), nil
}

// waves sends a wave of calls every second until stop is closed.
func (p *play) waves(e *edgeHost, channels []*channel, stop <-chan struct{}, done func(status int)) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
		var wave sync.WaitGroup
		var mu sync.Mutex
		statuses := map[int]int{}
		for i := range channels {
			wave.Go(func() {
				var a answer
				channels[i], a = call(e, channels[i])
				done(a.status)
				mu.Lock()
				defer mu.Unlock()
				statuses[a.status]++
			})
		}
		wave.Wait()
		p.add("clients have sent %d calls to %s on kept channels; answers by status: %v", len(channels), e.name, statuses)
	}
}

// readyWatch applies the rule RECOVER: a machine in touch that says it is ready takes no new
// channel for contact_ms, while seven clients or more try.
type readyWatch struct {
	mu    sync.Mutex
	notes []readyNote
}

// readyNote is a moment at which the host said whether it is ready, or a client's try.
type readyNote struct {
	at      time.Time
	isTry   bool
	client  int
	isReady bool
	isTaken bool
}

func (w *readyWatch) add(n readyNote) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notes = append(w.notes, n)
}

// run asks the host every second whether it is ready, as the platform does.
func (w *readyWatch) run(p *play, e *edgeHost, stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
		resp, err := client.Get("http://" + e.ready + "/siskinstand/readyz")
		status := 0
		if err == nil {
			status = resp.StatusCode
			_ = resp.Body.Close()
		}
		p.add("the platform asks %s whether it is ready: %d %v", e.name, status, err)
		w.add(readyNote{at: time.Now(), isReady: status == http.StatusOK})
	}
}

// tryChannels sends requests, each on a new channel.
func (w *readyWatch) tryChannels(p *play, e *edgeHost, client int, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(newClientGap):
		}
		at := time.Now()
		id := newID()
		var a answer
		if c, err := openChannel(e.callers); err != nil {
			a.err = err
		} else {
			a = c.sendBy(request{method: "GET", host: clientHost, path: "/status/" + id, id: id, limit: 1500 * time.Millisecond}, at.Add(time.Second))
			c.Close()
		}
		p.add("client %d gets %d for %s on a new channel to %s: %v", client, a.status, id, e.name, a.err)
		w.add(readyNote{at: at, isTry: true, client: client, isTaken: a.status != 0})
	}
}

// judge looks for a span of contact_ms in which the host said that it is ready, seven clients or
// more tried new channels, and none was taken.
func (w *readyWatch) judge(p *play, e *edgeHost) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	tries, taken := 0, 0
	for _, first := range w.notes {
		end := first.at.Add(contact)
		asked, isReady := 0, true
		clients := map[int]bool{}
		isTaken := false
		for _, n := range w.notes {
			if n.at.Before(first.at) || n.at.After(end) {
				continue
			}
			if n.isTry {
				clients[n.client] = true
				isTaken = isTaken || n.isTaken
				continue
			}
			asked++
			isReady = isReady && n.isReady
		}
		if first.isTry {
			tries++
			if first.isTaken {
				taken++
			}
		}
		if asked >= 2 && isReady && len(clients) >= 7 && !isTaken {
			p.say("host %s said %d times that it is ready in the %v from %.1f s on, %d clients tried new channels, and none was taken", e.name, asked, contact, first.at.Sub(p.start).Seconds(), len(clients))
			return exitBroken
		}
	}
	p.say("host %s: %d of %d new channels were taken; no %v in which it was ready and took none of seven clients", e.name, taken, tries, contact)
	return exitHeld
}
