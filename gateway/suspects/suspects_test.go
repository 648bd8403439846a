package suspects

import (
	"testing"
	"time"

	"siskinstand.example/coord/suspect"
)

// Guards against a sidecar's echo of one death being counted as a second one,
// which refused requests that had crashed nothing twice.
func TestEchoIsNoStrike(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New(func() time.Time { return now })
	table.AddStrike(7, Crash{Endpoint: "e1", Incarnation: 1})
	echo, version := table.Snapshot()
	now = now.Add(time.Second)
	table.MergeReports("", echo)
	table.AddStrike(7, Crash{Endpoint: "e1", Incarnation: 1})
	if s := table.Lookup(7); !s.Isolated() || len(s.CrashedEndpoints) != 1 || s.CrashedEndpoints[0] != "e1" {
		t.Errorf("standing after an echo = %+v, want isolated", s)
	}
	if _, after := table.Snapshot(); after != version+1 {
		t.Errorf("version %d, want %d", after, version+1)
	}
	table.AddStrike(7, Crash{Endpoint: "e2", Incarnation: 1, Isolated: true})
	if s := table.Lookup(7); s.Status != suspect.StatusRefuse || s.ExpiresIn != time.Hour {
		t.Errorf("standing after two deaths = %+v, want refused for an hour", s)
	}
}

// Guards against a finished request that stays a suspect.
func TestClear(t *testing.T) {
	now := time.Unix(1000, 0)
	table, other := New(func() time.Time { return now }), New(func() time.Time { return now })
	table.AddStrike(7, Crash{Endpoint: "e1"})
	struck, _ := table.Snapshot()
	other.MergeReports("e1", struck)
	if s := other.Lookup(7); len(s.CrashedEndpoints) != 1 || s.CrashedEndpoints[0] != "e1" {
		t.Errorf("standing after a report = %+v, want struck at e1", s)
	}
	now = now.Add(time.Second)
	table.Clear(7)
	cleared, _ := table.Snapshot()
	other.MergeReports("e2", cleared)
	for name, s := range map[string]Entry{"own": table.Lookup(7), "other": other.Lookup(7)} {
		if s.Status != suspect.StatusClear || len(s.CrashedEndpoints) != 0 {
			t.Errorf("%s standing = %+v, want clear", name, s)
		}
	}
}
