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

// Guards against holds beyond the memory, holds that outlive their renewal and
// a sum that drifts from the holds.
func TestHoldsProperties(t *testing.T) {
	const memory = 1_000
	rapid.Check(t, func(t *rapid.T) {
		now := start
		h := NewHolds(Config{MaxHolds: 5, MaxPerAccount: 3})
		id := func(t *rapid.T) string { return fmt.Sprint(rapid.IntRange(1, 8).Draw(t, "id")) }
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				want := Hold{ID: id(t), Group: rapid.SampledFrom([]string{"g", "h"}).Draw(t, "group"), Account: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"), Tokens: rapid.Int64Range(-1, 600).Draw(t, "tokens")}
				if h.Acquire(now, want, time.Duration(rapid.IntRange(-1, 60).Draw(t, "s"))*time.Second, memory-h.Tokens()).OK() {
					if got, _ := h.Get(want.ID); got.Expires.After(now.Add(MaxTimeToLive)) || got.Tokens != want.Tokens {
						t.Fatalf("hold %+v, want %+v for 10 s at most", got, want)
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
					t.Fatalf("%d tokens in %d holds, counted %d", sum, len(h.holds), h.Tokens())
				}
			},
		})
		h.Expire(now.Add(MaxTimeToLive))
		if h.Tokens() != 0 || len(h.holds) != 0 {
			t.Fatalf("%d tokens stay held", h.Tokens())
		}
	})
}

// Guards against a lost member with the wrong verdict, and against renewals
// that are late or go on after the end.
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
				t.Fatalf("due %v, want both members once", due)
			}
			if err := l.RecordRenewal(now, "1", true); err != nil {
				t.Fatal(err)
			}
			if err := l.CheckExpiry(start.Add(MaxTimeToLive - 1)); err != nil {
				t.Fatal(err)
			}
			err := l.CheckExpiry(start.Add(MaxTimeToLive))
			if err == nil || err.Verdict != tc.want || err.Reason != verdict.ReasonGroupMemberLost {
				t.Errorf("a silent member gives %v, want %s", err, tc.want)
			}
			if len(l.DueRenewals(start.Add(time.Minute))) != 0 || len(l.End()) != 2 {
				t.Error("renewals go on after the end")
			}
		})
	}
	l := NewLeader(start, members)
	if err := l.RecordRenewal(start, "2", false); err == nil || err.Verdict != verdict.NotRun {
		t.Errorf("a refused renewal gives %v", err)
	}
}
