package replicaspeed_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"siskinstand.example/coord/placement"
	"siskinstand.example/coord/placement/placementtest"
	"siskinstand.example/coord/replicaspeed"
)

const (
	simHosts, simReplicas, simZones = 9, 30, 3
	simSlots                        = 12
	simRate                         = 100 // prompts per second
	simObjective                    = 300 * time.Millisecond
	// simReportDelay is the time until hosts know of a placement.
	simReportDelay = 30 * time.Millisecond
)

// site plays short prompts on hosts and replicas in three zones in virtual time, with steps of
// a millisecond. Replica and host i are in zone i%simZones.
type site struct {
	// random decides about prompts, loss about reports.
	random, loss *rand.Rand
	trackers     []*replicaspeed.Tracker
	// slowness is the factor of a replica, link the added time between a host and a zone.
	slowness func(now time.Duration, replica int) float64
	link     func(now time.Duration, host, zone int) time.Duration
	// learns is unset for the comparison without learning. lostReports is a share.
	learns      bool
	lostReports float64
	// falsify changes the report of a host.
	falsify func(host int, report []byte) []byte
	events  map[time.Duration][]func(now time.Duration)
	streams []int // by replica, as known to the hosts
	// requests is the number of the last request.
	requests uint64
	// late is the number of late first events, placed the number of prompts by second and replica.
	late int
	// reportBytes is the size of all sections that the hosts have made.
	reportBytes int
	placed      map[int]*[simReplicas]int
}

func newSite(seed uint64) *site {
	s := &site{
		random: rand.New(rand.NewPCG(seed, 1)), loss: rand.New(rand.NewPCG(seed, 2)), learns: true, events: map[time.Duration][]func(time.Duration){}, streams: make([]int, simReplicas), placed: map[int]*[simReplicas]int{},
		slowness: func(time.Duration, int) float64 { return 1 }, link: func(time.Duration, int, int) time.Duration { return 0 },
	}
	for range simHosts {
		s.trackers = append(s.trackers, replicaspeed.New(replicaspeed.DefaultConfig()))
	}
	known := map[uint32]bool{}
	for i := range simReplicas {
		known[shortID(i)] = true
	}
	for _, t := range s.trackers {
		t.Retain(known, simZones)
	}
	return s
}

func (s *site) after(now, delay time.Duration, f func(time.Duration)) {
	at := (now + max(delay, time.Millisecond)).Truncate(time.Millisecond)
	s.events[at] = append(s.events[at], f)
}

func (s *site) run(length time.Duration) *site {
	for now := time.Duration(0); now < length; now += time.Millisecond {
		for _, f := range s.events[now] {
			f(now)
		}
		delete(s.events, now)
		if s.random.Float64() < simRate*time.Millisecond.Seconds() {
			s.place(now)
		}
		if now%(50*time.Millisecond) == 0 {
			s.exchangeReports(now)
		}
	}
	return s
}

func (s *site) exchangeReports(now time.Duration) {
	for from, t := range s.trackers {
		t.ObserveOverdue(now, func(replicaspeed.Request) bool { return false })
		t.Refresh(now)
		data := t.AppendReport(now, nil, 512)
		s.reportBytes += len(data)
		if s.falsify != nil {
			data = s.falsify(from, data)
		}
		for to, other := range s.trackers {
			if to != from && len(data) > 0 && s.loss.Float64() >= s.lostReports {
				_ = other.MergeReport(now, fmt.Sprint(from), data)
			}
		}
	}
}

func shortID(i int) uint32 { return placement.ShortID(fmt.Sprint("r", i)) }

