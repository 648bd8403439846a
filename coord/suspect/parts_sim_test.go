package suspect

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// simConfig configures a simulated deployment of hosts and replicas.
type simConfig struct {
	hosts, replicas int
	seed            uint64
	reportLoss      float64
	// crashing holds the parts that crash replicas, with the time at which requests with
	// them begin to come.
	crashing map[Part]time.Duration
	// culpritShare is the share of requests with these parts, or 0 for 0.05.
	culpritShare float64
	// always is a part that comes with each crash-causing request, and alone.
	always Part
	// kills are the times at which a share of the replicas dies for another reason.
	kills map[time.Duration]float64
	// frozen is the host that stands still through the first crashes, or 0. startedAt is the
	// start of the last host.
	frozen    int
	startedAt time.Duration
}

// simRequest is a request at a replica.
type simRequest struct {
	host               int
	parts              []Part
	culprit            Part // 0 if the request is sound
	beginsAt, finishes time.Duration
}

type simReplica struct {
	id       CrashID
	deadTill time.Duration
	// dueAt is the time of the next end or crash.
	dueAt    time.Duration
	requests []*simRequest
}

// dueAt returns the time at which the request ends or crashes its replica.
func (q *simRequest) dueAt() time.Duration {
	if q.culprit != 0 {
		return q.beginsAt
	}
	return q.finishes
}

type simHost struct {
	tracker              *PartTracker
	inFlight             map[Part]int
	isDirty              bool
	nextReport, nextFull time.Duration
}

type simMessage struct {
	to      int
	reports []PartReport
}

// simulation runs hosts that send requests to replicas and exchange reports.
type simulation struct {
	simConfig
	t       testing.TB
	random  *rand.Rand
	now     time.Duration
	nodes   []*simHost
	servers []*simReplica
	// messages and probes hold what arrives at a time.
	messages map[time.Duration][]simMessage
	probes   map[time.Duration][]func()
	lastID   CrashID
	// crashes are the times of the crashes by each part, sends those of the sends with it by
	// hosts in touch.
	crashes, sends map[Part][]time.Duration
	sound, refused int
}

const (
	simStep          = time.Millisecond
	simTime          = 12 * time.Second
	simContactTime   = 3 * time.Second
	simFrozenFrom    = 3 * time.Second
	simFrozenTo      = 8 * time.Second
	simReplicaReturn = 3 * time.Second
	// simParts is the number of parts that the sound requests share.
	simParts = 30
)

func (s *simulation) time() time.Time { return start.Add(s.now) }

func (s *simulation) run() {
	s.random = rand.New(rand.NewPCG(s.seed, 0))
	s.messages, s.probes = map[time.Duration][]simMessage{}, map[time.Duration][]func(){}
	s.crashes, s.sends = map[Part][]time.Duration{}, map[Part][]time.Duration{}
	for i := range s.hosts {
		s.nodes = append(s.nodes, &simHost{tracker: newPartTracker(fmt.Sprintf("edge-%d", i)), inFlight: map[Part]int{}})
	}
	for range s.replicas {
		s.lastID++
		s.servers = append(s.servers, &simReplica{id: s.lastID})
	}
	for ; s.now < simTime; s.now += simStep {
		s.deliver()
		for _, probe := range s.probes[s.now] {
			probe()
		}
		delete(s.probes, s.now)
		s.runReplicas()
		for range s.hosts {
			if s.random.Float64() < 0.02 {
				s.sendRandom()
			}
		}
		for i := range s.nodes {
			s.report(i)
		}
	}
}

func (s *simulation) isUp(host int) bool {
	if host == s.hosts-1 && s.now < s.startedAt {
		return false
	}
	return host != s.frozen || s.frozen == 0 || s.now < simFrozenFrom || s.now >= simFrozenTo
}

// isInTouch reports whether a host has been up for simContactTime.
func (s *simulation) isInTouch(host int) bool {
	if host == s.hosts-1 && s.now < s.startedAt+simContactTime {
		return false
	}
	return host != s.frozen || s.frozen == 0 || s.now < simFrozenFrom || s.now >= simFrozenTo+simContactTime
}

// sendRandom sends a sound or a crash-causing request to a random host.
func (s *simulation) sendRandom() {
	host := s.random.IntN(s.hosts)
	parts := []Part{1, Part(2 + s.random.IntN(simParts))}
	candidates := slices.Sorted(maps.Keys(s.crashing))
	if len(candidates) > 0 && s.random.Float64() < cmp.Or(s.culpritShare, 0.05) {
		if p := candidates[s.random.IntN(len(candidates))]; s.now >= s.crashing[p] {
			parts = append(parts, p)
		}
	}
	culprit := Part(0)
	for _, p := range parts {
		if from, ok := s.crashing[p]; ok && s.now >= from {
			culprit = p
		}
	}
	if s.always != 0 && (culprit != 0 || s.random.Float64() < 0.05) {
		parts = append(parts, s.always)
	}
	if s.isUp(host) {
		s.send(host, parts, culprit)
	}
}

