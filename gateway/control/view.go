// Package control implements the gateway's control loop. It maintains the
// membership of endpoints and publishes immutable views of it to the goroutines
// that serve requests.
package control

import (
	"cmp"
	"slices"

	"siskinstand.example/adapters/hostlist"
	"siskinstand.example/coord/config"
	"siskinstand.example/coord/routing"
	"siskinstand.example/gateway/sidecar"
)

// View is an immutable snapshot of the configuration and the endpoints.
type View struct {
	Config config.Snapshot
	// Configured is false until the first configuration is loaded.
	Configured bool
	// HostsLoaded is false until the host list has been read.
	HostsLoaded bool
	Pools       map[string]*PoolView
	// Gateways are the gateways in the host list, including this one.
	Gateways []hostlist.Host
}

// PoolView is the view of one pool. Routing and Endpoints use the same indices.
type PoolView struct {
	Pool      config.Pool
	Routing   *routing.View
	Endpoints []*sidecar.Endpoint
	// inService has the same indices. It marks all endpoints as usable that
	// operators have not taken out of service, including unreachable ones.
	inService *routing.View
}

// Pick returns the candidate endpoints for a request. A suspect only gets the two
// candidates that it has while all endpoints in service are usable: a replacement
// for an endpoint that it crashed would be a third endpoint that it could crash.
func (p *PoolView) Pick(k routing.Keys, skip []string, isSuspect bool) routing.Candidates {
	if !isSuspect {
		return p.Routing.Pick(k, skip)
	}
	c := p.inService.Pick(k, nil)
	return routing.Candidates{Prefix: p.ifUsable(c.Prefix, skip), Fingerprint: p.ifUsable(c.Fingerprint, skip)}
}

func (p *PoolView) ifUsable(i int, skip []string) int {
	if i == routing.None || !p.Routing.Usable(i) || slices.Contains(skip, p.Routing.Name(i)) {
		return routing.None
	}
	return i
}

// UsableCount returns the number of endpoints that accept new requests.
func (p *PoolView) UsableCount() int {
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
	usable, inService := make([]routing.Member, len(members)), make([]routing.Member, len(members))
	for i, m := range members {
		usable[i] = routing.Member{Name: m.endpoint.Name, Usable: m.usable}
		inService[i] = routing.Member{Name: m.endpoint.Name, Usable: m.inService}
		v.Endpoints = append(v.Endpoints, m.endpoint)
	}
	v.Routing, v.inService = routing.NewView(usable), routing.NewView(inService)
	return v
}

type poolMember struct {
	endpoint *sidecar.Endpoint
	// inService is false if the endpoint's zone is out of service or its host
	// is leaving according to the configuration.
	inService bool
	usable    bool
}
