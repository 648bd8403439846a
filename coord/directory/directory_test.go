package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func checkUsable(t *testing.T, table *Table, now time.Duration, want ...string) {
	t.Helper()
	var got []string
	for _, r := range table.Usable(now, "m") {
		got = append(got, r.ID)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("usable replicas at %v (-want +got):\n%s", now, diff)
	}
}

func newTable() *Table {
	table := New(DefaultPolicy())
	table.Put(Replica{ID: "a", Service: "m", Address: "10.0.0.1:1", Zone: "z1"})
	table.Put(Replica{ID: "b", Service: "m", Address: "10.0.0.2:1", Zone: "z2"})
	table.Put(Replica{ID: "c", Service: "other", Zone: "z2"})
	return table
}

// Guards against requests to a process that has said that it leaves, and against a process that
// is taken for it because it uses its ID or its address.
func TestLeavingProcess(t *testing.T) {
	a := Replica{ID: "a", Service: "m", Address: "10.0.0.1:1", Zone: "z1", StartUnixMs: 1}
	leave := func() *Table {
		table := newTable()
		table.Put(a)
		if !table.MarkLeaving(time.Second, "a", "10.0.0.1:1", 1) || table.MarkLeaving(time.Second, "a", "10.0.0.1:1", 1) {
			t.Error("the first word is not new, or the second one is")
		}
		checkUsable(t, table, time.Second, "b")
		return table
	}
	t.Run("older or repeated entry", func(t *testing.T) {
		table := leave()
		table.Put(a)
		checkUsable(t, table, 2*time.Second, "b")
	})
	t.Run("entry returns after an outage", func(t *testing.T) {
		table := leave()
		table.Remove(2*time.Second, 2*time.Second, "a")
		table.Put(a)
		checkUsable(t, table, 3*time.Second, "b")
	})
	t.Run("new process with the same ID", func(t *testing.T) {
		table := leave()
		restarted := a
		restarted.StartUnixMs = 2
		table.Put(restarted)
		checkUsable(t, table, 2*time.Second, "a", "b")
	})
	t.Run("another replica at the address", func(t *testing.T) {
		table := leave()
		other := a
		other.ID, other.StartUnixMs = "other", 2
		table.Put(other)
		checkUsable(t, table, 2*time.Second, "b", "other")
	})
	t.Run("many processes", func(t *testing.T) {
		table := leave()
		for i := range maxLeaving + 10 {
			table.MarkLeaving(time.Duration(2+i)*time.Second, fmt.Sprint(i), "10.0.0.9:1", 1)
		}
		if n := len(table.leaving); n != maxLeaving {
			t.Errorf("%d processes remembered, want %d", n, maxLeaving)
		}
	})
}

// Guards against requests to a process during a pause that it has asked for, and against a pause
// without an end.
func TestPause(t *testing.T) {
	table := newTable()
	pause := func(now, until time.Duration) { table.Pause(now, until, "a", "10.0.0.1:1", 0) }
	pause(time.Second, 3*time.Second)
	pause(1500*time.Millisecond, 2*time.Second) // a shorter one
	checkUsable(t, table, 2*time.Second, "b")
	table.Put(Replica{ID: "a", Service: "m", Address: "10.0.0.1:1", Zone: "z1"})
	checkUsable(t, table, 2900*time.Millisecond, "b")
	table.MarkLeaving(2*time.Second, "b", "10.0.0.2:1", 0)
	if leaving, paused := table.CountWithdrawn(2 * time.Second); leaving != 1 || paused != 1 {
		t.Errorf("%d replicas leaving and %d paused, want 1 each", leaving, paused)
	}
	table.Put(Replica{ID: "b", Service: "m", Address: "10.0.0.2:1", Zone: "z2", StartUnixMs: 3})
	if left := table.PauseLeft(2*time.Second, "m"); left != time.Second {
		t.Errorf("pause left = %v, want 1s", left)
	}
	checkUsable(t, table, 3*time.Second, "a", "b")
	if left := table.PauseLeft(3*time.Second, "m"); left != 0 {
		t.Errorf("pause left at its end = %v, want 0", left)
	}
	pause(4*time.Second, 10*time.Second)
	table.Put(Replica{ID: "a", Service: "m", Address: "10.0.0.1:1", Zone: "z1", StartUnixMs: 2})
	checkUsable(t, table, 5*time.Second, "a", "b")
}

