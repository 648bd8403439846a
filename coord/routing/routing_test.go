package routing

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "1") }

func drawMembers(t *rapid.T) []Member {
	n := rapid.IntRange(0, 12).Draw(t, "endpoints")
	members := make([]Member, n)
	for i := range members {
		members[i] = Member{Name: fmt.Sprintf("e%02d", i), Usable: rapid.Bool().Draw(t, "usable")}
	}
	return members
}

func drawKeys(t *rapid.T) Keys {
	return Keys{Prefix: rapid.Uint64().Draw(t, "prefix"), Fingerprint: rapid.Uint64().Draw(t, "fingerprint")}
}

func candidateNames(v *View, c Candidates) []string {
	var list []string
	for _, i := range []int{c.Prefix, c.Fingerprint} {
		if i != None {
			list = append(list, v.Name(i))
		}
	}
	return list
}

// Guards against candidates that differ between gateways, coincide, are out of
// service or are missing although enough endpoints are usable.
func TestPickProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members, k := drawMembers(t), drawKeys(t)
		v := NewView(members)
		c := v.Pick(k, nil)
		got := candidateNames(v, c)
		usable := 0
		for _, m := range members {
			if m.Usable {
				usable++
			}
		}
		if len(got) != min(usable, 2) || (len(got) == 2 && got[0] == got[1]) {
			t.Fatalf("candidates %v of %d usable endpoints, want two different ones or as many as are usable", got, usable)
		}
		for _, i := range []int{c.Prefix, c.Fingerprint} {
			if i != None && !v.Usable(i) {
				t.Fatalf("endpoint %s is not usable", v.Name(i))
			}
		}
		slices.Reverse(members)
		reversed := NewView(members)
		if other := candidateNames(reversed, reversed.Pick(k, nil)); !slices.Equal(got, other) {
			t.Fatalf("candidates depend on the order of endpoints: %v, %v", got, other)
		}
	})
}

// Guards against replacing both candidates when only one leaves the set, and
// against a skipped endpoint being treated differently from an unusable one.
func TestReplacementKeepsOtherCandidate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members, k := drawMembers(t), drawKeys(t)
		v := NewView(members)
		before := candidateNames(v, v.Pick(k, nil))
		if len(before) < 2 {
			return
		}
		removed := rapid.SampledFrom(before).Draw(t, "gone")
		for i := range members {
			if members[i].Name == removed {
				members[i].Usable = false
			}
		}
		w := NewView(members)
		after := candidateNames(w, w.Pick(k, nil))
		if skipped := candidateNames(v, v.Pick(k, []string{removed})); !slices.Equal(after, skipped) {
			t.Fatalf("candidates %v with the endpoint skipped, %v with it unusable", skipped, after)
		}
		for _, name := range before {
			if name != removed && !slices.Contains(after, name) {
				t.Fatalf("candidate %s was lost: %v, then %v", name, before, after)
			}
		}
	})
}

// Guards against an order that ignores load, prefix benefit or the tie break.
func TestOrder(t *testing.T) {
	p := Policy{PrefixShare: 0.5, DefaultRate: 1000}
	c := Candidates{Prefix: 3, Fingerprint: 5}
	tests := map[string]struct {
		prompt              int64
		prefix, fingerprint Load
		first               int
	}{
		"shorter queue":      {0, Load{QueuedTokens: 100}, Load{QueuedTokens: 50}, 5},
		"prefix benefit":     {200, Load{QueuedTokens: 100}, Load{QueuedTokens: 50}, 3},
		"unreported work":    {0, Load{QueuedTokens: 10}, Load{UnreportedTokens: 50}, 3},
		"faster endpoint":    {0, Load{QueuedTokens: 100, TokensPerSecond: 10_000}, Load{QueuedTokens: 50}, 3},
		"benefit too small":  {50, Load{QueuedTokens: 100}, Load{QueuedTokens: 50}, 5},
		"long prompt":        {1_000_000, Load{QueuedTokens: 100_000}, Load{}, 5},
		"tie by fingerprint": {0, Load{}, Load{}, 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			k := Keys{Fingerprint: 1}
			for Mix(k.Fingerprint)&1 != 0 {
				k.Fingerprint++
			}
			if first, _ := p.Order(c, k, tc.prompt, tc.prefix, tc.fingerprint); first != tc.first {
				t.Errorf("first = %d, want %d", first, tc.first)
			}
		})
	}
}

