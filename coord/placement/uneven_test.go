package placement

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"
)

// decisionsBeforeSpeeds is the digest of the decisions of randomRequests by commit 648148a, in
// which candidates had neither speed nor delay.
const decisionsBeforeSpeeds uint64 = 2447105556052911400

// digestDecisions returns a digest of the decisions on random loads and requests of all
// length classes, with an adjustment of the candidates.
func digestDecisions(adjust func([]Candidate)) uint64 {
	random := rand.New(rand.NewPCG(7, 7))
	digest := fnv.New64a()
	for range 4000 {
		replicas := idleReplicas(4 + random.IntN(60))
		for i := range replicas {
			streams := random.IntN(17)
			replicas[i].Load = Load{Streams: streams, Tokens: streams * 6000, MaxGap: []time.Duration{0, shortMaxGap, largeMaxGap}[random.IntN(3)]}
			if random.IntN(3) == 0 {
				replicas[i].Load.QueuedPrefill = time.Duration(random.IntN(300)) * time.Millisecond
			}
		}
		r := shortRequest(1000 + random.IntN(9000))
		switch random.IntN(4) {
		case 0:
			r = longRequest(30_000 + random.IntN(50_000))
		case 1:
			r = largeRequest(200_000 + random.IntN(500_000))
		}
		r.Hash, r.UnreportedPrompts, r.HostCount = random.Uint64(), random.Float64()*5, 22
		adjust(replicas)
		plan, refusal := choose(replicas, r)
		fmt.Fprintln(digest, plan.Primary, helperIDs(plan), plan.PartPrefill, plan.TimeToFirstEvent, refusal.Reason, refusal.RetryAfter, refusal.CanWait)
	}
	return digest.Sum64()
}

func TestNominalCandidatesAreChosenAsBefore(t *testing.T) {
	if got := digestDecisions(func([]Candidate) {}); got != decisionsBeforeSpeeds {
		t.Errorf("digest of the decisions without speeds and delays is %d, want %d", got, decisionsBeforeSpeeds)
	}
}

func TestSpeedOneIsNominal(t *testing.T) {
	// Guards against rounding or another order of equal replicas as soon as factors are known.
	got := digestDecisions(func(replicas []Candidate) {
		for i := range replicas {
			replicas[i].Speed = 1
		}
	})
	if got != decisionsBeforeSpeeds {
		t.Error("a factor of 1 changes decisions")
	}
}

// decodingReplicas returns n replicas of 12 slots in rank order that decode short streams, of
// which every third one is in the zone of this host. The others are 7 ms away.
func decodingReplicas(n, nearStreams, farStreams int) []Candidate {
	replicas := idleReplicas(n)
	for i := range replicas {
		streams := farStreams
		if i%3 != 0 {
			replicas[i].Delay = 7 * time.Millisecond
		} else {
			streams = nearStreams
		}
		replicas[i].Slots, replicas[i].Load = 12, Load{Streams: streams, Tokens: streams * 6000, MaxGap: shortMaxGap}
	}
	return replicas
}

// countChoices places n short prompts, each without the others' loads, and returns the number
// at replicas that match, and the largest number at one replica.
func countChoices(t *testing.T, replicas []Candidate, n int, unreported float64, matches func(Candidate) bool) (matching, most int) {
	t.Helper()
	at := map[string]int{}
	for range n {
		r := shortRequest(5000)
		r.HostCount, r.UnreportedPrompts = 22, unreported
		id := mustChoose(t, replicas, r).Primary
		at[id]++
		most = max(most, at[id])
	}
	for _, r := range replicas {
		if matches(r) {
			matching += at[r.ID]
		}
	}
	return matching, most
}

func isNear(r Candidate) bool { return r.Delay == 0 }

