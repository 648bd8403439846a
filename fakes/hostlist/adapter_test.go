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

func start(t *testing.T, list *fake.List) *hostlist.Client {
	t.Helper()
	s := httptest.NewServer(list.Handler())
	t.Cleanup(s.Close)
	limits := hostlist.DefaultLimits()
	limits.CallTimeout = time.Second
	return hostlist.NewClient(strings.TrimPrefix(s.URL, "http://"), limits)
}

// expect reads the list and returns its index.
func expect(t *testing.T, adapter *hostlist.Client, index uint64, full bool, removed []string, hosts ...hostlist.Host) uint64 {
	t.Helper()
	got, err := adapter.ChangesSince(context.Background(), index)
	if err != nil {
		t.Fatal(err)
	}
	want := hostlist.Update{Index: got.Index, Full: full, Hosts: append([]hostlist.Host{}, hosts...), Removed: append([]string{}, removed...)}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("update (-want +got):\n%s", diff)
	}
	return got.Index
}

// Guards against a change that is lost between two reads of the list.
func TestSinceReturnsEachChangeOnce(t *testing.T) {
	list := fake.New([]hostlist.Host{host("h1", hostlist.StateLive), host("h2", hostlist.StateLive)}, fake.Switches{})
	adapter := start(t, list)
	index := expect(t, adapter, 0, true, nil, host("h1", hostlist.StateLive), host("h2", hostlist.StateLive))
	expect(t, adapter, index, false, nil)
	list.Put(host("h1", hostlist.StateLeaving))
	list.Remove("h2")
	index = expect(t, adapter, index, false, []string{"h2"}, host("h1", hostlist.StateLeaving))
	expect(t, adapter, index, false, nil)
	expect(t, adapter, index+100, true, nil, host("h1", hostlist.StateLeaving))
}

// Guards against a fake whose list is right when it must lag or be wrong.
func TestListLagsAndIsWrong(t *testing.T) {
	list := fake.New([]hostlist.Host{host("h1", hostlist.StateLive), host("h2", hostlist.StateLive)}, fake.Switches{Lag: server.Duration(time.Hour)})
	adapter := start(t, list)
	list.Put(host("h1", hostlist.StateLeaving))
	index := expect(t, adapter, 0, true, nil, host("h1", hostlist.StateLive), host("h2", hostlist.StateLive))
	_ = list.SetSwitches(fake.Switches{HiddenHosts: []string{"h1"}, WrongStates: map[string]hostlist.State{"h2": hostlist.StateLeaving}})
	expect(t, adapter, index, true, nil, host("h2", hostlist.StateLeaving))
}

// Guards against an outage or a slow answer that looks like an empty list.
func TestOutageIsAnError(t *testing.T) {
	for name, s := range map[string]fake.Switches{"outage": {Outage: true}, "slow": {Delay: server.Duration(1500 * time.Millisecond)}} {
		adapter := start(t, fake.New(nil, s))
		if update, err := adapter.ChangesSince(context.Background(), 0); err == nil {
			t.Errorf("%s: got %+v without an error", name, update)
		}
	}
}
