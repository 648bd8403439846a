package cases

import (
	"net/http"
	"sync"
	"time"
)

const (
	silentClients = 8
	// silentFirst is when a stream has its first event, silentTimeout the timeout that the
	// operator sets.
	silentFirst   = 1500 * time.Millisecond
	silentTimeout = 1000
)

func silentConfig(version, timeout int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-progress", "hostname": clientHost, "prefix": "/progress/", "route_type": "streaming", "timeout_ms": timeout, "target_latency_ms": 1000, "target_gap_ms": 800, "priority": 1, "backend": "app", "max_attempts": 1, "public": true, "sticky": false, "resumable": false},
		},
		"services": []any{map[string]any{"name": "app", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false, "cold_s": 0.0, "cold_per_s": 0.0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// playSilent shows what clients get at the timeout of their route while a replica has begun to
// answer and has no event yet. A config lowers the timeout below the time to the first event.
func playSilent(p *play) (int, error) {
	p.store.put("op/config", silentConfig(3, 10000))
	ran := &idSet{}
	_, err := p.newReplicas(3, "app", "zone-a", 6, 110, func(r *replica) {
		r.run = func(c *replicaConn, q *http.Request, _ []byte) {
			ran.add(q.Header.Get("Attempt-Id"))
			c.stream(q, "stamp."+r.id, silentFirst, 3, 300*time.Millisecond)
		}
	})
	if err != nil {
		return exitUnknown, err
	}
	if err := p.startHosts(settings{zones: []string{"zone-a"}}, "zone-a"); err != nil {
		return exitUnknown, err
	}
	time.Sleep(contact)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	var streams []streamResult
	for i := range silentClients {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 300 * time.Millisecond)
			p.streamClient(p.hosts[0], stop, func(s streamResult) {
				mu.Lock()
				defer mu.Unlock()
				streams = append(streams, s)
			})
		})
	}
	time.Sleep(6 * time.Second)
	if p.trouble {
		p.store.put("op/config", silentConfig(11, silentTimeout))
		p.say("config 11 sets timeout_ms of the route r-progress to %d", silentTimeout)
	}
	time.Sleep(8 * time.Second)
	close(stop)
	clients.Wait()
	return p.judgeUnanswered(streams, ran), nil
}

// judgeUnanswered applies the rule LOST: at any time, a machine in touch passes a request from a
// kept channel on to a sound replica and closes that channel without an answer, more than three
// times.
func (p *play) judgeUnanswered(streams []streamResult, ran *idSet) int {
	code := exitHeld
	for _, e := range p.hosts {
		unanswered, fresh, answers := 0, 0, map[int]int{}
		for _, s := range streams {
			if s.host != e || !ran.has(s.id) {
				continue
			}
			answers[s.answer.status]++
			if s.answer.status != 0 {
				continue
			}
			if s.isKept {
				unanswered++
			} else {
				fresh++
			}
		}
		p.say("host %s: answers to requests that ran, by status (0: the channel was closed without an answer): %v", e.name, answers)
		p.say("host %s: %d requests from kept channels were passed on to a replica, and their channels closed without an answer; more than 3 break the rule (%d more on new channels)", e.name, unanswered, fresh)
		if unanswered > 3 {
			code = exitBroken
		}
	}
	return code
}
