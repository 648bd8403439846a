package group

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"siskinstand.example/coord/verdict"
)

func init() { _ = flag.Set("rapid.seed", "1") }

var start = time.Unix(1_000, 0)

// Guards against holds beyond the memory, holds that outlive their expiry and a
// token total that drifts from the holds.
func TestHoldsProperties(t *testing.T) {
	const memory = 1_000
	rapid.Check(t, func(t *rapid.T) {
		now := start
		h := NewHolds(Config{MaxHolds: 5, MaxPerAccount: 3})
		id := func(t *rapid.T) string { return fmt.Sprint(rapid.IntRange(1, 8).Draw(t, "id")) }
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				hold := Hold{ID: id(t), Group: rapid.SampledFrom([]string{"g", "h"}).Draw(t, "group"), Account: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"), Tokens: rapid.Int64Range(-1, 600).Draw(t, "tokens")}
				if h.Acquire(now, hold, time.Duration(rapid.IntRange(-1, 60).Draw(t, "s"))*time.Second, memory-h.Tokens()).OK() {
					if got, _ := h.Get(hold.ID); got.Expires.After(now.Add(MaxTimeToLive)) || got.Tokens != hold.Tokens {
						t.Fatalf("hold %+v, want %+v expiring within 10 s", got, hold)
					}
				}
			},
			"release": func(t *rapid.T) { h.Release(id(t)) },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 7).Draw(t, "s")) * time.Second)
				h.Expire(now)
			},
			"": func(t *rapid.T) {
				var sum int64
				accounts := map[string]int{}
				for _, hold := range h.holds {
					sum += hold.Tokens
					accounts[hold.Account]++
				}
				if sum != h.Tokens() || sum > memory || len(h.holds) > 5 || accounts["a"] > 3 || accounts["b"] > 3 {
					t.Fatalf("%d tokens in %d holds, Tokens returns %d; want equal sums within the memory and at most 5 holds, 3 per account", sum, len(h.holds), h.Tokens())
				}
			},
		})
		h.Expire(now.Add(MaxTimeToLive))
		if h.Tokens() != 0 || len(h.holds) != 0 {
			t.Fatalf("%d tokens still held after expiry", h.Tokens())
		}
	})
}

// Guards against the wrong verdict for a lost member, and against renewals that
// are late or continue after the end.
func TestLeader(t *testing.T) {
	members := []Member{{Endpoint: "a", HoldID: "1"}, {Endpoint: "b", HoldID: "2"}}
	tests := map[string]struct {
		started bool
		want    verdict.Verdict
	}{
		"before start": {false, verdict.NotRun},
		"after start":  {true, verdict.MayHaveRun},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			l := NewLeader(start, members)
			if tc.started {
				l.MarkStarted()
			}
			now := start.Add(RenewInterval)
			if due := l.DueRenewals(now); len(due) != 2 || len(l.DueRenewals(now)) != 0 {
				t.Fatalf("renewals due for %v, want both members once", due)
			}
			if err := l.RecordRenewal(now, "1", true); err != nil {
				t.Fatal(err)
			}
			if err := l.CheckExpiry(start.Add(MaxTimeToLive - 1)); err != nil {
				t.Fatal(err)
			}
			err := l.CheckExpiry(start.Add(MaxTimeToLive))
			if err == nil || err.Verdict != tc.want || err.Reason != verdict.ReasonGroupMemberLost {
				t.Errorf("expired hold gives %v, want %s", err, tc.want)
			}
			if len(l.DueRenewals(start.Add(time.Minute))) != 0 || len(l.End()) != 2 {
				t.Error("renewals continue after the end, or End does not return both members")
			}
		})
	}
	l := NewLeader(start, members)
	if err := l.RecordRenewal(start, "2", false); err == nil || err.Verdict != verdict.NotRun {
		t.Errorf("refused renewal gives %v, want not run", err)
	}
}
