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

// runPhase makes random changes for the given time.
func (s *soak) runPhase(length time.Duration, change func() string) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		s.appliedChanges = append(s.appliedChanges, change())
		time.Sleep(time.Duration(s.random.IntN(200)) * time.Millisecond)
	}
}

// undoLater calls undo in the background after 0.1 s to 1.2 s, while other faults may be
// active.
func (s *soak) undoLater(undo func()) {
	d := time.Duration(100+s.random.IntN(1100)) * time.Millisecond
	s.pendingUndo.Go(func() {
		time.Sleep(d)
		undo()
	})
}

func randomItem[T any](random *rand.Rand, list []T) T { return list[random.IntN(len(list))] }

func (s *soak) randomReplica() *platform.Replica {
	ids := s.store.Keys(platform.ReplicaPrefix + "i-")
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replicas[strings.TrimPrefix(randomItem(s.random, ids), platform.ReplicaPrefix)]
}

var (
	soakResponseModes = []platform.ResponseMode{
		platform.ResponseComplete, platform.ResponseAtCapacity, platform.ResponseServerError, platform.ResponseTruncated, platform.ResponseAborted,
		platform.ResponseHang, platform.ResponseUnstamped, platform.ResponseWrongID, platform.ResponseDuplicated, platform.ResponseMalformed, platform.ResponseRepeatedRefusal,
		platform.ResponseBrokenHead, platform.ResponseCutHead, platform.ResponseEndless, platform.ResponseEarlyReset, platform.ResponseSlowRefusal,
	}
	soakStoreFaults = []platform.Fault{platform.FaultHang, platform.FaultUnavailable, platform.FaultTooManyRequests, platform.FaultReset, platform.FaultLostAnswer}
	soakLinkModes   = []faultproxy.Mode{faultproxy.Delay, faultproxy.Blackhole, faultproxy.ToServerOnly, faultproxy.ToClientOnly, faultproxy.Reset}
)

// soakAnswerDelays are the times that replicas take for a call.
var soakAnswerDelays = []time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond}

// injectFault injects a random fault, or makes a planned change, and returns its
// description.
func (s *soak) injectFault() string {
	hostIndex := s.random.IntN(len(s.hosts))
	e := s.hosts[hostIndex]
	switch s.random.IntN(18) {
	case 0, 1, 14, 15:
		responseMode, r := randomItem(s.random, soakResponseModes), s.randomReplica()
		r.SetPause(randomItem(s.random, []string{"", "0.5", "1", "soon"}))
		r.SetResponseMode(responseMode)
		s.undoLater(func() {
			if responseMode == platform.ResponseHang {
				time.Sleep(soakRouteTimeout) // with the delay of undoLater, longer than the timeout of the routes
			}
			r.SetResponseMode(platform.ResponseComplete)
		})
		return r.ID() + " answers " + string(responseMode)
	case 2:
		f := randomItem(s.random, soakStoreFaults)
		s.store.SetFault(f)
		s.undoLater(func() { s.store.SetFault(platform.FaultNone) })
		return "store " + string(f)
	case 3:
		// The link stays broken for long enough that a key is revoked and key_age passes.
		mode := randomItem(s.random, soakLinkModes)
		s.storeLinks[hostIndex].SetMode(mode)
		s.setKeys(false)
		s.keysFixedUntil = time.Now().Add(2 * keyAge)
		s.undoLater(func() {
			time.Sleep(2 * keyAge)
			s.storeLinks[hostIndex].SetMode(faultproxy.Forward)
		})
		return fmt.Sprintf("link of %s to the store %s, keys %v", e.name, mode, s.keys)
	case 4:
		s.storeLinks[hostIndex].BlackholeConnections()
		return "connections of " + e.name + " to the store stop responding"
	case 5, 6:
		r, mode := s.randomReplica(), randomItem(s.random, soakLinkModes)
		link := s.links[r.ID()]
		if s.random.IntN(4) == 0 {
			link.BlackholeConnections()
			return "connections to " + r.ID() + " stop responding"
		}
		link.SetMode(mode)
		s.undoLater(func() { link.SetMode(faultproxy.Forward) })
		return fmt.Sprintf("link to %s %s", r.ID(), mode)
	case 7:
		began := time.Now()
		e.signal(syscall.SIGSTOP)
		s.undoLater(func() {
			e.signal(syscall.SIGCONT)
			s.history.recordDisturbance(hostIndex, timeSpan{began, time.Now()})
		})
		return e.name + " is paused"
	case 8, 9:
		return s.restartHost(hostIndex, s.random.IntN(2) == 0)
	case 10:
		s.store.CompactHistory()
		return "store compacts its history"
	case 11:
		s.store.ExpireLeases()
		return "all leases expire"
	case 12:
		key, value := fmt.Sprintf("%sx-%d", platform.ReplicaPrefix, s.random.IntN(3)), randomItem(s.random, malformedEntries)
		s.store.Put(key, []byte(value))
		s.undoLater(func() { s.store.Delete(key) })
		return fmt.Sprintf("malformed entry %.40q", value)
	case 16, 17:
		r, limit, how := s.randomReplica(), 1+s.random.IntN(minConnections), randomItem(s.random, faultproxy.AtLimits)
		link := s.links[r.ID()]
		link.SetLimit(limit, how)
		s.undoLater(func() { link.SetLimit(soakMaxConnections, faultproxy.Refuse) })
		return fmt.Sprintf("%s accepts %d connections (%s)", r.ID(), limit, how)
	}
	return s.plannedChange()
}

