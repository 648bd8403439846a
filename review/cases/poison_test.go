package cases

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// CrashPoint is the point at which a request crashes the replica that has begun to run it.
type CrashPoint string

// Crash points.
const (
	CrashBeforeAnswer CrashPoint = "before the first byte of the answer"
	CrashMidAnswer    CrashPoint = "in the middle of the answer"
	CrashNever        CrashPoint = "never"
)

// arrival is the arrival of one client attempt at a replica.
type arrival struct {
	id string
	at time.Time
}

// Poison plays a request that crashes each replica that begins to run it.
type Poison struct {
	Record *Record
	Point  CrashPoint
	// BackAfter is the time after which the replica is back.
	BackAfter time.Duration
	// Work is the time that other requests take; 20 ms by default.
	Work time.Duration

	mu       sync.Mutex
	arrivals []arrival
	crashes  []time.Time
}

// IsPoison reports whether a request crashes replicas.
func IsPoison(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, "/poison") }

// Handle is the handler of the replicas.
func (p *Poison) Handle(x *Exchange) bool {
	if _, err := x.ReadBody(); err != nil {
		return false
	}
	body := fmt.Sprintf(`{"for":%q,"text":%q}`, x.ID, strings.Repeat("registry ", 400))
	answer := x.Answer(http.StatusOK, x.Replica.Stamp(), body)
	if !IsPoison(x.Request) {
		time.Sleep(max(p.Work, 20*time.Millisecond))
		return x.Write(answer)
	}
	p.mu.Lock()
	p.arrivals = append(p.arrivals, arrival{x.ID, time.Now()})
	p.mu.Unlock()
	p.Record.Line("replica %s begins to run %s", x.Replica.Config.ID, x.ID)
	time.Sleep(20 * time.Millisecond)
	switch p.Point {
	case CrashNever:
		return x.Write(answer)
	case CrashMidAnswer:
		x.Write(answer[:len(answer)/2])
		time.Sleep(5 * time.Millisecond)
	}
	if !x.Replica.Crash() {
		return false // it has crashed already
	}
	p.mu.Lock()
	p.crashes = append(p.crashes, time.Now())
	n := len(p.crashes)
	p.mu.Unlock()
	p.Record.Line("replica %s has crashed (crash %d), %s", x.Replica.Config.ID, n, p.Point)
	replica := x.Replica
	time.AfterFunc(p.BackAfter, func() {
		if err := replica.Start(); err != nil {
			p.Record.Line("replica %s can't start: %v", replica.Config.ID, err)
			return
		}
		p.Record.Line("replica %s is back", replica.Config.ID)
	})
	return false
}

// Counts returns how often the request reached a replica, how many replicas it crashed, and
// how many attempts of clients reached one later than the given time after the third crash.
func (p *Poison) Counts(contact time.Duration) (arrivals, crashes, late int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) >= 3 {
		ids := map[string]bool{}
		for _, a := range p.arrivals {
			if a.at.Sub(p.crashes[2]) > contact {
				ids[a.id] = true
			}
		}
		late = len(ids)
	}
	return len(p.arrivals), len(p.crashes), late
}

// SendPoison sends the request to a host, with the same path, caller and body each time.
func (s *Site) SendPoison(e *Edge, id string) Reply {
	reply := Send(e.Callers, Call{Method: http.MethodGet, Path: "/status/poison", Host: "desk.example", ID: id, Key: "key-of-the-vet", Deadline: 1500 * time.Millisecond})
	s.Record.Line("%s to %s gets %s", id, e.Config.Name, reply)
	return reply
}
