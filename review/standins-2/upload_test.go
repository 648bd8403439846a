package cases

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	uploadClients = 10
	uploadFor     = 20 * time.Second
	// One upload in uploadLargeEach is large. Both sizes are below max_body_bytes, 4 MB.
	uploadLargeEach = 8
	uploadSmall     = 20_000
	uploadLarge     = 1_000_000
	// Slow replicas read uploadPauseAfter bytes of a body and then none for uploadPause.
	uploadPauseAfter = 64 << 10
	uploadPause      = 1500 * time.Millisecond
	uploadBuffer     = 64 << 10
	uploadLimit      = 8 * time.Second
)

func uploadConfig() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []any{
			map[string]any{"name": "r-order", "hostname": clientHost, "prefix": "/order/", "route_type": "non_idempotent", "timeout_ms": 8000, "target_latency_ms": 3000, "priority": 1, "backend": "app", "max_attempts": 1, "public": true, "sticky": false},
		},
		"services": []any{map[string]any{"name": "app", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false, "cold_s": 0.0, "cold_per_s": 0.0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// upload is one request of a client and what became of it.
type upload struct {
	size     int
	isServed bool
}

// playUpload shows what replicas that read a long body slowly do to large requests.
func playUpload(p *play) (int, error) {
	p.store.put("op/config", uploadConfig())
	_, err := p.newReplicas(3, "app", "zone-a", 6, 110, func(r *replica) {
		r.readBuffer = uploadBuffer
		if p.trouble {
			r.pauseAfter, r.pause = uploadPauseAfter, uploadPause
		}
		r.run = func(c *replicaConn, q *http.Request, body []byte) {
			time.Sleep(30 * time.Millisecond)
			c.reply(http.StatusOK, q, "stamp."+r.id, fmt.Appendf(nil, "%d bytes booked", len(body)))
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
	var uploads []upload
	for i := range uploadClients {
		clients.Go(func() {
			var c *channel
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				var err error
				if c == nil {
					if c, err = openChannel(p.hosts[0].callers); err != nil {
						continue
					}
				}
				size := uploadSmall
				if n%uploadLargeEach == 0 {
					size = uploadLarge
				}
				id := newID()
				sent := time.Now()
				a := c.send(request{method: "POST", host: clientHost, path: "/order/" + id[:4], id: id, limit: uploadLimit, body: make([]byte, size)})
				p.add("client sends %s, a body of %d bytes, and gets %d after %v: %s", id, size, a.status, time.Since(sent).Round(time.Millisecond), a.body)
				mu.Lock()
				uploads = append(uploads, upload{size, a.status == http.StatusOK && a.isWhole && a.stamp != ""})
				mu.Unlock()
				if !a.keep {
					c.Close()
					c = nil
				}
				time.Sleep(a.retryAfter())
			}
		})
	}
	time.Sleep(uploadFor)
	close(stop)
	clients.Wait()
	return p.judgeSizes(uploads), nil
}

// judgeSizes applies the rule Sizes: the largest tenth of a kind of request is served less than
// half as often as the whole kind.
func (p *play) judgeSizes(uploads []upload) int {
	slices.SortStableFunc(uploads, func(x, y upload) int { return y.size - x.size })
	count := func(list []upload) served {
		var s served
		for _, u := range list {
			s.asked++
			if u.isServed {
				s.served++
			}
		}
		return s
	}
	largest, all := count(uploads[:len(uploads)/10]), count(uploads)
	p.say("%d of %d requests were served, %d of the largest %d", all.served, all.asked, largest.served, largest.asked)
	if largest.share() < all.share()/2 {
		return exitBroken
	}
	return exitHeld
}