func (s *site) place(now time.Duration) {
	host := s.random.IntN(simHosts)
	t := s.trackers[host]
	t.ObserveOverdue(now, func(replicaspeed.Request) bool { return false })
	t.Refresh(now)
	candidates := make([]placement.Candidate, simReplicas)
	index := map[string]int{}
	for i := range candidates {
		id := fmt.Sprint("r", i)
		index[id] = i
		candidates[i] = placement.Candidate{ID: id, Slots: simSlots, Load: placement.Load{Streams: s.streams[i], Tokens: 6000 * s.streams[i], MaxGap: 200 * time.Millisecond}}
		if s.learns {
			candidates[i].Speed, candidates[i].Delay = t.Slow()[shortID(i)], t.Delays()[fmt.Sprint(i%simZones)]
		}
	}
	model, prompt := placement.NewModel(placementtest.Engine()), 2000+s.random.IntN(6000)
	plan, refusal := placement.Choose(model, placement.DefaultPolicy(), candidates, placement.Request{
		PromptTokens: prompt, OutputTokens: 1500, Objective: simObjective, TimeLeft: 10 * time.Second, MaxGap: 200 * time.Millisecond,
		HostCount: simHosts, UnreportedPrompts: simRate * simReportDelay.Seconds(), Hash: s.random.Uint64(),
	})
	if refusal.Reason != placement.RefusedNone {
		s.late++
		return
	}
	i := index[plan.Primary]
	if s.placed[int(now.Seconds())] == nil {
		s.placed[int(now.Seconds())] = &[simReplicas]int{}
	}
	s.placed[int(now.Seconds())][i]++
	factor, streams := s.slowness(now, i), s.streams[i]
	part, pass := model.PartPrefill(prompt, 1), model.PassTime(streams+1, 6000*streams+prompt)
	predicted := model.TimeToFirstEvent(part, 0, streams, 6000*streams+prompt)
	took := part + pass
	if streams > 0 {
		took += time.Duration(s.random.Float64() * float64(pass))
	}
	took = time.Duration(float64(took)*factor) + s.link(now, host, i%simZones)
	if took > simObjective {
		s.late++
	}
	s.after(now, simReportDelay, func(time.Duration) { s.streams[i]++ })
	s.after(now, simReportDelay+took+time.Duration(factor*float64(1500*time.Millisecond)), func(time.Duration) { s.streams[i]-- })
	s.requests++
	number := s.requests
	t.Begin(number, replicaspeed.Request{Replica: shortID(i), Zone: fmt.Sprint(i % simZones), SentAt: now, Predicted: predicted})
	s.after(now, took, func(now time.Duration) { t.FirstEvent(now, number, now) })
}

// placedAt returns the share of the prompts from one second up to another that went to the
// replicas that match.
func (s *site) placedAt(from, to int, matches func(replica int) bool) float64 {
	matching, all := 0, 0
	for second := from; second < to; second++ {
		for i, n := range s.placed[second] {
			all += n
			if matches(i) {
				matching += n
			}
		}
	}
	return float64(matching) / float64(max(all, 1))
}

func forSeeds(t *testing.T, f func(t *testing.T, seed uint64)) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { f(t, seed) })
	}
}

// busiest returns the replica that gets the most prompts if all are nominal.
func busiest(seed uint64) int {
	usual, best := newSite(seed).run(10*time.Second), 0
	share := func(i int) float64 { return usual.placedAt(0, 10, func(n int) bool { return n == i }) }
	for i := range simReplicas {
		if share(i) > share(best) {
			best = i
		}
	}
	return best
}

func TestOneReplicaInTenSlow(t *testing.T) {
	// Load pattern: three of 30 replicas, one of them the busiest, take four times as long.
	// Guards against prompts that keep going there; with half of the reports lost, too.
	forSeeds(t, func(t *testing.T, seed uint64) {
		first := busiest(seed)
		bytes := 0
		play := func(learns bool, lost float64) int {
			s := newSite(seed)
			s.learns, s.lostReports = learns, lost
			s.slowness = func(_ time.Duration, i int) float64 {
				if i%10 == first%10 {
					return 4
				}
				return 1
			}
			s.run(30 * time.Second)
			bytes = s.reportBytes / simHosts / 30
			return s.late
		}
		without, with, lossy := play(false, 0), play(true, 0), play(true, 0.5)
		t.Logf("late of %d: %d without learning, %d with it, %d with half of the reports lost; %d bytes/s of sections from each host", 30*simRate, without, with, lossy, bytes)
		if with > without/2 || lossy > without/2 {
			t.Errorf("late first events: %d without learning, %d with it, %d with lost reports; want at most half in both", without, with, lossy)
		}
	})
}

