package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"siskinstand.example/fakes/faultproxy"
	"siskinstand.example/fakes/platform"
)

// phase makes changes at random for a time.
func (s *soak) phase(length time.Duration, change func() string) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		s.faults = append(s.faults, change())
		time.Sleep(time.Duration(s.random.IntN(200)) * time.Millisecond)
	}
}

// later undoes a fault after a time of up to 1.2 s, beside other faults.
func (s *soak) later(undo func()) {
	d := time.Duration(100+s.random.IntN(1100)) * time.Millisecond
	s.healing.Go(func() {
		time.Sleep(d)
		undo()
	})
}

func one[T any](random *rand.Rand, list []T) T { return list[random.IntN(len(list))] }

func (s *soak) someReplica() *platform.Replica {
	ids := s.store.Keys(platform.ReplicaPrefix)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replicas[strings.TrimPrefix(one(s.random, ids), platform.ReplicaPrefix)]
}

var (
	soakAnswers = []platform.ResponseMode{
		platform.ResponseComplete, platform.ResponseAtCapacity, platform.ResponseServerError, platform.ResponseTruncated, platform.ResponseAborted,
		platform.ResponseHang, platform.ResponseUnstamped, platform.ResponseWrongID, platform.ResponseDuplicated, platform.ResponseMalformed,
	}
	soakStore = []platform.Fault{platform.FaultHang, platform.FaultUnavailable, platform.FaultTooManyRequests, platform.FaultReset, platform.FaultLostAnswer}
	soakLinks = []faultproxy.Mode{faultproxy.Delay, faultproxy.Blackhole, faultproxy.ToServerOnly, faultproxy.ToClientOnly, faultproxy.Reset}
)

// stormFault makes one thing fail.
func (s *soak) stormFault() string {
	at := s.random.IntN(len(s.entries))
	e := s.entries[at]
	switch s.random.IntN(13) {
	case 0, 1:
		a, r := one(s.random, soakAnswers), s.someReplica()
		r.SetResponseMode(a)
		s.later(func() {
			if a == platform.ResponseHang {
				time.Sleep(soakLimit) // long enough for the routes' limit to pass
			}
			r.SetResponseMode(platform.ResponseComplete)
		})
		return r.ID() + " answers " + string(a)
	case 2:
		f := one(s.random, soakStore)
		s.store.SetFault(f)
		s.later(func() { s.store.SetFault(platform.FaultNone) })
		return "store " + string(f)
	case 3:
		// Long enough for a key to be taken away and its bound to pass.
		state := one(s.random, soakLinks)
		s.storeLinks[at].SetMode(state)
		s.setKeys(false)
		s.keysStay = time.Now().Add(2 * keyAge)
		s.later(func() {
			time.Sleep(2 * keyAge)
			s.storeLinks[at].SetMode(faultproxy.Forward)
		})
		return fmt.Sprintf("link of %s to the store %s, keys %v", e.name, state, s.keys)
	case 4:
		s.storeLinks[at].BlackholeConnections()
		return "connections of " + e.name + " to the store fall silent"
	case 5, 6:
		r, state := s.someReplica(), one(s.random, soakLinks)
		k := s.links[r.ID()]
		if s.random.IntN(4) == 0 {
			k.BlackholeConnections()
			return "connections to " + r.ID() + " fall silent"
		}
		k.SetMode(state)
		s.later(func() { k.SetMode(faultproxy.Forward) })
		return fmt.Sprintf("link to %s %s", r.ID(), state)
	case 7:
		began := time.Now()
		e.signal(syscall.SIGSTOP)
		s.later(func() {
			e.signal(syscall.SIGCONT)
			s.history.disturb(at, span{began, time.Now()})
		})
		return e.name + " is paused"
	case 8, 9:
		return s.restart(at, s.random.IntN(2) == 0)
	case 10:
		s.store.CompactHistory()
		return "history dropped"
	case 11:
		s.store.ExpireLeases()
		return "leases lapse"
	}
	return s.plannedWork()
}

// restart ends an entry host, by SIGTERM or SIGKILL, and starts it again.
func (s *soak) restart(at int, kill bool) string {
	e := s.entries[at]
	if !e.take() {
		return e.name + " is being restarted"
	}
	began := time.Now()
	s.later(func() {
		defer e.release()
		if kill {
			e.kill()
		} else if err := e.terminate(); err != nil && !s.history.stormy(began) {
			s.t.Errorf("%s ended with %v", e.name, err)
		}
		e.start()
		if !soon(e.isReady) {
			s.t.Errorf("%s is not ready within 5s of its restart", e.name)
		}
		s.history.disturb(at, span{began, time.Now()})
	})
	return fmt.Sprintf("%s is restarted (killed: %t)", e.name, kill)
}

// plannedWork is what operators do any day.
func (s *soak) plannedWork() string {
	switch s.random.IntN(6) {
	case 0:
		s.setKeys(s.random.IntN(2) == 0)
		return fmt.Sprintf("configuration with keys %v", s.keys)
	case 1:
		const zone = "z1"
		if s.history.evacuating(zone) {
			return "nothing"
		}
		s.store.Put(platform.EvacuatePrefix+zone, map[string]any{})
		s.history.evacuate(zone, time.Now())
		s.later(func() {
			time.Sleep(planBound)
			s.history.back(zone, time.Now())
			s.store.Delete(platform.EvacuatePrefix + zone)
		})
		return zone + " is evacuated"
	case 2:
		r := s.someReplica()
		service, _, _ := strings.Cut(strings.TrimPrefix(r.ID(), "i-"), "-")
		s.store.Put(platform.ReplicaPrefix+r.ID(), r.StoreEntry("draining"))
		s.history.drain(r.ID(), time.Now())
		s.bear(service, nil)
		s.later(func() {
			time.Sleep(planBound)
			s.store.Delete(platform.ReplicaPrefix + r.ID())
		})
		return r.ID() + " leaves"
	case 3:
		return s.restart(s.random.IntN(len(s.entries)), false)
	case 4:
		e := one(s.random, s.entries)
		e.hangup()
		return e.name + " gets SIGHUP"
	}
	s.configure()
	return "configuration"
}
