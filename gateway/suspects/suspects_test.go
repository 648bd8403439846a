package suspects

import (
	"testing"
	"time"

	"siskinstand.example/coord/suspect"
)

// Guards against counting a crash twice when a sidecar reports it back, which led
// to the refusal of requests that had not caused two crashes.
func TestEchoedReportAddsNoStrike(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New(func() time.Time { return now })
	table.AddStrike(7, Crash{Endpoint: "e1", Incarnation: 1})
	echo, version := table.Snapshot()
	now = now.Add(time.Second)
	table.MergeReports("", echo)
	table.AddStrike(7, Crash{Endpoint: "e1", Incarnation: 1})
	if s := table.Lookup(7); !s.Isolated() || len(s.CrashedEndpoints) != 1 || s.CrashedEndpoints[0] != "e1" {
		t.Errorf("entry after an echoed report = %+v, want isolated with crashed endpoint e1", s)
	}
	if _, after := table.Snapshot(); after != version+1 {
		t.Errorf("version %d, want %d", after, version+1)
	}
	table.AddStrike(7, Crash{Endpoint: "e2", Incarnation: 1, Isolated: true})
	if s := table.Lookup(7); s.Status != suspect.StatusRefuse || s.ExpiresIn != time.Hour {
		t.Errorf("entry after two crashes = %+v, want refused for an hour", s)
	}
}

// Guards against a completed request that remains a suspect.
func TestClear(t *testing.T) {
	now := time.Unix(1000, 0)
	table, other := New(func() time.Time { return now }), New(func() time.Time { return now })
	table.AddStrike(7, Crash{Endpoint: "e1"})
	reported, _ := table.Snapshot()
	other.MergeReports("e1", reported)
	if s := other.Lookup(7); len(s.CrashedEndpoints) != 1 || s.CrashedEndpoints[0] != "e1" {
		t.Errorf("entry after a report = %+v, want crashed endpoint e1", s)
	}
	now = now.Add(time.Second)
	table.Clear(7)
	cleared, _ := table.Snapshot()
	other.MergeReports("e2", cleared)
	for name, s := range map[string]Entry{"own": table.Lookup(7), "other": other.Lookup(7)} {
		if s.Status != suspect.StatusClear || len(s.CrashedEndpoints) != 0 {
			t.Errorf("%s entry = %+v, want clear", name, s)
		}
	}
}