func TestReplicaRecovers(t *testing.T) {
	// Load pattern: the busiest replica is slow for 10 s. Guards against a replica that gets
	// no prompts any more after it has recovered: it is tried again within MaxAge.
	forSeeds(t, func(t *testing.T, seed uint64) {
		i := busiest(seed)
		s := newSite(seed)
		s.slowness = func(now time.Duration, n int) float64 {
			if n == i && now < 10*time.Second {
				return 4
			}
			return 1
		}
		s.run(30 * time.Second)
		is := func(n int) bool { return n == i }
		usual := newSite(seed).run(30*time.Second).placedAt(22, 30, is)
		slow, later := s.placedAt(2, 10, is), s.placedAt(22, 30, is)
		t.Logf("share of the prompts: usually %.3f, while slow %.3f, later %.3f", usual, slow, later)
		if slow > usual/2 || later < usual/2 {
			t.Errorf("share of the prompts: usually %.3f, while slow %.3f, later %.3f; want at most half, and at least half later", usual, slow, later)
		}
	})
}

func TestSlowLink(t *testing.T) {
	// Load pattern: the link between the hosts of zone 0 and zone 1 adds 100 ms. Guards against
	// blaming the replicas, for these hosts and for all others.
	forSeeds(t, func(t *testing.T, seed uint64) {
		s := newSite(seed)
		s.link = func(_ time.Duration, host, zone int) time.Duration {
			if host%simZones == 0 && zone == 1 {
				return 100 * time.Millisecond
			}
			return 0
		}
		s.run(12 * time.Second)
		for host, tracker := range s.trackers {
			if n := len(tracker.Slow()); n > 1 {
				t.Errorf("host %d takes %d replicas for slow, want at most one", host, n)
			}
			if _, isSlow := tracker.Delays()["1"]; isSlow && host%simZones != 0 {
				t.Errorf("host %d takes the zone for slow, of which its link is good", host)
			}
		}
	})
}

func TestSlowHost(t *testing.T) {
	// Load pattern: everything takes 100 ms longer at one host, which has too little processor
	// time. Guards against blaming replicas or zones for it.
	forSeeds(t, func(t *testing.T, seed uint64) {
		s := newSite(seed)
		s.link = func(_ time.Duration, host, _ int) time.Duration {
			if host == 0 {
				return 100 * time.Millisecond
			}
			return 0
		}
		s.run(12 * time.Second)
		if delays := s.trackers[0].Delays(); len(delays) > 0 {
			t.Errorf("the host takes zones for slow: %v", delays)
		}
		for host, tracker := range s.trackers {
			if n := len(tracker.Slow()); n > 1 {
				t.Errorf("host %d takes %d replicas for slow, want at most one", host, n)
			}
		}
	})
}

func TestColdZoneReturnsWithoutSwing(t *testing.T) {
	// Load pattern: zone 2 returns cold, all its replicas take eight times as long for 3 s.
	// Guards against load that stays away for good, and that swings when it comes back: in no
	// 2 s does the zone get more than 1.5 times its usual share.
	forSeeds(t, func(t *testing.T, seed uint64) {
		s := newSite(seed)
		inZone := func(i int) bool { return i%simZones == 2 }
		s.slowness = func(now time.Duration, i int) float64 {
			if inZone(i) && now < 3*time.Second {
				return 8
			}
			return 1
		}
		s.run(26 * time.Second)
		usual := newSite(seed).run(26*time.Second).placedAt(0, 26, inZone)
		for from := 0; from < 26; from += 2 {
			share := s.placedAt(from, from+2, inZone)
			t.Logf("%2d s: %.2f of %.2f", from, share, usual)
			if share > 1.5*usual {
				t.Errorf("%d to %d s: the zone gets %.2f of the prompts, usually %.2f", from, from+2, share, usual)
			}
		}
		if share := s.placedAt(16, 26, inZone); share < 0.7*usual {
			t.Errorf("after 16 s the zone gets %.2f of the prompts, usually %.2f", share, usual)
		}
	})
}

func TestFalseReports(t *testing.T) {
	// Load pattern: a host reports a factor of 16 with many samples for every replica. Guards
	// against replicas that are taken out of use by one host.
	forSeeds(t, func(t *testing.T, seed uint64) {
		s := newSite(seed)
		var all []byte
		for i := range simReplicas {
			id := shortID(i)
			all = append(all, byte(id>>24), byte(id>>16), byte(id>>8), byte(id), 192, 255)
		}
		s.falsify = func(host int, report []byte) []byte {
			if host == 0 {
				return all
			}
			return report
		}
		s.run(15 * time.Second)
		for host, tracker := range s.trackers[1:] {
			if slow := tracker.Slow(); len(slow) > 1 {
				t.Errorf("host %d takes replicas for slow: %v, want at most one", host+1, slow)
			}
		}
	})
}
