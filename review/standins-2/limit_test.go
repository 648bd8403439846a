package cases

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	clientHost = "orders.example"
	// maxConns is the limit of channels of a replica: nine for each host, as the sheet has it for
	// the plain service of 21 hosts (190 channels).
	maxConns   = 18
	appSlots   = 8
	configTime = 2 * time.Second
	contact    = 3 * time.Second
)

// lookupConns is the limit of channels of a replica of the service that has the calls at first.
const lookupConns = 110

func plainService(name string, conns int) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_conns": conns, "protocol": "h1", "tls": false, "cold_s": 0.0, "cold_per_s": 0.0}
}

// limitConfig is the operator's config. The calls go to the given service.
func limitConfig(version int, callService string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-progress", "hostname": clientHost, "prefix": "/progress/", "route_type": "streaming", "timeout_ms": 15000, "target_latency_ms": 1000, "target_gap_ms": 800, "priority": 1, "backend": "app", "max_attempts": 2, "public": true, "sticky": false, "resumable": true},
			map[string]any{"name": "r-status", "hostname": clientHost, "prefix": "/status/", "route_type": "idempotent", "timeout_ms": 1500, "target_latency_ms": 300, "priority": 2, "backend": callService, "max_attempts": 2, "public": true, "sticky": false},
		},
		"services": []any{plainService("app", maxConns), plainService("lookup", lookupConns)},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// streamResult is one stream of a client.
type streamResult struct {
	host *edgeHost
	id   string
	// isKept is set if the channel has carried a request before.
	isKept      bool
	sent, ended time.Time
	answer      answer
}

// wasCut reports whether the channel ended without a complete answer.
func (s streamResult) wasCut() bool { return !s.answer.isWhole }

const (
	streamsPerHost = 5
	callsPerWave   = 24
	firstEvent     = 1200 * time.Millisecond
	eventGap       = 500 * time.Millisecond
	eventCount     = 6
)

// playLimit shows what a replica at its limit of channels does to the streams that it runs. Two
// hosts have long streams at the service app, and waves of short calls at the service lookup. A
// config moves the calls to app, whose replicas then reach their limit.
func playLimit(p *play) (int, error) {
	zones := []string{"zone-a", "zone-b"}
	p.store.put("op/config", limitConfig(3, "lookup"))
	ran := &idSet{}
	serve := func(r *replica) {
		r.run = func(c *replicaConn, q *http.Request, _ []byte) {
			if strings.HasPrefix(q.URL.Path, "/progress/") {
				ran.add(q.Header.Get("Attempt-Id"))
				c.stream(q, "stamp."+r.id, firstEvent, eventCount, eventGap)
				return
			}
			time.Sleep(30 * time.Millisecond)
			c.reply(http.StatusOK, q, "stamp."+r.id, []byte("status of "+q.URL.Path))
		}
	}
	var app []*replica
	for _, service := range []string{"app", "lookup"} {
		conns := maxConns
		if service == "lookup" {
			conns = lookupConns
		}
		for _, zone := range zones {
			list, err := p.newReplicas(1, service, zone, appSlots, conns, serve)
			if err != nil {
				return exitUnknown, err
			}
			if service == "app" {
				app = append(app, list...)
			}
		}
	}
	if err := p.startHosts(settings{zones: zones}, zones...); err != nil {
		return exitUnknown, err
	}
	time.Sleep(contact)

	stop := make(chan struct{})
	var mu sync.Mutex
	var streams []streamResult
	calls := map[int]int{}
	var clients sync.WaitGroup
	for _, e := range p.hosts {
		for i := range streamsPerHost {
			clients.Go(func() {
				time.Sleep(time.Duration(i) * 700 * time.Millisecond)
				p.streamClient(e, stop, func(s streamResult) {
					mu.Lock()
					defer mu.Unlock()
					streams = append(streams, s)
				})
			})
		}
	}
	for n, e := range p.hosts {
		clients.Go(func() {
			time.Sleep(time.Duration(n) * 500 * time.Millisecond)
			p.waveClient(e, stop, func(status int) {
				mu.Lock()
				defer mu.Unlock()
				calls[status]++
			})
		})
	}
	time.Sleep(9 * time.Second)
	changedAt := time.Now()
	if p.trouble {
		p.store.put("op/config", limitConfig(11, "app"))
		p.say("config 11 moves the route r-status from the service lookup to app")
	}
	time.Sleep(configTime + time.Second + 6*time.Second)
	close(stop)
	clients.Wait()

	mu.Lock()
	defer mu.Unlock()
	for _, r := range app {
		p.say("replica %s of app: at most %d of %d channels open, %d times at the limit, %d requests run", r.id, r.mostConns.Load(), r.maxConns, r.atLimit.Load(), r.runCount.Load())
	}
	p.say("answers to calls by status: %v", calls)
	return p.judgeLimit(streams, changedAt, ran), nil
}