func (s *simulation) send(host int, parts []Part, culprit Part) {
	h := s.nodes[host]
	if culprit == 0 {
		s.sound++
	}
	v := h.tracker.Judge(s.time(), parts, s.hosts)
	busy := slices.ContainsFunc(v.Suspected, func(p Part) bool { return h.inFlight[p] > 0 })
	if v.Status == StatusRefuse || v.Status == StatusIsolate && (v.Wait > 0 || busy) {
		if culprit == 0 {
			s.refused++
		}
		return
	}
	r := s.servers[s.random.IntN(len(s.servers))]
	if v.Status == StatusIsolate {
		r = slices.MinFunc(s.servers, func(a, b *simReplica) int {
			return cmp.Or(cmp.Compare(a.deadTill, b.deadTill), cmp.Compare(len(a.requests), len(b.requests)))
		})
	}
	if r.deadTill > s.now {
		return
	}
	if culprit != 0 && s.isInTouch(host) {
		s.sends[culprit] = append(s.sends[culprit], s.now)
	}
	for _, p := range parts {
		h.inFlight[p]++
	}
	begins := s.now + time.Duration(60+s.random.IntN(150))*time.Millisecond
	q := &simRequest{host: host, parts: parts, culprit: culprit, beginsAt: begins, finishes: begins + time.Duration(100+s.random.IntN(900))*time.Millisecond}
	if len(r.requests) == 0 || q.dueAt() < r.dueAt {
		r.dueAt = q.dueAt()
	}
	r.requests = append(r.requests, q)
}

func (s *simulation) runReplicas() {
	for at, share := range s.kills {
		if at == s.now {
			for _, r := range s.servers[:int(share*float64(len(s.servers)))] {
				s.crash(r)
			}
		}
	}
	for _, r := range s.servers {
		if len(r.requests) == 0 || s.now < r.dueAt {
			continue
		}
		if i := slices.IndexFunc(r.requests, func(q *simRequest) bool { return q.culprit != 0 && q.beginsAt <= s.now }); i >= 0 {
			p := r.requests[i].culprit
			s.crashes[p] = append(s.crashes[p], s.now)
			s.crash(r)
		}
		r.requests = slices.DeleteFunc(r.requests, func(q *simRequest) bool {
			if q.finishes > s.now {
				return false
			}
			h := s.end(q)
			if s.isUp(q.host) && len(h.tracker.RecordAnswer(s.time(), s.time(), q.parts)) > 0 {
				h.isDirty = true
			}
			return true
		})
		if len(r.requests) > 0 {
			r.dueAt = slices.MinFunc(r.requests, func(a, b *simRequest) int { return cmp.Compare(a.dueAt(), b.dueAt()) }).dueAt()
		}
	}
}

func (s *simulation) end(q *simRequest) *simHost {
	h := s.nodes[q.host]
	for _, p := range q.parts {
		h.inFlight[p]--
	}
	return h
}

// crash ends a replica. Each host with requests there learns of it after a probe.
func (s *simulation) crash(r *simReplica) {
	suspects := map[int][][]Part{}
	for _, q := range r.requests {
		s.end(q)
		if q.beginsAt >= s.now || q.culprit != 0 {
			suspects[q.host] = append(suspects[q.host], q.parts)
		}
	}
	for host := range s.nodes {
		if list := suspects[host]; list != nil && s.isUp(host) {
			id, at := r.id, s.now+time.Duration(1+s.random.IntN(5))*time.Millisecond
			s.probes[at] = append(s.probes[at], func() {
				s.nodes[host].tracker.RecordCrash(s.time(), id, list)
				s.nodes[host].isDirty = true
			})
		}
	}
	s.lastID++
	r.id, r.deadTill, r.requests = s.lastID, s.now+simReplicaReturn, nil
}

// report sends the reports of a host to the others, as often as a deployment of that size
// allows.
func (s *simulation) report(host int) {
	h := s.nodes[host]
	if !s.isUp(host) || s.now < h.nextReport || !h.isDirty && s.now < h.nextFull {
		return
	}
	h.isDirty, h.nextReport, h.nextFull = false, s.now+time.Duration(5+4*s.hosts)*time.Millisecond, s.now+time.Second
	reports := h.tracker.Reports(s.time(), 16)
	for to := range s.nodes {
		if to != host && len(reports) > 0 && s.random.Float64() >= s.reportLoss {
			at := s.now + time.Duration(1+s.random.IntN(30))*time.Millisecond
			s.messages[at] = append(s.messages[at], simMessage{to, reports})
		}
	}
}

