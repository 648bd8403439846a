package mix

import (
	"testing"
)

// Guards against a sequence that differs between runs with the same seed, against a
// class that does not match the prompt length, and against wrong shares of long
// prompts and plain calls or a wrong arrival rate.
func TestGeneratorIsSeededAndKeepsShares(t *testing.T) {
	config := Config{Seed: 7, RatePerSecond: 100, PlainShare: 0.1, MaxOutputTokens: 8, SharedPrefixes: 3}
	a, b := New(config), New(config)
	const n = 50_000
	count := map[Class]int{}
	long := 0
	var last Item
	for range n {
		last = a.Next()
		if other := b.Next(); other != last {
			t.Fatalf("generators with the same seed returned %+v and %+v", last, other)
		}
		count[last.Class]++
		if last.PromptTokens > 100_000 {
			long++
		}
		if last.Class != ClassPlain && ClassOf(last.PromptTokens) != last.Class {
			t.Fatalf("class does not match the prompt length: %+v", last)
		}
	}
	expectWithin(t, "long prompts", float64(long)/n, 0.018, 0.25)
	expectWithin(t, "plain calls", float64(count[ClassPlain])/n, 0.1, 0.1)
	expectWithin(t, "rate", n/last.ArrivalOffset.Seconds(), 100, 0.05)
	for _, class := range Classes() {
		if count[class] == 0 {
			t.Errorf("no item of class %s", class)
		}
	}
}

func expectWithin(t *testing.T, what string, got, want, tolerance float64) {
	t.Helper()
	if got < want*(1-tolerance) || got > want*(1+tolerance) {
		t.Errorf("%s: got %g, want about %g", what, got, want)
	}
}

// Guards against prompts of the wrong length or without the shared prefix.
func TestPromptText(t *testing.T) {
	one, two := Item{PromptTokens: 1000, Seed: 1, PrefixSeed: 5}.PromptText(), Item{PromptTokens: 1000, Seed: 2, PrefixSeed: 5}.PromptText()
	if len(one) != 4000 || one[:sharedPrefixBytes] != two[:sharedPrefixBytes] || one == two {
		t.Errorf("got prompts of %d bytes, want 4000 bytes that share the prefix and differ after it", len(one))
	}
	if short := (Item{PromptTokens: 10, Seed: 1, PrefixSeed: 5}).PromptText(); len(short) != 40 {
		t.Errorf("got a prompt of %d bytes, want 40", len(short))
	}
}
