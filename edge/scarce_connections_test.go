package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"siskinstand.example/coord/connlimit"
	"siskinstand.example/fakes/faultproxy"
	"siskinstand.example/fakes/platform"
)

const (
	scarceHosts = 8
	// scarceConnections is the number of connections that each of two replicas accepts. The calls use
	// 1.6 of the 6 on average.
	scarceConnections = 3
	scarceCalls       = 40
	scarceInterval    = 100 * time.Millisecond
	scarceAnswerDelay = 20 * time.Millisecond
	// maxUnserved is the number of calls in the time for which hosts remember that a connection was
	// turned away.
	maxUnserved = int(connlimit.Memory / scarceInterval)
)

// startScarceHosts starts hosts before two replicas that accept fewer connections than there are
// hosts.
func startScarceHosts(t *testing.T, how faultproxy.AtLimit) []*edgeProcess {
	t.Helper()
	store := platform.NewStore()
	t.Cleanup(store.Close)
	server := httptest.NewServer(store)
	t.Cleanup(server.CloseClientConnections)
	c := platform.Configuration(1, 2*time.Second, []platform.Account{{Name: "t1", Keys: []string{platform.SampleAPIKey}}})
	platform.SetMaxConnections(c, scarceConnections)
	store.Put(platform.ConfigKey, c)
	for i := range 2 {
		r, err := platform.NewReplica(platform.ReplicaConfig{ID: fmt.Sprintf("i-app-%d", i), Service: "app", Zone: "z1", Slots: 16, AnswerDelay: scarceAnswerDelay})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		link, err := faultproxy.New(r.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(link.Close)
		link.SetLimit(scarceConnections, how)
		r.Advertise(link.Address())
		store.Put(platform.ReplicaPrefix+r.ID(), r.StoreEntry("ready"))
	}
	var hosts []*edgeProcess
	for i := range scarceHosts {
		hosts = append(hosts, startEdgeProcess(t, fmt.Sprintf("edge-%d", i), strings.TrimPrefix(server.URL, "http://")))
	}
	for _, e := range hosts {
		eventually(t, e.name+" is ready", e.isReady)
	}
	return hosts
}

// callOften sends calls at random intervals. It returns how many got each status, and how many in a
// row were not served at most.
func callOften(e *edgeProcess, random *rand.Rand) (statuses map[int]int, mostUnserved int) {
	client := platform.NewClient()
	defer client.Close()
	statuses = map[int]int{}
	unserved := 0
	for i := range scarceCalls {
		time.Sleep(time.Duration(random.Int64N(int64(2 * scarceInterval))))
		call := platform.PlainCall("idempotent")
		call.Body = fmt.Sprintf("%s %d", e.name, i)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		r := client.Send(ctx, e.callerAddress, call)
		cancel()
		statuses[r.Status]++
		if unserved++; r.Status == http.StatusOK {
			unserved = 0
		}
		mostUnserved = max(mostUnserved, unserved)
	}
	return statuses, mostUnserved
}

// Guards against a host whose callers are all refused because the other hosts keep the connections
// to the replicas, though they use them for a fourth of the time only.
func TestMoreHostsThanConnections(t *testing.T) {
	for _, how := range faultproxy.AtLimits {
		t.Run(string(how), func(t *testing.T) {
			var callers sync.WaitGroup
			for i, e := range startScarceHosts(t, how) {
				callers.Go(func() {
					statuses, unserved := callOften(e, rand.New(rand.NewPCG(1, uint64(i))))
					if unserved > maxUnserved {
						t.Errorf("%s did not serve %d calls in a row, want at most %d: statuses %v", e.name, unserved, maxUnserved, statuses)
					}
				})
			}
			callers.Wait()
		})
	}
}
