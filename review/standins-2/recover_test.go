package cases

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// finalDown is how long the hosts are down after the final fault, recoveryTime the bound
	// recovery_s, and afterRecovery how long requests are judged after it.
	finalDown     = time.Second
	recoveryTime  = 12 * time.Second
	afterRecovery = 12 * time.Second
)

// recovery applies the rule RECOVER: of the requests sent later than recovery_s after the machines
// are back, less than a quarter is served, though a quarter or more was before the final fault.
type recovery struct {
	mu       sync.Mutex
	requests []sentRequest
	statuses map[string]map[int]int
	// faultAt is the time of the final fault, backAt that at which all hosts were ready again.
	faultAt, backAt time.Time
}

type sentRequest struct {
	sent     time.Time
	isServed bool
}

func (r *recovery) add(kind string, sent time.Time, a answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, sentRequest{sent, a.status == 200 && a.isWhole && a.stamp != ""})
	if r.statuses == nil {
		r.statuses = map[string]map[int]int{}
	}
	if r.statuses[kind] == nil {
		r.statuses[kind] = map[int]int{}
	}
	r.statuses[kind][a.status]++
}

// report says how the requests since the last report were answered.
func (r *recovery) report(p *play) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.say("answers since the last line, by status (0: no channel or no answer): %v", r.statuses)
	clear(r.statuses)
}

// kill kills the processes of all hosts right after a config was acknowledged, and starts them
// again.
func (r *recovery) kill(p *play, config any) error {
	p.store.put("op/config", config)
	r.faultAt = time.Now()
	for _, e := range p.hosts {
		e.signal(syscall.SIGKILL)
	}
	p.say("final fault: a config is acknowledged and all hosts are killed")
	time.Sleep(finalDown)
	for _, e := range p.hosts {
		<-e.exited
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, e := range p.hosts {
		if !e.awaitReady(10 * time.Second) {
			return fmt.Errorf("host %s does not get ready again", e.name)
		}
	}
	r.backAt = time.Now()
	p.say("all hosts are ready again")
	return nil
}

func (r *recovery) judge(p *play) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var before, after served
	for _, q := range r.requests {
		s := &after
		switch {
		case q.sent.Before(r.faultAt):
			s = &before
		case q.sent.Before(r.backAt.Add(recoveryTime)):
			continue
		}
		s.asked++
		if q.isServed {
			s.served++
		}
	}
	p.say("before the final fault, %d of %d requests were served; of those sent later than %v after the hosts were back, %d of %d", before.served, before.asked, recoveryTime, after.served, after.asked)
	if before.share() >= 0.25 && after.share() < 0.25 {
		return exitBroken
	}
	return exitHeld
}

// served counts requests.
type served struct{ asked, served int }

func (s served) share() float64 { return float64(s.served) / float64(max(1, s.asked)) }

// poll sends a request every gap on a kept channel until stop is closed.
func (p *play) poll(e *edgeHost, stop <-chan struct{}, gap time.Duration, key string, path func() string, done func(sent time.Time, a answer)) {
	var c *channel
	for {
		select {
		case <-stop:
			return
		case <-time.After(gap):
		}
		sent := time.Now()
		if c == nil {
			var err error
			if c, err = openChannel(e.callers); err != nil {
				done(sent, answer{err: err})
				time.Sleep(200 * time.Millisecond)
				continue
			}
		}
		a := c.send(request{method: "GET", host: clientHost, path: path(), id: newID(), key: key, limit: 1500 * time.Millisecond})
		done(sent, a)
		if !a.keep {
			c.Close()
			c = nil
		}
		time.Sleep(a.retryAfter())
	}
}
