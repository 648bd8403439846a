package capacity

import (
	"context"
	"errors"
	"fmt"
	"time"

	"siskinstand.example/adapters/hostlist"
	"siskinstand.example/coord/config"
	"siskinstand.example/coord/invariant"
	"siskinstand.example/coord/membership"
	"siskinstand.example/coord/routing"
	"siskinstand.example/gateway/control"
	"siskinstand.example/gateway/suspects"
)

// fixedHosts is a host list that never changes.
type fixedHosts []hostlist.Host

// ChangesSince returns all hosts once.
func (h fixedHosts) ChangesSince(_ context.Context, index uint64) (hostlist.Update, error) {
	if index > 0 {
		return hostlist.Update{Index: index}, nil
	}
	return hostlist.Update{Index: 1, Full: true, Hosts: h}, nil
}

func endpointHosts(n int) fixedHosts {
	var hosts fixedHosts
	for i := range n {
		hosts = append(hosts, hostlist.Host{
			Name: fmt.Sprintf("endpoint-%05d", i), Zone: zoneName(i % designZones), Region: "region-1", Role: hostlist.RoleEndpoint,
			Service: serviceLabel(i / designZones % designModels), Address: fmt.Sprintf("127.0.0.1:%d", 10_000+i), Incarnation: 1, State: hostlist.StateLive,
		})
	}
	return hosts
}

// viewLimit bounds the wait for a view.
const viewLimit = 10 * time.Second

// viewFigures are the measurements of one number of endpoints.
type viewFigures struct {
	rebuild time.Duration
	heap    float64
	// choice is the time of one choice over all endpoints in one pool.
	choice time.Duration
}

// measureView runs a gateway's control loop without control streams; the
// processes on loopback measure those.
func measureView(ctx context.Context, seed uint64, endpoints int) (viewFigures, error) {
	var f viewFigures
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	edit, err := firstEdit(accountTables(seed, 100))
	if err != nil {
		return f, err
	}
	document, err := config.NewDocument(1, 0, edit.Rows)
	if err != nil {
		return f, err
	}
	invariants := invariant.NewRegistry(nil)
	inForce := config.NewActive(invariants)
	inForce.Advance(document)
	hosts := endpointHosts(endpoints)
	before := liveHeap()
	loop := control.New(control.Config{
		GatewayID: "gateway", HostInterval: time.Second, Source: inForce, Hosts: hosts, Invariants: invariants,
		Policy:   membership.Policy{SilenceTimeout: 10 * time.Second, InitialProbeDelay: time.Second, MaxProbeDelay: time.Second},
		Suspects: suspects.New(time.Now),
	})
	go func() { _ = loop.Run(ctx) }()
	complete := func(v *control.View) bool { return v.Configured && v.HostsLoaded && countEndpoints(v) == endpoints }
	if err := awaitView(loop, complete); err != nil {
		return f, err
	}
	f.heap = float64(liveHeap()) - float64(before)
	number := 0
	f.rebuild, err = medianTime(func() error {
		number++
		e := weightEdit(inForce.Document(), number, 100)
		if _, err := inForce.Apply([]config.Change{{Revision: e.Base + 1, Base: e.Base, ID: e.ID, Rows: e.Rows}}); err != nil {
			return err
		}
		return awaitView(loop, func(v *control.View) bool { return v.Config.Revision == e.Base+1 })
	})
	f.choice = measureChoice(seed, hosts)
	return f, err
}

func countEndpoints(v *control.View) int {
	n := 0
	for _, p := range v.Pools {
		n += len(p.Endpoints)
	}
	return n
}

func awaitView(loop *control.Loop, done func(*control.View) bool) error {
	deadline := time.Now().Add(viewLimit)
	for !done(loop.View()) {
		if time.Now().After(deadline) {
			return errors.New("the control loop did not publish the view in time")
		}
		time.Sleep(50 * time.Microsecond)
	}
	return nil
}

// measureChoice times the choice over one pool with all endpoints.
func measureChoice(seed uint64, hosts fixedHosts) time.Duration {
	const choices = 2_000
	var members []routing.Member
	for _, h := range hosts {
		members = append(members, routing.Member{Name: h.Name, Usable: true})
	}
	view := routing.NewView(members)
	var times []float64
	for range repetitions {
		began := time.Now()
		for i := range uint64(choices) {
			view.Pick(routing.Keys{Prefix: routing.Mix(seed + i), Fingerprint: routing.Mix(seed ^ i<<20)}, nil)
		}
		times = append(times, float64(time.Since(began))/choices)
	}
	return time.Duration(quantile(times, 0.5))
}

func (r *runner) views(ctx context.Context) error {
	sizes := []int{1_000, 4_000, designEndpoints}
	measured := map[int]viewFigures{}
	for _, n := range sizes {
		f, err := measureView(ctx, r.Seed, n)
		if err != nil {
			return err
		}
		measured[n] = f
	}
	add := func(row Row, value func(viewFigures) float64) Row {
		row.Section, row.Scale = "Views of endpoints in a gateway", "endpoints"
		for _, n := range sizes {
			row.Points = append(row.Points, Point{float64(n), value(measured[n])})
		}
		return r.add(row.Fit())
	}
	r.rebuild = add(Row{Name: "rebuild of the view after a change", Unit: "ms", Design: designEndpoints},
		func(f viewFigures) float64 { return milliseconds(f.rebuild) })
	r.viewHeap = add(Row{Name: "heap of membership and view", Unit: "MB", Design: designEndpoints, Limit: limitMemory, Remedy: "a view of one region"},
		func(f viewFigures) float64 { return f.heap / megabyte })
	choice := func(f viewFigures) float64 { return float64(f.choice) / float64(time.Microsecond) }
	add(Row{Name: "choice over one pool of 1,000 endpoints", Unit: "µs", Design: 1_000, Limit: limitChoice, Remedy: "a cheaper score"}, choice)
	add(Row{Name: "choice over one pool of all endpoints", Unit: "µs", Design: designEndpoints}, choice)
	return nil
}
