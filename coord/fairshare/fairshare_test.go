package fairshare

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"
)

// The bounds come from the requirement that accounts share by cost: an account over 1.25 times its
// share yields, and reported usage may be off by a report and a step of the scale.
const (
	maxOfShare = 1.5
	minOfShare = 0.75
	minUsed    = 0.95
)

// accountWeights returns what each of n accounts sends: the first ones as given, the others 1.
func accountWeights(n int, first ...float64) []float64 {
	weights := make([]float64, n)
	for i := range weights {
		weights[i] = 1
	}
	copy(weights, first)
	return weights
}

// checkShares checks that each account got its share of the capacity in a period, or what it
// wanted if that is less, and that none got much more.
func (s *simulation) checkShares(t *testing.T, period time.Duration, minUsed float64) {
	t.Helper()
	capacity := simSlots * period.Seconds()
	share := capacity / float64(len(s.weights))
	var served, offered [classCount]float64
	least, most := 1e9, 0.0
	for i := range s.weights {
		got := sum(s.served[i]) / share
		if wanted := min(1, sum(s.offered[i])/share); got > maxOfShare || got < minOfShare*wanted {
			t.Errorf("account %d got %.2f of an equal share and wanted %.2f", i, got, wanted)
		}
		if i > 0 {
			least, most = min(least, got), max(most, got)
		}
		for c := range classCount {
			served[c] += s.served[i][c] / capacity
			offered[c] += s.offered[i][c] / capacity
		}
	}
	t.Logf("load %.1f: account 0 gets %.2f of an equal share, the others %.2f to %.2f; of the capacity, the classes get %.2f and want %.2f", s.load, sum(s.served[0])/share, least, most, served, offered)
	if sum(served) < minUsed {
		t.Errorf("%.3f of the capacity used, want %.2f", sum(served), minUsed)
	}
}

// Load pattern: one account sends ten times what each of the other 23 sends, at 1.5 to 3 times the
// load that fits. Guards against an account that gets more for sending more or is starved for it,
// and against a class that takes the share of another.
func TestOneAccountSendsTenTimes(t *testing.T) {
	for _, load := range []float64{1.5, 2, 3} {
		for seed := range uint64(3) {
			s := newSimulation(seed, 6, load, accountWeights(24, 10))
			s.run(8 * time.Second)
			s.resetCounts()
			s.run(20 * time.Second)
			s.checkShares(t, 20*time.Second, minUsed)
		}
	}
}

// Load pattern: one small account beside four large ones, at twice the load that fits. Guards
// against a small account that waits behind large ones, and against capacity kept free for it.
func TestSmallAccountBesideLargeOnes(t *testing.T) {
	s := newSimulation(1, 6, 2, []float64{0.3, 10, 10, 10, 10})
	s.run(8 * time.Second)
	s.resetCounts()
	const period = 60 * time.Second
	s.run(period)
	offered := sum(s.offered[0]) / simSlots / period.Seconds()
	if got := s.share(0, period); got < 0.9*offered {
		t.Errorf("the small account got %.4f of the capacity, want 0.9 of its %.4f", got, offered)
	}
	used := 0.0
	for i := range s.weights {
		used += s.share(i, period)
	}
	t.Logf("the small account got %.4f of the capacity and wanted %.4f; %.3f used", s.share(0, period), offered, used)
	if used < minUsed {
		t.Errorf("%.3f of the capacity used, want %.2f", used, minUsed)
	}
}

// Load pattern: the requests of two accounts wait at a host, one of which uses most replicas through
// another host. Guards against shares that each host computes for itself, and against requests that
// are reordered or held back although no other account waits.
func TestOrderAfterUseElsewhere(t *testing.T) {
	elsewhere, table := New(DefaultConfig()), New(DefaultConfig())
	elsewhere.Charge(0, "large", Short, 5*time.Second)
	elsewhere.Charge(0, "idle", Short, time.Second)
	elsewhere.Contended(0)
	if err := table.Merge(0, "elsewhere", elsewhere.Append(0, nil)); err != nil {
		t.Fatal(err)
	}
	now := 50 * time.Millisecond
	waiting := []Waiting{{"large", Short, 2, 10}, {"large", Short, 1, 10}, {"large", Short, 3, 10}}
	if got := table.Order(now, waiting); !reflect.DeepEqual(got, []int{1, 0, 2}) || table.OverShare(now, "large") {
		t.Errorf("alone: order %v, over its share %t; want the order of arrival and no limit", got, table.OverShare(now, "large"))
	}
	waiting = append(waiting, Waiting{"other", Short, 4, 10}, Waiting{"other", Short, 5, 10}, Waiting{"other", Short, 6, 10})
	table.Order(now, waiting)
	now += minShareInterval
	if got := table.Order(now, waiting); !reflect.DeepEqual(got, []int{1, 3, 4, 5, 0, 2}) || !table.OverShare(now, "large") {
		t.Errorf("order %v, want 1, those of the other account, and the rest", got)
	}
}

// Load pattern: at one host, requests of one account wait and are placed for a second, then many of
// another arrive. Guards against an account that saves up turns while it sends nothing, and against
// one whose requests were placed at once and that owes nothing for them.
func TestIdleAccountSavesNothing(t *testing.T) {
	table := New(DefaultConfig())
	var waiting []Waiting
	var now time.Duration
	for ; now < time.Second; now += 10 * time.Millisecond {
		table.RecordWait(now, "busy", Short)
		table.Charge(now, "busy", Short, 10*time.Millisecond)
	}
	for i := range 40 {
		account := "idle"
		if i >= 30 {
			account = "busy"
		}
		waiting = append(waiting, Waiting{Account: account, Since: now + time.Duration(i), Cost: 10 * time.Millisecond})
	}
	if got := slices.IndexFunc(table.Order(now, waiting), func(i int) bool { return i >= 30 }); got > 10 {
		t.Errorf("%d requests of the returning account go first, want at most 10", got)
	}
	table.Charge(now, "placed", Short, 100*time.Millisecond)
	if table.Compare(now, Waiting{Account: "placed", Since: 1}, Waiting{Account: "new", Since: 2}) <= 0 {
		t.Error("an account that has just used the replicas goes before one that has not")
	}
}

