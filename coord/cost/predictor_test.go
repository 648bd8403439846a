package cost

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const tokenTime = time.Millisecond

func stream(account string, hint int) Request {
	return Request{Route: "chat", Account: account, PromptTokens: 5000, MaxOutputTokens: 4000, OutputHint: hint, MeanOutput: 200, TokenTime: tokenTime}
}

// observeOutputs observes n requests, one every 100 ms, whose outputs have the given median.
func observeOutputs(p *Predictor, random *rand.Rand, now *time.Duration, r Request, median float64, n int) {
	for range n {
		*now += 100 * time.Millisecond
		tokens := int(max(1, median*math.Exp(0.4*random.NormFloat64())))
		p.Observe(*now, r, Result{OutputTokens: tokens, Took: time.Duration(tokens) * tokenTime})
	}
}

func checkRatio(t *testing.T, what string, got, want, factor float64) {
	t.Helper()
	if got < want/factor || got > want*factor {
		t.Errorf("%s = %v, want %v within a factor of %v", what, got, want, factor)
	}
}

func TestInitialEstimate(t *testing.T) {
	// Guards against a new host without estimates, and estimates beyond the bound.
	p := New(Config{})
	checkRatio(t, "median by hint", float64(p.Predict(0, stream("a", 100)).P50), 100, 1.1)
	checkRatio(t, "median by configured mean", float64(p.Predict(0, stream("a", 0)).P50), 200, 1.1)
	r := stream("a", 0)
	r.MeanOutput = 0
	checkRatio(t, "median by bound", float64(p.Predict(0, r).P50), 2000, 1.1)
	r.MaxOutputTokens = 50
	if e := p.Predict(0, r); e.P90 > 50 || e.Output > 50 {
		t.Errorf("predicted %d and at most %d tokens, want 50 or less", e.Output, e.P90)
	}
	if e := p.Predict(0, Request{Route: "book"}); e.Service <= 0 || e.Survival.IsZero() {
		t.Errorf("plain call: service time %v, want more than 0", e.Service)
	}
}

func TestLearning(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	t.Run("accounts", func(t *testing.T) {
		// Guards against one account's requests that set the estimate of another's.
		p, now := New(Config{}), time.Duration(0)
		observeOutputs(p, random, &now, stream("long", 100), 800, 60)
		observeOutputs(p, random, &now, stream("short", 100), 50, 60)
		checkRatio(t, "long", float64(p.Predict(now, stream("long", 100)).P50), 800, 1.3)
		checkRatio(t, "short", float64(p.Predict(now, stream("short", 100)).P50), 50, 1.3)
	})
	t.Run("drift", func(t *testing.T) {
		// Guards against estimates that need as many requests to change as they were learned
		// from, when the outputs of an account become eight times as long.
		p, now := New(Config{}), time.Duration(0)
		observeOutputs(p, random, &now, stream("a", 100), 100, 500)
		observeOutputs(p, random, &now, stream("a", 100), 800, 40)
		checkRatio(t, "median after the change", float64(p.Predict(now, stream("a", 100)).P50), 800, 1.4)
		if p.Drifts() == 0 {
			t.Error("the change was not detected")
		}
	})
	t.Run("useless hints", func(t *testing.T) {
		// Guards against hints that are unrelated to the output, of so many sizes that few requests
		// with each are observed, which would be worse than no hints.
		p, now := New(Config{}), time.Duration(0)
		random := rand.New(rand.NewPCG(3, 1))
		for range 300 {
			r := stream("", 1<<random.IntN(12))
			r.PromptTokens = 1 << (2 * random.IntN(10))
			observeOutputs(p, random, &now, r, 200, 1)
		}
		for _, hint := range []int{2, 2048} {
			checkRatio(t, "median", float64(p.Predict(now, stream("", hint)).P50), 200, 1.5)
		}
	})
	t.Run("ageing", func(t *testing.T) {
		// Guards against estimates that stay after their requests have stopped.
		p, now := New(Config{}), time.Duration(0)
		observeOutputs(p, random, &now, stream("a", 100), 800, 60)
		now += time.Hour
		checkRatio(t, "median after an hour", float64(p.Predict(now, stream("a", 100)).P50), 100, 1.1)
	})
	t.Run("replica speed", func(t *testing.T) {
		// Guards against decoding times by a configured speed that the replicas do not have.
		p := New(Config{})
		before := p.Predict(0, stream("a", 100)).Decode
		for i := range 100 {
			p.Observe(time.Duration(i)*time.Millisecond, stream("a", 100), Result{OutputTokens: 100, Took: 300 * tokenTime})
		}
		checkRatio(t, "time per token", p.Predict(time.Second, stream("a", 100)).Decode.Seconds()/before.Seconds(), 2, 1.8)
		checkRatio(t, "seconds per token", p.Predict(time.Second, stream("a", 100)).Decode.Seconds()/float64(p.Predict(time.Second, stream("a", 100)).Output), 0.003, 1.1)
	})
	t.Run("plain calls", func(t *testing.T) {
		p, now := New(Config{}), time.Duration(0)
		for i := range 100 {
			took := 20 * time.Millisecond
			if i%10 == 9 {
				took = 600 * time.Millisecond // guards against a long tail that is taken for the usual call
			}
			now += time.Millisecond
			p.Observe(now, Request{Route: "book"}, Result{Took: took})
		}
		e := p.Predict(now, Request{Route: "book"})
		checkRatio(t, "median ms", float64(e.P50)/1000, 20, 1.3)
		checkRatio(t, "mean ms", e.Service.Seconds()*1000, 78, 1.3)
	})
}

