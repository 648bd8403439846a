// Package control holds the gateway's control goroutine. It owns membership
// and publishes immutable views to the goroutines that carry traffic.
package control

import (
	"cmp"
	"slices"

	"siskinstand.example/coord/config"
	"siskinstand.example/coord/routing"
	"siskinstand.example/gateway/sidecar"
	"siskinstand.example/platform/hostlist"
)

// View is an immutable picture of configuration and endpoints.
type View struct {
	Config config.Snapshot
	// Configured is false until a first configuration is known.
	Configured bool
	// Listed is false until the host list was read once.
	Listed bool
	Pools  map[string]*PoolView
	// Gateways are those that the host list names, this one included.
	Gateways []hostlist.Host
}

// PoolView is one pool. Indices of Routing and Endpoints agree.
type PoolView struct {
	Pool      config.Pool
	Routing   *routing.View
	Endpoints []*sidecar.Endpoint
}

// Usable counts the endpoints that may get new work.
func (p *PoolView) Usable() int {
	n := 0
	for i := range p.Endpoints {
		if p.Routing.Usable(i) {
			n++
		}
	}
	return n
}

func newPoolView(pool config.Pool, members []poolMember) *PoolView {
	slices.SortFunc(members, func(a, b poolMember) int { return cmp.Compare(a.endpoint.Name, b.endpoint.Name) })
	v := &PoolView{Pool: pool}
	list := make([]routing.Member, len(members))
	for i, m := range members {
		list[i] = routing.Member{Name: m.endpoint.Name, Usable: m.usable}
		v.Endpoints = append(v.Endpoints, m.endpoint)
	}
	v.Routing = routing.NewView(list)
	return v
}

type poolMember struct {
	endpoint *sidecar.Endpoint
	usable   bool
}
