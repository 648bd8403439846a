package cases

import (
	"fmt"
	"time"
)

const (
	// deskHost is the host of the routes.
	deskHost = "desk.example"
	// contactTime is contact_ms of the site.
	contactTime = 3 * time.Second
)

// Site is a small deployment: a store, replicas and entry hosts, one in each zone.
type Site struct {
	Record   *Record
	Dir      string
	Store    *Store
	Paths    []*Path
	Edges    []*Edge
	Replicas []*Replica
}

// NewSite returns a site with a store and a config.
func NewSite(config map[string]any) *Site {
	s := &Site{Record: NewRecord(), Dir: TempDir(), Store: NewStore()}
	s.Store.Put("op/config", config)
	return s
}

// AddReplicas starts replicas of a service, in the zones in turn.
func (s *Site) AddReplicas(service string, count, slots int, handle func(x *Exchange) bool) {
	for range count {
		n := len(s.Replicas)
		r := NewReplica(ReplicaConfig{ID: fmt.Sprintf("i-%d", n+1), Service: service, Zone: fmt.Sprintf("z%d", n%3+1), Slots: slots, Store: s.Store, Handle: handle})
		if err := r.Start(); err != nil {
			s.End(2, "can't run: %v", err)
		}
		s.Replicas = append(s.Replicas, r)
	}
}

// StartEdges starts entry hosts in up to three zones in turn and waits until they are ready
// and have been in touch for a while.
func (s *Site) StartEdges(count int) { s.StartEdgesIn(count, 3) }

// StartEdgesIn does what StartEdges does, with the given number of zones.
func (s *Site) StartEdgesIn(count, zones int) {
	for n := range count {
		p, err := s.Store.NewPath()
		if err != nil {
			s.End(2, "can't run: %v", err)
		}
		zone := fmt.Sprintf("z%d", n%zones+1)
		e := NewEdge(EdgeConfig{Name: fmt.Sprintf("edge-%s-%d", zone, n/zones+1), Zone: zone, Zones: "z1=r1 z2=r1 z3=r1", StoreAddress: p.Address, Dir: s.Dir})
		s.Edges, s.Paths = append(s.Edges, e), append(s.Paths, p)
		if err := e.Start(); err != nil {
			s.End(2, "can't run: %v", err)
		}
	}
	s.AwaitReady()
	time.Sleep(2 * time.Second)
}

// AwaitReady waits until all hosts are ready.
func (s *Site) AwaitReady() {
	for _, e := range s.Edges {
		if err := e.AwaitReady(10 * time.Second); err != nil {
			s.End(2, "can't run: %v", err)
		}
	}
}

// End ends all processes and the case.
func (s *Site) End(code int, format string, args ...any) {
	for _, e := range s.Edges {
		e.Kill()
	}
	s.Record.Finish(s.Dir, code, format, args...)
}

// PlainConfig returns a config with one idempotent route to a plain service, both named
// desk. The accounts' keys are key-of-the-vet and key-of-the-shelter.
func PlainConfig(version int, public bool) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-status", "hostname": "desk.example", "prefix": "/status/", "route_type": "idempotent", "timeout_ms": 1500, "target_latency_ms": 150,
			"priority": 1, "backend": "desk", "max_attempts": 2, "public": public, "sticky": false, "resumable": false, "target_gap_ms": 200,
		}},
		"services": []any{map[string]any{"name": "desk", "health_path": "/healthz", "max_conns": 110, "cold_s": 0.0, "cold_per_s": 0.0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{
			map[string]any{"name": "vet", "api_keys": []string{"key-of-the-vet"}},
			map[string]any{"name": "shelter", "api_keys": []string{"key-of-the-shelter"}},
		},
	}
}