func TestUsable(t *testing.T) {
	t.Run("draining", func(t *testing.T) {
		// Guards against new requests to a leaving replica.
		table := newTable()
		table.Put(Replica{ID: "a", Service: "m", Zone: "z1", Draining: true})
		checkUsable(t, table, 0, "b")
	})
	t.Run("evacuated", func(t *testing.T) {
		// Guards against new requests to an evacuated zone and against a zone
		// that never returns to use.
		table := newTable()
		table.SetEvacuated("z2", true)
		checkUsable(t, table, 0, "a")
		table.SetEvacuated("z2", false)
		checkUsable(t, table, 0, "a", "b")
	})
	t.Run("entry removed", func(t *testing.T) {
		// Guards against requests to a replica that left without a draining
		// report.
		table := newTable()
		table.Remove(time.Second, time.Second, "a")
		checkUsable(t, table, time.Second, "b")
	})
	t.Run("back under another id", func(t *testing.T) {
		// Guards against two entries for one process: a prompt that listed the
		// same replica twice among its helpers was answered with status 400 (seen
		// in the simulated day deploy/days/cold.toml at 16.4 s).
		table := New(DefaultPolicy())
		table.Put(Replica{ID: "old", Service: "m", Address: "10.0.0.1:80", StartUnixMs: 1})
		table.Put(Replica{ID: "new", Service: "m", Address: "10.0.0.1:80", StartUnixMs: 2})
		table.Put(Replica{ID: "other", Service: "m", Address: "10.0.0.2:80", StartUnixMs: 1})
		checkUsable(t, table, 0, "new", "other")
	})
	t.Run("leases lapse in an outage", func(t *testing.T) {
		// Guards against an empty list of replicas when the store returns with
		// all leases expired, and against a dead replica that stays in the list
		// forever.
		table := newTable()
		table.RecordOutage(10 * time.Second)
		table.RetainOnly(11*time.Second, 5*time.Second, map[string]bool{})
		checkUsable(t, table, 12*time.Second, "a", "b")
		table.Put(Replica{ID: "a", Service: "m", Zone: "z1"})
		checkUsable(t, table, 12600*time.Millisecond, "a")
	})
}

// Guards against new requests to a process that drains or is in an evacuated zone. The
// entry of the previous process at the same address remains until its lease expires.
func TestUsableSkipsOldEntryOfAddress(t *testing.T) {
	old := Replica{ID: "old", Service: "m", Address: "10.0.0.1:80", Zone: "z1", StartUnixMs: 1}
	for name, latest := range map[string]Replica{
		"draining":  {ID: "new", Service: "m", Address: "10.0.0.1:80", Zone: "z1", StartUnixMs: 2, Draining: true},
		"evacuated": {ID: "new", Service: "m", Address: "10.0.0.1:80", Zone: "z2", StartUnixMs: 2},
	} {
		t.Run(name, func(t *testing.T) {
			table := New(DefaultPolicy())
			table.SetEvacuated("z2", true)
			table.Put(Replica{ID: "other", Service: "m", Address: "10.0.0.2:80", Zone: "z1", StartUnixMs: 1})
			table.Put(old)
			table.Put(latest)
			checkUsable(t, table, 0, "other")
		})
	}
}

// Guards against a replica that stays in use for longer than the drain time after its entry
// was removed, because a failed call at one host counts as an outage of the store.
func TestGracePeriodCountsFromLastSeen(t *testing.T) {
	for name, tc := range map[string]struct {
		gap, want time.Duration
	}{
		"removed just now":          {0, 1500 * time.Millisecond},
		"followed host was cut off": {1050 * time.Millisecond, 700 * time.Millisecond},
		"almost too late":           {1700 * time.Millisecond, 50 * time.Millisecond},
		"store was out":             {4 * time.Second, 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable()
			now := 10 * time.Second
			table.RecordOutage(now - 100*time.Millisecond)
			if got := table.Remove(now, now-tc.gap, "a"); got != tc.want {
				t.Errorf("replica kept for %v, want %v", got, tc.want)
			}
			checkUsable(t, table, now+tc.want-1, "a", "b")
			checkUsable(t, table, now+tc.want, "b")
		})
	}
	if got := DefaultPolicy().WithDrainTime(4 * time.Second).RemovalLimit; got != 3500*time.Millisecond {
		t.Errorf("removal limit with a drain time of 4s = %v, want 3.5s", got)
	}
}

// Guards against a cached list that outlives a change of the table or the expiry of a
// missing entry.
func TestUsableFollowsChanges(t *testing.T) {
	table := newTable()
	checkUsable(t, table, 0, "a", "b")
	table.Put(Replica{ID: "d", Service: "m", Address: "10.0.0.4:1", Zone: "z1"})
	checkUsable(t, table, 0, "a", "b", "d")
	table.SetEvacuated("z1", true)
	checkUsable(t, table, 0, "b")
	table.SetEvacuated("z1", false)
	table.RecordOutage(time.Second)
	table.Remove(time.Second, time.Second, "d")
	checkUsable(t, table, 2*time.Second, "a", "b", "d")
	checkUsable(t, table, 2500*time.Millisecond, "a", "b")
}
