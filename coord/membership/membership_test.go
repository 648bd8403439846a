package membership

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "1") }

var policy = Policy{SilenceTimeout: 10 * time.Second, InitialProbeDelay: time.Second, MaxProbeDelay: 8 * time.Second}

// model is what must hold of one endpoint, kept independently of the table.
type model struct {
	listed, leaving bool
	heard           time.Time
	unreachable     bool
	down            bool
}

// Guards against the host list alone removing an endpoint that responds or
// sending work to one that does not, in any order of events.
func TestEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := New(policy), time.Unix(1000, 0)
		var m model
		row := Host{Name: "e", Address: "a", Incarnation: 1}
		table.ApplyHostList([]Host{row}, true)
		m.listed = true
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				table.RemoveFromHostList([]string{"e"})
				m.listed = false
			case 1:
				table.ApplyHostList(nil, true)
				m.listed = false
			case 2:
				row.Leaving = rapid.Bool().Draw(t, "leaving")
				if _, known := table.Get("e"); !known {
					m = model{}
				}
				table.ApplyHostList([]Host{row}, false)
				m.listed, m.leaving = true, row.Leaving
			case 3:
				state := rapid.SampledFrom([]State{StateServing, StateEngineDown, StateDraining}).Draw(t, "state")
				if table.ApplyReport("e", 1, state, now) {
					m.heard, m.unreachable, m.down = now, false, state != StateServing
				}
			case 4:
				table.RecordFailure("e", now)
				m.unreachable, m.down = true, false
			case 5:
				table.RecordResponse("e", now)
				if _, known := table.Get("e"); known {
					m.heard, m.unreachable = now, false
				}
			case 6:
				table.Expire(now)
			}
			check(t, table, m, now)
		}
	})
}

func check(t *rapid.T, table *Table, m model, now time.Time) {
	_, known := table.Get("e")
	responds := !m.heard.IsZero() && !m.unreachable && now.Sub(m.heard) < policy.SilenceTimeout
	usable := table.Usable("e", now)
	if (m.listed || responds) && !known {
		t.Fatalf("endpoint forgotten: %+v", m)
	}
	if known && usable != expected(m, responds) && !m.unreachable {
		t.Fatalf("usable %v: %+v", usable, m)
	}
	if m.unreachable && known && usable && table.endpoints["e"].probeAt.After(now) {
		t.Fatalf("unreachable endpoint is usable before its next try: %+v", m)
	}
}

func expected(m model, responds bool) bool {
	return !m.leaving && !m.down && (m.listed || responds)
}

// Guards against evidence of an old incarnation deciding over a new one.
func TestIncarnations(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New(policy)
	table.ApplyHostList([]Host{{Name: "e", Address: "old", Incarnation: 2}}, true)
	table.RecordFailure("e", now)
	if table.Usable("e", now) {
		t.Error("usable directly after a failed dial")
	}
	table.ApplyHostList([]Host{{Name: "e", Address: "new", Incarnation: 3}}, false)
	if !table.Usable("e", now) {
		t.Error("the replaced host inherited the failed dial")
	}
	table.ApplyHostList([]Host{{Name: "e", Address: "old", Incarnation: 2}}, false)
	if e, _ := table.Get("e"); e.Address != "new" {
		t.Errorf("address %q from an old row", e.Address)
	}
	table.ApplyReport("e", 7, StateServing, now)
	if table.ApplyReport("e", 6, StateEngineDown, now) || !table.Usable("e", now) {
		t.Error("a report of an older process was accepted")
	}
}

// Guards against traffic that finds out what a control stream already tries.
func TestProbedEndpointWaitsForResponse(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New(policy)
	table.ApplyHostList([]Host{{Name: "e"}}, true)
	table.SetProbed("e", true)
	table.RecordFailure("e", now)
	later := now.Add(time.Minute)
	if table.Usable("e", later) || !table.ProbeDue("e", later) {
		t.Error("want a probe and no traffic")
	}
	table.ApplyReport("e", 1, StateServing, later)
	if !table.Usable("e", later) {
		t.Error("not usable after a response")
	}
}
