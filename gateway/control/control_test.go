package control

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"siskinstand.example/adapters/hostlist"
	"siskinstand.example/coord/config"
	"siskinstand.example/coord/membership"
	"siskinstand.example/coord/routing"
	"siskinstand.example/gateway/sidecar"
	pb "siskinstand.example/peerpb"
)

// BenchmarkPublish measures one rebuild of the view at the design size.
func BenchmarkPublish(b *testing.B) {
	var pools strings.Builder
	var hosts []hostlist.Host
	for p := range 20 {
		fmt.Fprintf(&pools, "[pool p%d]\nkind = plain\nservice = s%d\n", p, p)
		for e := range 600 {
			hosts = append(hosts, hostlist.Host{Name: fmt.Sprintf("e-%d-%d", p, e), Service: fmt.Sprintf("s%d", p), Address: "a", Zone: "z", Role: hostlist.RoleEndpoint})
		}
	}
	tables, err := config.Parse(config.File{Name: "r"}, config.File{Name: "p", Text: []byte(pools.String())})
	if err != nil {
		b.Fatal(err)
	}
	l := New(Config{Policy: membership.Policy{SilenceTimeout: time.Minute}})
	l.snapshot, l.configured = config.Snapshot{Revision: 1, Tables: tables}, true
	l.applyHosts(hostlist.Update{Full: true, Hosts: hosts})
	now := time.Unix(1000, 0)
	for e := range l.table.All {
		l.handleOf(e)
	}
	for b.Loop() {
		l.publish(now)
	}
}

// Guards against a crash-causing request that reaches a third endpoint: the
// endpoint that it has crashed leaves the view, and a stand-in was chosen.
func TestSuspectKeepsItsTwoCandidates(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	for key := range uint64(50) {
		keys := routing.Keys{Prefix: key, Fingerprint: key + 1}
		first := poolViewWithout(names, "").Pick(keys, nil, true)
		lost := names[first.Prefix]
		c := poolViewWithout(names, lost).Pick(keys, nil, true)
		if c.Prefix != routing.None || c.Fingerprint != first.Fingerprint {
			t.Fatalf("key %d: candidates %+v became %+v without %s", key, first, c, lost)
		}
		c = poolViewWithout(names, lost).Pick(keys, []string{names[first.Fingerprint]}, true)
		if c.Prefix != routing.None || c.Fingerprint != routing.None {
			t.Fatalf("key %d: a third candidate %+v", key, c)
		}
	}
}

func poolViewWithout(names []string, lost string) *PoolView {
	var members []poolMember
	for _, name := range names {
		members = append(members, poolMember{endpoint: &sidecar.Endpoint{Name: name}, placed: true, usable: name != lost})
	}
	return newPoolView(config.Pool{}, members)
}

// Guards against an order to load one of several models, or none although the
// pools agree, and against a slice that keeps its revision when the model changes.
func TestSliceNamesTheModel(t *testing.T) {
	for name, tc := range map[string]struct{ pools, want string }{
		"one pool":      {"[pool a]\nkind = model\nservice = s\nmodel = m\n", "m"},
		"same model":    {"[pool a]\nkind = model\nservice = s\nmodel = m\n[pool b]\nkind = model\nservice = s\nmodel = m\n", "m"},
		"plain besides": {"[pool a]\nkind = plain\nservice = s\n[pool b]\nkind = model\nservice = s\nmodel = m\n", "m"},
		"two models":    {"[pool a]\nkind = model\nservice = s\nmodel = m\n[pool b]\nkind = model\nservice = s\nmodel = n\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			l := New(Config{})
			l.applyHosts(hostlist.Update{Full: true, Hosts: []hostlist.Host{{Name: "e", Service: "s", Address: "a", Zone: "z", Role: hostlist.RoleEndpoint}}})
			slice := func(revision uint64, pools string) *pb.Slice {
				tables, err := config.Parse(config.File{Name: "r"}, config.File{Name: "p", Text: []byte(pools)})
				if err != nil {
					t.Fatal(err)
				}
				l.snapshot = config.Snapshot{Revision: revision, Tables: tables}
				return l.sliceOf("e", tables.Pools())
			}
			if got := slice(1, tc.pools).GetModel(); got != tc.want {
				t.Errorf("model %q, want %q", got, tc.want)
			}
			if got := slice(2, strings.ReplaceAll(tc.pools, "model = m\n", "model = k\n")); got.GetChangedRevision() != 2 && tc.want != "" {
				t.Errorf("the model changed at revision 2, the slice says %d", got.GetChangedRevision())
			}
		})
	}
}