// Guards against starting a long prompt on the slower of two endpoints because
// its own prefill is ignored or a prefix is credited that is not cached.
func TestOrderLongPrompt(t *testing.T) {
	const prompt, body = 200_000, 800_000
	p := Policy{PrefixShare: 0.5, DefaultRate: 1000, IncludeOwnPrefill: true}
	slow := Load{QueuedTokens: 10_000, TokensPerSecond: 70_000}
	fast := Load{QueuedTokens: 50_000, TokensPerSecond: 140_000}
	if first, _ := p.Order(Candidates{Prefix: 3, Fingerprint: 5}, NewKeys(7, 1, body), prompt, slow, fast); first != 5 {
		t.Errorf("first = %d, want the faster endpoint", first)
	}
	behind, idle := Load{QueuedTokens: 1_000, TokensPerSecond: 70_000}, Load{TokensPerSecond: 70_000}
	if first, _ := p.Order(Candidates{Prefix: 3, Fingerprint: 5}, NewKeys(7, 1, body), prompt, behind, idle); first != 5 {
		t.Errorf("first = %d, want the endpoint with the shorter queue", first)
	}
}

// Guards against sending copies of a long prompt to more than two endpoints,
// and against sending all long prompts of one prefix to the same endpoint.
func TestLongPromptsIgnorePrefixKey(t *testing.T) {
	v, firsts := thousandEndpoints(), map[int]bool{}
	for fingerprint := range uint64(50) {
		k := NewKeys(7, Mix(fingerprint), longBodyBytes+1)
		c := v.Pick(k, nil)
		if again := v.Pick(NewKeys(8, Mix(fingerprint), longBodyBytes+1), nil); again != c || c.Prefix == c.Fingerprint {
			t.Fatalf("candidates %v, then %v; want the same two endpoints", c, again)
		}
		firsts[c.Prefix] = true
	}
	if len(firsts) < 40 {
		t.Errorf("50 long prompts of one prefix have %d different first candidates, want at least 40", len(firsts))
	}
	if k := NewKeys(7, 1, longBodyBytes); k.Prefix != 7 {
		t.Error("a prompt that is not long lost its prefix key")
	}
}

// Guards against a key distribution that overloads one endpoint of a pool.
func TestSpread(t *testing.T) {
	const endpoints, requests = 14, 14_000
	members := make([]Member, endpoints)
	for i := range members {
		members[i] = Member{Name: fmt.Sprintf("replica-%d", i), Usable: true}
	}
	v := NewView(members)
	r := rand.New(rand.NewPCG(1, 1))
	var count [endpoints]int
	for range requests {
		c := v.Pick(Keys{Prefix: r.Uint64(), Fingerprint: r.Uint64()}, nil)
		count[c.Prefix]++
		count[c.Fingerprint]++
	}
	for i, n := range count {
		if want := 2 * requests / endpoints; n < want*9/10 || n > want*11/10 {
			t.Errorf("endpoint %d is a candidate %d times, want about %d", i, n, want)
		}
	}
}

// Guards against control streams concentrating on some endpoints.
func TestSubset(t *testing.T) {
	var endpoints []string
	for i := range 200 {
		endpoints = append(endpoints, fmt.Sprintf("e%03d", i))
	}
	count := map[string]int{}
	for g := range 100 {
		subset := Subset(fmt.Sprintf("g%d", g), endpoints, 20)
		if len(subset) != 20 {
			t.Fatalf("subset of %d endpoints, want 20", len(subset))
		}
		for _, e := range subset {
			count[e]++
		}
	}
	for _, e := range endpoints {
		if n := count[e]; n < 1 || n > 24 {
			t.Errorf("endpoint %s has %d control streams, want about 10", e, n)
		}
	}
}

func thousandEndpoints() *View {
	members := make([]Member, 1000)
	for i := range members {
		members[i] = Member{Name: fmt.Sprintf("endpoint-%04d", i), Usable: i%10 != 0}
	}
	return NewView(members)
}

// Guards against allocations on the path of every request.
func TestPickDoesNotAllocate(t *testing.T) {
	v, skip := thousandEndpoints(), []string{"endpoint-0007"}
	if n := testing.AllocsPerRun(100, func() { v.Pick(Keys{1, 2}, skip) }); n != 0 {
		t.Errorf("%v allocations per Pick, want none", n)
	}
}

func BenchmarkPick(b *testing.B) {
	v, p := thousandEndpoints(), Policy{PrefixShare: 0.5, DefaultRate: 1000}
	b.ReportAllocs()
	var k Keys
	for b.Loop() {
		k.Prefix += 7
		k.Fingerprint += 11
		p.Order(v.Pick(k, nil), k, 1000, Load{QueuedTokens: 10}, Load{QueuedTokens: 20})
	}
}
