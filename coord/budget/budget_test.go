package budget

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var start = time.Unix(1_000_000, 0)

const (
	rate     = int64(1 << 30)
	maxBytes = 20 * rate
)

// Guards against grants that, over any time span, exceed the store's rate by
// more than the burst and the last load granted.
func TestGrantsStayWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		b := New(now, rate, DefaultBurst)
		var granted []grant
		for i := range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "pause ms")) * time.Millisecond)
			bytes := rapid.Int64Range(1, maxBytes).Draw(t, "bytes")
			p := b.Request(now, Requester{Endpoint: fmt.Sprint(i)}, bytes)
			if p.Granted {
				granted = append(granted, grant{bytes, now})
			} else if p.RetryAfter < minRetryDelay || p.RetryAfter > maxRetryDelay+maxRetryDelay/jitterDivisor {
				t.Fatalf("retry after %s, want minRetryDelay to maxRetryDelay with its jitter", p.RetryAfter)
			}
		}
		for i := range granted {
			sum := int64(0)
			for _, g := range granted[i:] {
				sum += g.bytes
				span := g.at.Sub(granted[i].at) + DefaultBurst
				if allowed := int64(span.Seconds()*float64(rate)) + g.bytes; sum > allowed+1024 {
					t.Fatalf("%d bytes granted within %s, allowed %d", sum, span, allowed)
				}
			}
		}
	})
}

// Guards against loads that starve although the store has bandwidth left: of 30
// endpoints that retry after the returned delay, each gets its permit in time.
func TestAllEndpointsGetPermits(t *testing.T) {
	b := New(start, rate, DefaultBurst)
	next := map[string]time.Time{}
	for i := range 30 {
		next[fmt.Sprintf("endpoint-%d", i)] = start
	}
	deadline := start.Add(DefaultBurst + 30*2*time.Second + 2*maxRetryDelay)
	for now := start; len(next) > 0; now = now.Add(100 * time.Millisecond) {
		for endpoint, at := range next {
			if now.Before(at) {
				continue
			}
			p := b.Request(now, Requester{Endpoint: endpoint}, 2*rate)
			if p.Granted {
				delete(next, endpoint)
				continue
			}
			next[endpoint] = now.Add(p.RetryAfter)
		}
		if now.After(deadline) {
			t.Fatalf("%d of 30 endpoints have no permit after %s", len(next), now.Sub(start))
		}
	}
}

// Guards against charging a load twice when the response was lost, a new holder
// ignoring what the previous one granted, and grants without a rate.
func TestRequest(t *testing.T) {
	b := New(start, rate, DefaultBurst)
	if b.Request(start, Requester{Endpoint: "a"}, rate).Granted {
		t.Error("a new holder granted a load at once, want its burst to count as used")
	}
	later := start.Add(DefaultBurst)
	for range 3 {
		if !b.Request(later, Requester{Endpoint: "a"}, 9*rate).Granted {
			t.Error("a repeated request was refused")
		}
	}
	if !b.Request(later, Requester{Endpoint: "b"}, rate).Granted || b.Request(later, Requester{Endpoint: "c"}, rate).Granted {
		t.Error("with 9 s of the burst of 10 s granted, want a load of 1 s granted and the next one refused")
	}
	b.SetRate(0)
	if b.Request(later.Add(time.Hour), Requester{Endpoint: "d"}, 1).Granted {
		t.Error("granted without a rate")
	}
}

// Guards against granting a permit to a sidecar that was paused while its
// successor took over the endpoint.
func TestPreviousSidecarIsSuperseded(t *testing.T) {
	b := New(start.Add(-DefaultBurst), rate, DefaultBurst)
	former, successor := Requester{Endpoint: "e", Incarnation: 1}, Requester{Endpoint: "e", Incarnation: 2}
	if !b.Request(start, former, rate).Granted || !b.Request(start, successor, rate).Granted {
		t.Error("not granted although the store is idle")
	}
	if p := b.Request(start, former, rate); p.Granted || !p.Superseded {
		t.Errorf("the previous sidecar got %+v, want a refusal as superseded", p)
	}
	if p := b.Request(start.Add(supersededDuration), former, rate); p.Superseded {
		t.Error("a host whose clock was set back is still superseded after supersededDuration")
	}
}
