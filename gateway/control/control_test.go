package control

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"siskinstand.example/coord/config"
	"siskinstand.example/coord/membership"
	"siskinstand.example/platform/hostlist"
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
	l := New(Config{Policy: membership.Policy{Silence: time.Minute}})
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