// judgeLimit applies the two sentences of the rule LOST. At any time, a machine in touch passes a
// request from a kept channel on to a sound replica and closes that channel without an answer, more
// than three times. And beside a config, from its sending until config_ms + 1 s after its
// confirmation, a channel ends without a complete answer, if the machine cuts requests over three
// times as often then as at other times.
func (p *play) judgeLimit(streams []streamResult, changedAt time.Time, ran *idSet) int {
	windowEnd := changedAt.Add(configTime + time.Second)
	code := exitHeld
	for _, e := range p.hosts {
		var unanswered, inside, insideCut, outside, outsideCut int
		for _, s := range streams {
			if s.host != e || !ran.has(s.id) {
				continue
			}
			if s.isKept && s.answer.status == 0 {
				unanswered++
			}
			cut := 0
			if s.wasCut() {
				cut = 1
			}
			if p.trouble && s.ended.After(changedAt) && s.ended.Before(windowEnd) {
				inside, insideCut = inside+1, insideCut+cut
			} else {
				outside, outsideCut = outside+1, outsideCut+cut
			}
		}
		p.say("host %s: %d requests from kept channels were passed on to a replica, and their channels closed without an answer; more than 3 break the rule", e.name, unanswered)
		p.say("host %s: %d of %d streams that ended beside the config ended without a complete answer, %d of %d at other times", e.name, insideCut, inside, outsideCut, outside)
		share := func(cut, all int) float64 { return float64(cut) / float64(max(1, all)) }
		if unanswered > 3 || insideCut > 0 && share(insideCut, inside) > 3*share(outsideCut, outside) {
			code = exitBroken
		}
	}
	return code
}

// streamClient sends one stream after the other on a kept channel.
func (p *play) streamClient(e *edgeHost, stop <-chan struct{}, done func(streamResult)) {
	var c *channel
	for {
		select {
		case <-stop:
			return
		default:
		}
		var err error
		if c == nil {
			if c, err = openChannel(e.callers); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		id := newID()
		r := request{method: "POST", host: clientHost, path: "/progress/" + id[:4], id: id, limit: 15 * time.Second, body: []byte("{}")}
		s := streamResult{host: e, id: id, isKept: c.used > 0, sent: time.Now()}
		p.add("client sends %s to %s (stream, channel used %d times before)", id, e.name, c.used)
		s.answer = c.send(r)
		s.ended = time.Now()
		p.add("client gets %d for %s: stamp %q, %d bytes, whole %t, %v", s.answer.status, id, s.answer.stamp, len(s.answer.body), s.answer.isWhole, s.answer.err)
		done(s)
		time.Sleep(s.answer.retryAfter())
		if !s.answer.keep {
			c.Close()
			c = nil
		}
	}
}

// waveClient sends a wave of short calls every second, on kept channels.
func (p *play) waveClient(e *edgeHost, stop <-chan struct{}, done func(status int)) {
	p.waves(e, make([]*channel, callsPerWave), stop, done)
}

// call sends one short call, on a kept channel if there is one.
func call(e *edgeHost, c *channel) (*channel, answer) {
	var err error
	if c == nil {
		if c, err = openChannel(e.callers); err != nil {
			return nil, answer{err: err}
		}
	}
	id := newID()
	a := c.send(request{method: "GET", host: clientHost, path: fmt.Sprintf("/status/%s", id), id: id, limit: 1500 * time.Millisecond})
	if !a.keep {
		c.Close()
		return nil, a
	}
	return c, a
}