func TestNearReplicasArePreferred(t *testing.T) {
	for name, c := range map[string]struct {
		near, far, atLeast, atMost int
	}{
		// Guards against ignoring the delay between zones.
		"equal loads": {near: 5, far: 5, atLeast: 300, atMost: 300},
		// Guards against near replicas that are filled while far ones are nearly idle: ten
		// streams delay the first event by more than the 7 ms of the link. In a ninth of the
		// cases, both replicas that the hash picks are near.
		"near replicas busy": {near: 9, far: 1, atLeast: 0, atMost: 60},
		// Guards against filling the last slots of near replicas, in which prompts that other
		// hosts have not reported yet would wait.
		"near replicas nearly full": {near: 10, far: 8, atLeast: 0, atMost: 60},
	} {
		t.Run(name, func(t *testing.T) {
			near, _ := countChoices(t, decodingReplicas(54, c.near, c.far), 300, 2, isNear)
			if near < c.atLeast || near > c.atMost {
				t.Errorf("%d of 300 prompts at near replicas, want %d to %d", near, c.atLeast, c.atMost)
			}
		})
	}
}

func TestFewNearReplicasAreNotFlooded(t *testing.T) {
	// Guards against all hosts of a zone placing their unreported prompts at the one near
	// replica that has free slots: 8 prompts that are not reported yet, 6 near replicas of 18.
	replicas := decodingReplicas(18, 12, 5)
	replicas[0].Load = replicas[1].Load
	if _, most := countChoices(t, replicas, 300, 8, isNear); most > 90 {
		t.Errorf("%d of 300 prompts at one replica, want at most 90", most)
	}
}

func TestSlowReplicasAreAvoided(t *testing.T) {
	slow := func(r Candidate) bool { return r.Speed > 1 }
	replicas := decodingReplicas(50, 5, 5)
	for i := range replicas {
		replicas[i].Delay = 0
		if i%10 == 0 {
			replicas[i].Speed = 4
		}
	}
	t.Run("short prompts", func(t *testing.T) {
		// Load pattern: one replica in ten takes four times as long. Guards against late first
		// events there while other replicas have free slots.
		if n, _ := countChoices(t, replicas, 300, 2, slow); n != 0 {
			t.Errorf("%d of 300 prompts at slow replicas, want none", n)
		}
	})
	t.Run("large prompts", func(t *testing.T) {
		// Guards against a part at a slow replica, which delays the whole prompt.
		idle := idleReplicas(30)
		for i := range idle {
			if i%10 == 9 {
				idle[i].Speed = 4
			}
		}
		p := mustChoose(t, idle, largeRequest(300_000))
		for _, r := range idle {
			for _, id := range append(helperIDs(p), p.Primary) {
				if id == r.ID && slow(r) {
					t.Errorf("slow replica %s takes part", id)
				}
			}
		}
	})
	t.Run("all slow", func(t *testing.T) {
		// Guards against refusing everything if all replicas are slow: the first event of a
		// short prompt is late, but it is served.
		for i := range replicas {
			replicas[i].Speed = 4
		}
		if n, _ := countChoices(t, replicas, 300, 2, slow); n != 300 {
			t.Errorf("%d of 300 prompts placed, want all", n)
		}
	})
}

func TestIdleConnectionDecidesBetweenEqualReplicas(t *testing.T) {
	// Guards against new connections, which are expensive, to replicas that are no better than
	// connected ones, and against a connection outweighing load.
	for streams, want := range map[int]string{5: "connected", 6: "connected", 7: "other"} {
		a := Candidate{ID: "connected", Slots: 12, Connected: true, Load: Load{Streams: streams}}
		b := Candidate{ID: "other", Slots: 12, Load: Load{Streams: 5}}
		for hash := range uint64(2) {
			c := chooser{request: Request{Hash: hash}}
			if got, _ := c.lessLoadedOfTwo([]Candidate{a, b}); got.ID != want {
				t.Errorf("%d streams at the connected replica and 5 at the other: chose %s, want %s", streams, got.ID, want)
			}
		}
	}
}