// malformedEntries are entries of other writers among those of the replicas.
var malformedEntries = []string{
	strings.Repeat("[", 200_000), "\xff",
	`{"backend":"app","address":"127.0.0.1:99999","zone":"z1","slots":16,"state":"ready"}`,
	`{"backend":"llm","address":"127.0.0.1:9","zone":"z1","slots":4611686018427387904,"state":"ready"}`,
}

// cutFromStore cuts a host off from the store while a replica leaves without draining first.
// The other hosts must know it in time, also those that learn changes from this host.
func (s *soak) cutFromStore() {
	hostIndex, r, began := s.random.IntN(len(s.hosts)), s.randomReplica(), time.Now()
	s.storeLinks[hostIndex].SetMode(faultproxy.Reset)
	time.Sleep(time.Duration(s.random.IntN(100)) * time.Millisecond)
	service, _, _ := strings.Cut(strings.TrimPrefix(r.ID(), "i-"), "-")
	s.store.Delete(platform.ReplicaPrefix + r.ID())
	s.history.recordRemoval(r.ID(), time.Now())
	s.startReplica(service, nil)
	time.Sleep(drainTime + time.Second)
	s.storeLinks[hostIndex].SetMode(faultproxy.Forward)
	s.history.recordDisturbance(hostIndex, timeSpan{began, time.Now().Add(recoveryTime)})
	s.appliedChanges = append(s.appliedChanges, fmt.Sprintf("%s is cut off from the store, %s leaves", s.hosts[hostIndex].name, r.ID()))
}

// restartHost stops an entry host with SIGTERM or SIGKILL and starts it again, both in the
// background, and returns a description.
func (s *soak) restartHost(hostIndex int, kill bool) string {
	e := s.hosts[hostIndex]
	if !e.beginRestart() {
		return e.name + " is being restarted"
	}
	began := time.Now()
	s.undoLater(func() {
		defer e.endRestart()
		if kill {
			e.kill()
		} else if err := e.terminate(); err != nil && !s.history.inFaultPhase(began) {
			s.t.Errorf("%s exited with %v after SIGTERM", e.name, err)
		}
		e.start()
		if !holdsWithin5s(e.isReady) {
			s.t.Errorf("%s is not ready within 5s of its restart", e.name)
		}
		s.history.recordDisturbance(hostIndex, timeSpan{began, time.Now()})
	})
	return fmt.Sprintf("%s is restarted (killed: %t)", e.name, kill)
}

// restartInSeries stops and starts hosts one after the other, sooner than each is ready again, and
// makes other changes in between.
func (s *soak) restartInSeries() string {
	text := "restarts in series"
	for _, i := range s.random.Perm(len(s.hosts))[:1+s.random.IntN(len(s.hosts))] {
		text += ", " + s.restartHost(i, false)
		randomItem(s.random, s.hosts).reloadSettings()
		s.configure()
		time.Sleep(time.Duration(s.random.IntN(300)) * time.Millisecond)
	}
	return text
}

// plannedChange makes a random change that operators make in normal operation, and returns
// its description.
func (s *soak) plannedChange() string {
	switch s.random.IntN(8) {
	case 7:
		return s.restartInSeries()
	case 0:
		s.setKeys(s.random.IntN(2) == 0)
		return fmt.Sprintf("configuration with keys %v", s.keys)
	case 1:
		const zone = "z1"
		if s.history.isEvacuated(zone) {
			return "nothing"
		}
		s.store.Put(platform.EvacuatePrefix+zone, map[string]any{})
		s.history.recordEvacuation(zone, time.Now())
		s.undoLater(func() {
			time.Sleep(plannedChangeBound)
			s.history.recordZoneReturn(zone, time.Now())
			s.store.Delete(platform.EvacuatePrefix + zone)
		})
		return zone + " is evacuated"
	case 2:
		r := s.randomReplica()
		service, _, _ := strings.Cut(strings.TrimPrefix(r.ID(), "i-"), "-")
		s.store.Put(platform.ReplicaPrefix+r.ID(), r.StoreEntry("draining"))
		s.history.recordDrain(r.ID(), time.Now())
		s.startReplica(service, nil)
		s.undoLater(func() {
			time.Sleep(plannedChangeBound)
			s.store.Delete(platform.ReplicaPrefix + r.ID())
		})
		return r.ID() + " is drained and removed"
	case 3:
		return s.restartHost(s.random.IntN(len(s.hosts)), false)
	case 4:
		e := randomItem(s.random, s.hosts)
		e.reloadSettings()
		return e.name + " gets SIGHUP"
	case 5:
		r := s.randomReplica()
		service, _, _ := strings.Cut(strings.TrimPrefix(r.ID(), "i-"), "-")
		r.SetLeaving(true)
		s.startReplica(service, nil)
		s.undoLater(func() {
			time.Sleep(drainTime)
			s.store.Delete(platform.ReplicaPrefix + r.ID())
		})
		return r.ID() + " says that it leaves"
	}
	s.configure()
	return "configuration"
}
