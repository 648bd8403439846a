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

// BenchmarkPublish measures one rebuild of the view with 20 pools of 600
// endpoints, the size that the system is designed for.
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
		l.ensureHandle(e)
	}
	for b.Loop() {
		l.publishView(now)
	}
}

// Guards against sending a request that crashes endpoints to a third endpoint.
// This happened when a crashed candidate left the view and was replaced by another
// endpoint.
func TestSuspectKeepsItsTwoCandidates(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	for key := range uint64(50) {
		keys := routing.Keys{Prefix: key, Fingerprint: key + 1}
		first := poolViewWithout(names, "").Pick(keys, nil, true)
		lost := names[first.Prefix]
		c := poolViewWithout(names, lost).Pick(keys, nil, true)
		if c.Prefix != routing.None || c.Fingerprint != first.Fingerprint {
			t.Fatalf("key %d: candidates %+v became %+v without %s, want only the fingerprint candidate", key, first, c, lost)
		}
		c = poolViewWithout(names, lost).Pick(keys, []string{names[first.Fingerprint]}, true)
		if c.Prefix != routing.None || c.Fingerprint != routing.None {
			t.Fatalf("key %d: a third candidate %+v, want none", key, c)
		}
	}
}

func poolViewWithout(names []string, unusable string) *PoolView {
	var members []poolMember
	for _, name := range names {
		members = append(members, poolMember{endpoint: &sidecar.Endpoint{Name: name}, inService: true, usable: name != unusable})
	}
	return newPoolView(config.Pool{}, members)
}

// Guards against a slice that names one of several conflicting models, or none
// although the pools agree, and against a slice whose changed revision stays the
// same when the model changes.
func TestSliceModel(t *testing.T) {
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
				return l.computeSlice("e", tables.Pools())
			}
			if got := slice(1, tc.pools).GetModel(); got != tc.want {
				t.Errorf("model %q, want %q", got, tc.want)
			}
			if got := slice(2, strings.ReplaceAll(tc.pools, "model = m\n", "model = k\n")); got.GetChangedRevision() != 2 && tc.want != "" {
				t.Errorf("changed revision %d, want 2, at which the model changed", got.GetChangedRevision())
			}
		})
	}
}
