// Case 3 checks rule DRAIN at a host that learns changes from another host of its
// zone, while that other host is partitioned from the store.

package cases

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	drainTime = 2 * time.Second
	// partitionTime is how long one host is partitioned from the store.
	partitionTime = 4 * time.Second
	// leaveAfter is the time from the cut to the removal of a replica's entry.
	leaveAfter = 20 * time.Millisecond
	// drainCallsPerS is the rate at each host: 40 a second in all, times a burst of 2.8.
	drainCallsPerS = 37
	// otherReplicas are those of another service, whose status reports change the store.
	otherReplicas = 14
	// cutRounds is how often each host is cut off.
	cutRounds = 2
)

// hostArrival is the arrival of a request at a replica.
type hostArrival struct {
	id string
	at time.Time
}

type replicaArrivals struct {
	mu sync.Mutex
	at map[string][]hostArrival
}

func (a *replicaArrivals) handle(x *Exchange) bool {
	if _, err := x.ReadBody(); err != nil {
		return false
	}
	a.mu.Lock()
	a.at[x.Replica.Config.ID] = append(a.at[x.Replica.Config.ID], hostArrival{x.ID, time.Now()})
	a.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	return x.Write(x.Answer(http.StatusOK, x.Replica.Stamp(), fmt.Sprintf(`{"for":%q}`, x.ID)))
}

func case3() {
	site := NewSite(PlainConfig(7, false))
	a := &replicaArrivals{at: map[string][]hostArrival{}}
	site.AddReplicas("desk", 2, 6, a.handle)
	for range otherReplicas {
		site.AddReplicas("loom", 1, 16, a.handle)
		time.Sleep(1200 * time.Millisecond / otherReplicas)
	}
	site.StartEdgesIn(3, 1)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, e := range site.Edges {
		clients.Go(func() {
			ticker := time.NewTicker(time.Second / drainCallsPerS)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				clients.Go(func() {
					id := fmt.Sprintf("%s/%05d", e.Config.Name, n)
					reply := Send(e.Callers, Call{Method: http.MethodGet, Path: "/status/" + id, Host: "desk.example", ID: id, Key: "key-of-the-vet", Deadline: 1500 * time.Millisecond})
					if reply.Status != http.StatusOK {
						site.Record.Line("%s gets %s", id, reply)
					}
				})
			}
		})
	}
	time.Sleep(contactTime)
	desk := site.Replicas[0]
	late := map[string]int{}
	total := 0
	for trial := range cutRounds * len(site.Edges) {
		i := trial % len(site.Edges)
		cut := site.Edges[i]
		// A new replica replaces the one that is to leave.
		leaving := desk
		site.AddReplicas("desk", 1, 6, a.handle)
		desk = site.Replicas[len(site.Replicas)-1]
		time.Sleep(time.Second)
		if HasTrouble() {
			site.Record.Line("%s is partitioned from the store (channel resets)", cut.Config.Name)
			site.Paths[i].Cut()
		}
		time.Sleep(leaveAfter)
		leaving.Leave()
		leftAt := time.Now()
		site.Record.Line("the store confirms that the entry of replica %s is removed; the replica goes on serving", leaving.Config.ID)
		time.Sleep(partitionTime - leaveAfter)
		site.Paths[i].Heal()
		time.Sleep(contactTime + 4*time.Second)
		last := map[string]time.Duration{}
		a.mu.Lock()
		for _, r := range a.at[leaving.Config.ID] {
			host, _, _ := strings.Cut(r.id, "/")
			since := r.at.Sub(leftAt)
			last[host] = max(last[host], since)
			// The host that was cut off is not in touch.
			if since > drainTime && (!HasTrouble() || host != cut.Config.Name) {
				site.Record.Line("DRAIN: %s reaches replica %s %.3f s after the confirmation", r.id, leaving.Config.ID, since.Seconds())
				late[host]++
				total++
			}
		}
		a.mu.Unlock()
		for _, e := range site.Edges {
			site.Record.Line("last request from %s to replica %s: %.3f s after the confirmation", e.Config.Name, leaving.Config.ID, last[e.Config.Name].Seconds())
		}
	}
	close(stop)
	clients.Wait()
	code := 0
	if total > 0 {
		code = 1
	}
	site.End(code, "requests that machines in touch sent to a replica later than 2 s after its leaving was confirmed: %d, by host %v", total, late)
}
