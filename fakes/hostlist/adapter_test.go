package hostlist_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskinstand.example/adapters/hostlist"
	fake "siskinstand.example/fakes/hostlist"
	"siskinstand.example/fakes/server"
)

func host(name string, state hostlist.State) hostlist.Host {
	return hostlist.Host{Name: name, Zone: "z1", Role: hostlist.RoleEndpoint, Address: "127.0.0.1:1", Service: "s", State: state}
}

func startList(t *testing.T, list *fake.List) *hostlist.Client {
	t.Helper()
	s := httptest.NewServer(list.Handler())
	t.Cleanup(s.Close)
	limits := hostlist.DefaultLimits()
	limits.CallTimeout = time.Second
	return hostlist.NewClient(strings.TrimPrefix(s.URL, "http://"), limits)
}

// expectFullUpdate checks that the update since an index is a full one with the given
// hosts, and returns its index.
func expectFullUpdate(t *testing.T, adapter *hostlist.Client, index uint64, hosts ...hostlist.Host) uint64 {
	t.Helper()
	return expectUpdate(t, adapter, index, hostlist.Update{Full: true, Hosts: hosts})
}

// expectChanges checks that the update since an index consists of the given changes,
// and returns its index.
func expectChanges(t *testing.T, adapter *hostlist.Client, index uint64, removed []string, changed ...hostlist.Host) uint64 {
	t.Helper()
	return expectUpdate(t, adapter, index, hostlist.Update{Hosts: changed, Removed: removed})
}

// expectUpdate checks the update since an index, except for its own index, which it
// returns.
func expectUpdate(t *testing.T, adapter *hostlist.Client, index uint64, want hostlist.Update) uint64 {
	t.Helper()
	got, err := adapter.ChangesSince(context.Background(), index)
	if err != nil {
		t.Fatal(err)
	}
	// The adapter returns empty slices, not nil.
	want.Index, want.Hosts, want.Removed = got.Index, append([]hostlist.Host{}, want.Hosts...), append([]string{}, want.Removed...)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("update (-want +got):\n%s", diff)
	}
	return got.Index
}

// Guards against changes that are lost or repeated between two reads of the list.
func TestChangesSinceReturnsEachChangeOnce(t *testing.T) {
	list := fake.New([]hostlist.Host{host("h1", hostlist.StateLive), host("h2", hostlist.StateLive)}, fake.Switches{})
	adapter := startList(t, list)
	index := expectFullUpdate(t, adapter, 0, host("h1", hostlist.StateLive), host("h2", hostlist.StateLive))
	expectChanges(t, adapter, index, nil)
	list.Put(host("h1", hostlist.StateLeaving))
	list.Remove("h2")
	index = expectChanges(t, adapter, index, []string{"h2"}, host("h1", hostlist.StateLeaving))
	expectChanges(t, adapter, index, nil)
	expectFullUpdate(t, adapter, index+100, host("h1", hostlist.StateLeaving))
}

// Guards against a fake that ignores its switches and returns the actual state of
// the hosts.
func TestLagAndWrongStates(t *testing.T) {
	list := fake.New([]hostlist.Host{host("h1", hostlist.StateLive), host("h2", hostlist.StateLive)}, fake.Switches{Lag: server.Duration(time.Hour)})
	adapter := startList(t, list)
	list.Put(host("h1", hostlist.StateLeaving))
	index := expectFullUpdate(t, adapter, 0, host("h1", hostlist.StateLive), host("h2", hostlist.StateLive))
	_ = list.SetSwitches(fake.Switches{HiddenHosts: []string{"h1"}, WrongStates: map[string]hostlist.State{"h2": hostlist.StateLeaving}})
	expectFullUpdate(t, adapter, index, host("h2", hostlist.StateLeaving))
}

// Guards against an outage or a slow response that the adapter reports as an empty
// list.
func TestOutageIsAnError(t *testing.T) {
	for name, s := range map[string]fake.Switches{"outage": {Outage: true}, "slow": {Delay: server.Duration(1500 * time.Millisecond)}} {
		adapter := startList(t, fake.New(nil, s))
		if update, err := adapter.ChangesSince(context.Background(), 0); err == nil {
			t.Errorf("%s: got %+v, want an error", name, update)
		}
	}
}