// Load pattern: two accounts at twice the load that fits, one of which is idle for 20 s and
// returns. Guards against an account that has saved up its share and starves the other with it,
// and against one that finds its share taken.
func TestIdleAccountReturns(t *testing.T) {
	s := newSimulation(2, 6, 2, []float64{0, 1})
	s.run(20 * time.Second)
	s.weights[0] = 1
	for _, step := range []struct {
		after, period time.Duration
		least         float64
	}{{0, 3 * time.Second, 0.15}, {5 * time.Second, 15 * time.Second, 0.5 * minOfShare}} {
		s.run(step.after)
		s.resetCounts()
		s.run(step.period)
		returned, other := s.share(0, step.period), s.share(1, step.period)
		t.Logf("%v after the return: %.2f of the capacity, the other account %.2f", step.after, returned, other)
		if returned < step.least || other < step.least {
			t.Errorf("want %.2f for each", step.least)
		}
	}
}

// Load pattern: 0.6 times the load that fits, one account sends ten times what the others send.
// Guards against any effect while nothing waits.
func TestNoContention(t *testing.T) {
	with, without := newSimulation(3, 6, 0.6, accountWeights(24, 10)), newSimulation(3, 6, 0.6, accountWeights(24, 10))
	without.fair = false
	with.run(20 * time.Second)
	without.run(20 * time.Second)
	if with.refused+with.waits+without.waits > 0 || !reflect.DeepEqual(with.served, without.served) {
		t.Errorf("%d refused and %d waited, and served %v; without shares %v", with.refused, with.waits, with.served, without.served)
	}
	table := with.hosts[0].table
	if data := table.Append(with.now, nil); len(data) > 0 {
		t.Errorf("%d bytes reported without competition", len(data))
	}
	if table.OverShare(with.now, "0") || table.Compare(with.now, Waiting{Account: "0", Since: 1}, Waiting{Account: "1", Since: 2}) >= 0 {
		t.Error("without contention, the large account is over its share or goes behind a younger request")
	}
}

// Load pattern: as in TestOneAccountSendsTenTimes at twice the load, while reports are lost and
// repeated, and hosts start, stop, freeze and restart. Guards against shares that depend on one
// report or one host, and against usage that outlives its host.
func TestFailures(t *testing.T) {
	for seed := range uint64(3) {
		s := newSimulation(seed, 6, 2, accountWeights(24, 10))
		s.lossy = true
		s.hosts[5].down = true
		s.run(8 * time.Second)
		s.resetCounts()
		s.hosts[5].down = false // starts
		s.run(5 * time.Second)
		s.hosts[0].frozen = true
		s.run(3 * time.Second)
		s.hosts[0].frozen = false
		s.run(4 * time.Second)
		s.restart(1)
		s.run(4 * time.Second)
		s.hosts[2].down = true // stops, and its last requests finish
		s.run(4 * time.Second)
		s.checkShares(t, 20*time.Second, 0.9)
		if _, ok := s.hosts[0].table.hosts["2"]; ok {
			t.Error("the usage of a stopped host is still known after 4 s")
		}
	}
}

// Guards against state without bounds, against accounts that are never reported, against usage
// that a restart or silence leaves behind, and against reports that can't be decoded.
func TestTableBounds(t *testing.T) {
	c := DefaultConfig()
	c.MaxAllAccounts, c.MaxHosts = 700, 2
	sender, receiver := New(c), New(c)
	for i := range 600 {
		sender.Charge(0, fmt.Sprint(i), Short, time.Duration(i+1)*10*time.Millisecond)
		sender.RecordWait(0, fmt.Sprint(i), Short)
	}
	var now time.Duration
	for ; now < 4*time.Second; now += 100 * time.Millisecond {
		sender.Contended(now)
		data := sender.Append(now, nil)
		if len(data) != maxEntries*entryBytes {
			t.Fatalf("%d bytes, want %d", len(data), maxEntries*entryBytes)
		}
		if err := receiver.Merge(now, "a", data); err != nil {
			t.Fatal(err)
		}
	}
	if got := len(receiver.hosts["a"].usage); sender.ownCount != 512 || got != 512 {
		t.Errorf("%d accounts kept and %d received, want 512", sender.ownCount, got)
	}
	for i := range 2000 {
		receiver.RecordWait(now, fmt.Sprint("x", i), Long)
	}
	if err := receiver.Merge(now, "b", nil); err != nil || len(receiver.accounts) > 700 || receiver.Merge(now, "c", nil) == nil || receiver.Merge(now, "a", make([]byte, 7)) == nil || receiver.Merge(now, "a", make([]byte, 520)) == nil {
		t.Errorf("%d accounts, error %v; want at most 700, and errors for a third host and bad lengths", len(receiver.accounts), err)
	}
	receiver.RemoveHost("a")
	if s := receiver.Share(now+time.Second, "599"); s > 1e-6 {
		t.Errorf("share %g after the host was removed, want none", s)
	}
	receiver.Share(now+10*time.Minute, "")
	sender.Share(now+10*time.Minute, "")
	if len(receiver.accounts)+len(receiver.hosts)+len(sender.accounts) > 0 {
		t.Errorf("%d accounts and %d hosts after 10 min, want none", len(receiver.accounts)+len(sender.accounts), len(receiver.hosts))
	}
}