func TestTableIsBounded(t *testing.T) {
	// Guards against state that grows with the number of accounts, and against a flood of new
	// accounts that evicts the route's own entry.
	p := New(Config{MaxKeys: 64})
	for i := range 5000 {
		p.Observe(time.Duration(i)*time.Millisecond, stream(string(rune(i+1000)), 100), Result{OutputTokens: 300})
	}
	if p.Len() > 64 {
		t.Errorf("%d keys, want at most 64", p.Len())
	}
	if e := p.Predict(5*time.Second, stream("unseen", 100)); e.Source != SourceShape || e.Samples < 50 {
		t.Errorf("source %q with %d samples, want those of the shape", e.Source, e.Samples)
	}
	p.Observe(time.Hour, stream("a", 100), Result{OutputTokens: 300})
	if p.Len() != 3 {
		t.Errorf("%d keys after an hour, want 3", p.Len())
	}
}

func TestSurvival(t *testing.T) {
	// Guards against a stream that outlives its prediction and is taken for nearly done.
	b := spread(0, 1)
	s := newSurvival(&b, time.Second, 0)
	rest := func(elapsed time.Duration) float64 { r, _ := s.Rest(elapsed); return r.Seconds() }
	checkRatio(t, "rest at the start", rest(0), 1.35, 1.2)
	previous := 0.0
	for _, elapsed := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second, 100 * time.Second} {
		if rest(elapsed) <= previous {
			t.Errorf("rest after %v is %v s, want more than %v s", elapsed, rest(elapsed), previous)
		}
		previous = rest(elapsed)
	}
	// Guards against a rest beyond the request's largest output.
	limited := newSurvival(&b, time.Second, 3*time.Second)
	if r, _ := limited.Rest(2900 * time.Millisecond); r > 100*time.Millisecond {
		t.Errorf("rest of %v, want at most 100 ms", r)
	}
	// Guards against predictions with little uncertainty that do not approach their end.
	sure := spread(0, 0.1)
	s = newSurvival(&sure, time.Second, 0)
	if got := rest(700 * time.Millisecond); got > 0.6 {
		t.Errorf("rest of %v s after 0.7 of 1 s, want at most 0.6", got)
	}
}

func TestSection(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 1))
	p, now := New(Config{}), time.Duration(0)
	observeOutputs(p, random, &now, stream("a", 100), 800, 60)
	data := p.AppendSection(now, nil, 3)
	if again := p.AppendSection(now, nil, 3); len(again) > 0 {
		t.Errorf("%d bytes at once after the first section, want none", len(again))
	}
	// Guards against a host that stays without estimates after a restart, and against reports
	// that add up when they are repeated.
	started := New(Config{})
	for range 100 {
		if err := started.MergeSection(now, data); err != nil {
			t.Fatal(err)
		}
	}
	if w := started.table.get(stream("a", 100).keys().account).shared.weight; w > 60 {
		t.Errorf("100 reports of 60 samples count as %v samples", w)
	}
	e := started.Predict(now, stream("a", 100))
	checkRatio(t, "median", float64(e.P50), 800, 1.7)
	if e.Source != SourcePeers {
		t.Errorf("source %q, want %q", e.Source, SourcePeers)
	}
	// Guards against false reports that outweigh own observations.
	observeOutputs(started, random, &now, stream("a", 100), 50, 100)
	_ = started.MergeSection(now, data)
	checkRatio(t, "median by own observations", float64(started.Predict(now, stream("a", 100)).P50), 50, 1.5)
	// Guards against a report that fills the table with keys of its own, and malformed ones.
	small := New(Config{MaxKeys: 2})
	_ = small.MergeSection(now, data)
	small.Observe(now, stream("b", 100), Result{OutputTokens: 10})
	if small.Len() > 2 || small.MergeSection(now, data[:5]) == nil {
		t.Errorf("%d keys, want 2 and an error for a truncated row", small.Len())
	}
	for range 200 {
		observeOutputs(p, random, &now, stream(string(rune('A'+random.IntN(500))), 100), 50, 3)
	}
	if n := len(p.AppendSection(now, nil, 3)); n == 0 || n > 512 {
		t.Errorf("section of %d bytes, want 1 to 512", n)
	}
}

func BenchmarkPredict(b *testing.B) {
	p, now := New(Config{}), time.Duration(0)
	observeOutputs(p, rand.New(rand.NewPCG(1, 1)), &now, stream("a", 100), 800, 60)
	b.ReportAllocs()
	for b.Loop() {
		p.Predict(now, stream("a", 100))
	}
}
