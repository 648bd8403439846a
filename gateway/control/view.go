// Package control holds the gateway's control goroutine. It owns membership
// and publishes immutable views to the goroutines that carry traffic.
package control

import (
	"cmp"
	"slices"

	"siskinstand.example/adapters/hostlist"
	"siskinstand.example/coord/config"
	"siskinstand.example/coord/routing"
	"siskinstand.example/gateway/sidecar"
)

// View is an immutable picture of configuration and endpoints.
type View struct {
	Config config.Snapshot
	// Configured is false until a first configuration is known.
	Configured bool
	// HostsLoaded is false until the host list was read once.
	HostsLoaded bool
	Pools       map[string]*PoolView
	// Gateways are those that the host list names, this one included.
	Gateways []hostlist.Host
}

// PoolView is one pool. Indices of Routing and Endpoints agree.
type PoolView struct {
	Pool      config.Pool
	Routing   *routing.View
	Endpoints []*sidecar.Endpoint
	// placed holds all endpoints that operators leave in service, whether they
	// can be reached or not.
	placed *routing.View
}

// Pick returns the candidates of a request. A suspect keeps the two that it
// has while every endpoint works: a stand-in for one that it has just crashed
// would be a third endpoint to lose.
func (p *PoolView) Pick(k routing.Keys, skip []string, suspect bool) routing.Candidates {
	if !suspect {
		return p.Routing.Pick(k, skip)
	}
	c := p.placed.Pick(k, nil)
	return routing.Candidates{Prefix: p.unlessLost(c.Prefix, skip), Fingerprint: p.unlessLost(c.Fingerprint, skip)}
}

func (p *PoolView) unlessLost(i int, skip []string) int {
	if i == routing.None || !p.Routing.Usable(i) || slices.Contains(skip, p.Routing.Name(i)) {
		return routing.None
	}
	return i
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
	list, placed := make([]routing.Member, len(members)), make([]routing.Member, len(members))
	for i, m := range members {
		list[i] = routing.Member{Name: m.endpoint.Name, Usable: m.usable}
		placed[i] = routing.Member{Name: m.endpoint.Name, Usable: m.placed}
		v.Endpoints = append(v.Endpoints, m.endpoint)
	}
	v.Routing, v.placed = routing.NewView(list), routing.NewView(placed)
	return v
}

type poolMember struct {
	endpoint *sidecar.Endpoint
	// placed is false if the endpoint's zone is out or its host is leaving.
	placed bool
	usable bool
}
