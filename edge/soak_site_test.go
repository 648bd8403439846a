package main

import (
	"fmt"
	"time"

	"siskinstand.example/fakes/faultproxy"
	"siskinstand.example/fakes/platform"
)

// startReplica starts a replica behind the given link, or behind a new one if it is nil.
func (s *soak) startReplica(service string, link *faultproxy.Proxy) *platform.Replica {
	s.replicaCount++
	c := platform.ReplicaConfig{ID: fmt.Sprintf("i-%s-%d", service, s.replicaCount), Service: service, Zone: fmt.Sprintf("z%d", s.replicaCount%2+1), Slots: 16, EventInterval: soakEventInterval}
	if service == "llm" {
		c.StreamEvents = soakEvents
	} else {
		c.AnswerDelay = soakAnswerDelays[s.replicaCount%len(soakAnswerDelays)]
	}
	r, err := platform.NewReplica(c)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(r.Close)
	if link == nil {
		link = s.newLink(r.Address())
	}
	link.SetTarget(r.Address())
	s.limitConnections(link)
	r.Advertise(link.Address())
	s.mu.Lock()
	s.replicas[r.ID()], s.links[r.ID()] = r, link
	s.mu.Unlock()
	s.store.Put(platform.ReplicaPrefix+r.ID(), r.StoreEntry("ready"))
	return r
}

// limitConnections makes the replica behind a link accept a limited number of connections. Beyond
// it, a replica refuses them or does not answer, so that no request is lost.
func (s *soak) limitConnections(link *faultproxy.Proxy) {
	limit := minConnections + s.random.IntN(soakMaxConnections-minConnections+1)
	link.SetLimit(limit, randomItem(s.random, []faultproxy.AtLimit{faultproxy.Refuse, faultproxy.Ignore}))
}

// configure writes the next version of the configuration and records when its keys became
// valid or invalid.
func (s *soak) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	sent := time.Now()
	c := platform.Configuration(s.version, soakRouteTimeout, []platform.Account{{Name: "t1", Keys: s.keys}})
	platform.SetMaxConnections(c, soakMaxConnections)
	s.store.Put(platform.ConfigKey, c)
	s.history.recordKeys(sent, s.keys)
}

// setKeys revokes revokedKey, or allows it again if all is set. It does nothing before
// keysFixedUntil.
func (s *soak) setKeys(all bool) {
	if time.Now().Before(s.keysFixedUntil) {
		return
	}
	s.keys = []string{platform.SampleAPIKey}
	if all {
		s.keys = append(s.keys, revokedKey)
	}
	s.configure()
}