func (s *simulation) deliver() {
	for _, m := range s.messages[s.now] {
		if s.isUp(m.to) {
			s.nodes[m.to].tracker.Merge(s.time(), m.reports)
		}
	}
	delete(s.messages, s.now)
}

// lateSends returns the number of sends with a part later than simContactTime after its
// fifth crash, and of all after that crash.
func (s *simulation) lateSends(p Part) (late, all int) {
	if len(s.crashes[p]) < 5 {
		return 0, 0
	}
	fifth := s.crashes[p][4]
	for _, at := range s.sends[p] {
		if at > fifth {
			all++
		}
		if at > fifth+simContactTime {
			late++
		}
	}
	return late, all
}

// Guards against replicas that die one after another because of a part of a prompt, and
// against blame on the parts that its requests share with others.
func TestPartsOfManyHosts(t *testing.T) {
	const first, second, shared Part = 1_001, 1_002, 1_003
	at := 3 * time.Second
	tests := map[string]simConfig{
		"one part":                    {crashing: map[Part]time.Duration{first: at}},
		"from the start":              {crashing: map[Part]time.Duration{first: 0}},
		"two parts at once":           {crashing: map[Part]time.Duration{first: at, second: at}},
		"second part later":           {crashing: map[Part]time.Duration{first: at, second: 6 * time.Second}},
		"popular part":                {crashing: map[Part]time.Duration{5: at}},
		"with a new part":             {crashing: map[Part]time.Duration{first: at}, always: shared},
		"with a new part, often":      {crashing: map[Part]time.Duration{first: at}, always: shared, culpritShare: 0.3},
		"half of the requests":        {crashing: map[Part]time.Duration{first: at}, culpritShare: 0.5},
		"host frozen":                 {crashing: map[Part]time.Duration{first: at}, frozen: 1},
		"host started later":          {crashing: map[Part]time.Duration{first: at}, startedAt: 7 * time.Second},
		"a rack fails meanwhile":      {crashing: map[Part]time.Duration{first: at}, kills: map[time.Duration]float64{at + 400*time.Millisecond: 0.3}},
		"a rack fails":                {kills: map[time.Duration]float64{at: 0.3}},
		"a rack fails, after another": {kills: map[time.Duration]float64{at: 0.3, at + 200*time.Millisecond: 0.2, 8 * time.Second: 0.5}},
		"single replicas fail": {kills: map[time.Duration]float64{
			3 * time.Second: 0.05, 5 * time.Second: 0.05, 7 * time.Second: 0.05, 9 * time.Second: 0.05, 11 * time.Second: 0.05, 13 * time.Second: 0.05,
		}},
	}
	for name, c := range tests {
		for _, hosts := range []int{5, 20, 68} {
			for _, loss := range []float64{0, 0.3} {
				s := simulation{simConfig: c}
				s.hosts, s.replicas, s.seed, s.reportLoss = hosts, 2*hosts, 1, loss
				t.Run(fmt.Sprintf("%s/%d hosts/loss %.1f", name, hosts, loss), func(t *testing.T) {
					t.Parallel()
					s.t = t
					s.run()
					s.check()
				})
			}
		}
	}
}

func (s *simulation) check() {
	s.t.Helper()
	for p := range s.crashing {
		late, all := s.lateSends(p)
		s.t.Logf("part %d: %d crashes, %d sends, %d after the fifth crash, %d late", p, len(s.crashes[p]), len(s.sends[p]), all, late)
		if late > 3 {
			s.t.Errorf("%d sends with part %d later than %s after its fifth crash", late, p, simContactTime)
		}
	}
	s.t.Logf("%d of %d sound requests refused", s.refused, s.sound)
	if 20*s.refused > s.sound {
		s.t.Errorf("%d of %d sound requests refused", s.refused, s.sound)
	}
	for i, h := range s.nodes {
		for _, r := range h.tracker.Refused(s.time()) {
			if _, ok := s.crashing[r.Part]; !ok && h.tracker.Status(s.time(), r.Part) == StatusRefuse {
				s.t.Errorf("host %d refuses part %d after the crashes %v", i, r.Part, r.Crashes)
			}
		}
		for p, from := range s.crashing {
			if got := h.tracker.Status(s.time(), p); got != StatusRefuse && s.now-from > 5*time.Second {
				s.t.Errorf("host %d: status of part %d = %s", i, p, got)
			}
		}
	}
}
