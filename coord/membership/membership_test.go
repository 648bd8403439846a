package membership

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "1") }

var policy = Policy{SilenceTimeout: 10 * time.Second, InitialProbeDelay: time.Second, MaxProbeDelay: 8 * time.Second}

// expectation is the expected state of an endpoint, tracked independently of the
// table.
type expectation struct {
	listed, leaving bool
	lastResponse    time.Time
	unreachable     bool
	notServing      bool
}

// Guards against a host list that removes an endpoint that still responds or makes
// one usable that does not, with host list updates, reports, responses and failures
// in any order.
func TestUsabilityFollowsEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := New(policy), time.Unix(1000, 0)
		var want expectation
		host := Host{Name: "e", Address: "a", Incarnation: 1}
		table.ReplaceHostList([]Host{host})
		want.listed = true
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				table.RemoveFromHostList([]string{"e"})
				want.listed = false
			case 1:
				table.ReplaceHostList(nil)
				want.listed = false
			case 2:
				host.Leaving = rapid.Bool().Draw(t, "leaving")
				if _, known := table.Get("e"); !known {
					want = expectation{}
				}
				table.UpdateHostList([]Host{host})
				want.listed, want.leaving = true, host.Leaving
			case 3:
				state := rapid.SampledFrom([]State{StateServing, StateEngineDown, StateDraining}).Draw(t, "state")
				if table.ApplyReport("e", 1, state, now) {
					want.lastResponse, want.unreachable, want.notServing = now, false, state != StateServing
				}
			case 4:
				table.RecordFailure("e", now)
				want.unreachable, want.notServing = true, false
			case 5:
				table.RecordResponse("e", now)
				if _, known := table.Get("e"); known {
					want.lastResponse, want.unreachable = now, false
				}
			case 6:
				table.Expire(now)
			}
			checkEndpoint(t, table, want, now)
		}
	})
}

func checkEndpoint(t *rapid.T, table *Table, want expectation, now time.Time) {
	_, known := table.Get("e")
	responds := !want.lastResponse.IsZero() && !want.unreachable && now.Sub(want.lastResponse) < policy.SilenceTimeout
	usable := table.Usable("e", now)
	if (want.listed || responds) && !known {
		t.Fatalf("endpoint was removed: %+v", want)
	}
	if known && usable != expectUsable(want, responds) && !want.unreachable {
		t.Fatalf("usable = %v, expected state %+v", usable, want)
	}
	if want.unreachable && known && usable && table.endpoints["e"].nextProbe.After(now) {
		t.Fatalf("unreachable endpoint is usable before its next probe: %+v", want)
	}
}

func expectUsable(want expectation, responds bool) bool {
	return !want.leaving && !want.notServing && (want.listed || responds)
}

// Guards against failures, host list entries and reports of an old incarnation or
// process that affect its successor.
func TestIncarnations(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New(policy)
	table.ReplaceHostList([]Host{{Name: "e", Address: "old", Incarnation: 2}})
	table.RecordFailure("e", now)
	if table.Usable("e", now) {
		t.Error("usable directly after a failed dial")
	}
	table.UpdateHostList([]Host{{Name: "e", Address: "new", Incarnation: 3}})
	if !table.Usable("e", now) {
		t.Error("the failed dial of the old host counts against its replacement")
	}
	table.UpdateHostList([]Host{{Name: "e", Address: "old", Incarnation: 2}})
	if e, _ := table.Get("e"); e.Address != "new" {
		t.Errorf("address %q was taken from an outdated host list entry", e.Address)
	}
	table.ApplyReport("e", 7, StateServing, now)
	if table.ApplyReport("e", 6, StateEngineDown, now) || !table.Usable("e", now) {
		t.Error("a report of an older process was accepted")
	}
}

// Guards against requests that are sent to an unreachable endpoint while a control
// stream already probes it.
func TestProbedEndpointWaitsForResponse(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New(policy)
	table.ReplaceHostList([]Host{{Name: "e"}})
	table.SetProbed("e", true)
	table.RecordFailure("e", now)
	later := now.Add(time.Minute)
	if table.Usable("e", later) || !table.ProbeDue("e", later) {
		t.Error("want the probe to be due and the endpoint to be unusable")
	}
	table.ApplyReport("e", 1, StateServing, later)
	if !table.Usable("e", later) {
		t.Error("not usable after a response")
	}
}
