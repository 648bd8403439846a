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

// ChangesSince returns all hosts on the first call.
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

// viewTimeout limits the wait for a view.
const viewTimeout = 10 * time.Second

// viewMeasurements are the measurements for one number of endpoints.
type viewMeasurements struct {
	rebuildTime time.Duration
	heapBytes   float64
	// choiceTime is the time to choose an endpoint from one pool of all endpoints.
	choiceTime time.Duration
}

// measureView runs a gateway's control loop without control streams, which are
// measured with real processes on loopback.
func measureView(ctx context.Context, seed uint64, endpoints int) (viewMeasurements, error) {
	var m viewMeasurements
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	edit, err := initialEdit(accountTables(seed, 100))
	if err != nil {
		return m, err
	}
	document, err := config.NewDocument(1, 0, edit.Rows)
	if err != nil {
		return m, err
	}
	invariants := invariant.NewRegistry(nil)
	active := config.NewActive(invariants)
	active.ActivateIfNewer(document)
	hosts := endpointHosts(endpoints)
	before := liveHeap()
	loop := control.New(control.Config{
		GatewayID: "gateway", HostPollInterval: time.Second, Source: active, Hosts: hosts, Invariants: invariants,
		Policy:   membership.Policy{SilenceTimeout: 10 * time.Second, InitialProbeDelay: time.Second, MaxProbeDelay: time.Second},
		Suspects: suspects.New(time.Now),
	})
	go func() { _ = loop.Run(ctx) }()
	complete := func(v *control.View) bool { return v.Configured && v.HostsLoaded && countEndpoints(v) == endpoints }
	if err := awaitView(loop, complete); err != nil {
		return m, err
	}
	m.heapBytes = float64(liveHeap()) - float64(before)
	number := 0
	m.rebuildTime, err = medianTime(func() error {
		number++
		e := weightEdit(active.Document(), number, 100)
		if _, err := active.Apply([]config.Change{{Revision: e.Base + 1, Base: e.Base, ID: e.ID, Rows: e.Rows}}); err != nil {
			return err
		}
		return awaitView(loop, func(v *control.View) bool { return v.Config.Revision == e.Base+1 })
	})
	m.choiceTime = measureEndpointChoice(seed, hosts)
	return m, err
}

func countEndpoints(v *control.View) int {
	n := 0
	for _, p := range v.Pools {
		n += len(p.Endpoints)
	}
	return n
}

func awaitView(loop *control.Loop, done func(*control.View) bool) error {
	deadline := time.Now().Add(viewTimeout)
	for !done(loop.View()) {
		if time.Now().After(deadline) {
			return errors.New("control loop did not publish the expected view in time")
		}
		time.Sleep(50 * time.Microsecond)
	}
	return nil
}

// measureEndpointChoice returns the time to choose an endpoint from one pool of all
// endpoints.
func measureEndpointChoice(seed uint64, hosts fixedHosts) time.Duration {
	const choices = 2_000
	var members []routing.Member
	for _, h := range hosts {
		members = append(members, routing.Member{Name: h.Name, Usable: true})
	}
	view := routing.NewView(members)
	var times []float64
	for range repetitions {
		start := time.Now()
		for i := range uint64(choices) {
			view.Pick(routing.Keys{Prefix: routing.Mix(seed + i), Fingerprint: routing.Mix(seed ^ i<<20)}, nil)
		}
		times = append(times, float64(time.Since(start))/choices)
	}
	return time.Duration(quantile(times, 0.5))
}

func (r *runner) addViewRows(ctx context.Context) error {
	sizes := []int{1_000, 4_000, designEndpoints}
	measured := map[int]viewMeasurements{}
	for _, n := range sizes {
		m, err := measureView(ctx, r.Seed, n)
		if err != nil {
			return err
		}
		measured[n] = m
	}
	add := func(row Row, value func(viewMeasurements) float64) Row {
		row.Section, row.XUnit = "Views of endpoints in a gateway", "endpoints"
		for _, n := range sizes {
			row.Points = append(row.Points, Point{float64(n), value(measured[n])})
		}
		return r.add(row.Fit())
	}
	r.viewRebuild = add(Row{Name: "rebuild of the view after a change", Unit: "ms", DesignX: designEndpoints},
		func(m viewMeasurements) float64 { return milliseconds(m.rebuildTime) })
	r.viewHeap = add(Row{Name: "heap of membership and view", Unit: "MB", DesignX: designEndpoints, Limit: limitMemoryMB, Remedy: "a view of one region"},
		func(m viewMeasurements) float64 { return m.heapBytes / megabyte })
	choice := func(m viewMeasurements) float64 { return float64(m.choiceTime) / float64(time.Microsecond) }
	add(Row{Name: "choice over one pool of 1,000 endpoints", Unit: "µs", DesignX: 1_000, Limit: limitEndpointChoiceMicros, Remedy: "a cheaper score"}, choice)
	add(Row{Name: "choice over one pool of all endpoints", Unit: "µs", DesignX: designEndpoints}, choice)
	return nil
}
