package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"siskinstand.example/adapters/hostlist"
	"siskinstand.example/loadgen/cluster"
)

// exclusive keeps a process from being killed while it is paused or restarted.
type exclusive struct {
	mu   sync.Mutex
	held map[string]bool
}

func (x *exclusive) try(name string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.held == nil {
		x.held = map[string]bool{}
	}
	if x.held[name] {
		return false
	}
	x.held[name] = true
	return true
}

func (x *exclusive) release(name string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.held, name)
}

// kill ends a process with SIGKILL and starts it again after a time.
func (s *stage) kill(ctx context.Context, name string, down time.Duration) error {
	if !s.processes.try(name) {
		return nil
	}
	defer s.processes.release(name)
	if err := s.Processes.Kill(name); err != nil {
		return err
	}
	_ = rest(ctx, down)
	return s.Processes.Restart(name)
}

func killGateway(ctx context.Context, s *stage, random *rand.Rand) error {
	g := s.anyGateway(random)
	defer s.log.begin(gatewayURL(g))()
	return s.kill(ctx, g.Name, between(random, 100*time.Millisecond, time.Second))
}

func pauseGateway(ctx context.Context, s *stage, random *rand.Rand) error {
	g := s.anyGateway(random)
	if !s.processes.try(g.Name) {
		return nil
	}
	defer s.processes.release(g.Name)
	defer s.log.begin(gatewayURL(g))()
	return s.Processes.Pause(ctx, g.Name, between(random, 500*time.Millisecond, 4*time.Second))
}

func killSidecar(plain bool) func(context.Context, *stage, *rand.Rand) error {
	return func(ctx context.Context, s *stage, random *rand.Rand) error {
		return s.kill(ctx, s.anyEndpoint(random, plain).Name, between(random, 50*time.Millisecond, time.Second))
	}
}

// pauseSidecar stops a sidecar for longer than the 2 s in which Start is valid.
func pauseSidecar(plain bool) func(context.Context, *stage, *rand.Rand) error {
	return func(ctx context.Context, s *stage, random *rand.Rand) error {
		return s.pause(ctx, s.anyEndpoint(random, plain).Name, between(random, 500*time.Millisecond, 4*time.Second))
	}
}

func (s *stage) pause(ctx context.Context, name string, d time.Duration) error {
	if !s.processes.try(name) {
		return nil
	}
	defer s.processes.release(name)
	return s.Processes.Pause(ctx, name, d)
}

// pauseBackend stops the process of an engine or plain service.
func pauseBackend(plain bool) func(context.Context, *stage, *rand.Rand) error {
	return func(ctx context.Context, s *stage, random *rand.Rand) error {
		return s.pause(ctx, backendName(s.anyEndpoint(random, plain)), between(random, 300*time.Millisecond, 2*time.Second))
	}
}

// killEngine ends an engine's process, which loses its counters.
func killEngine(ctx context.Context, s *stage, random *rand.Rand) error {
	return s.kill(ctx, backendName(s.anyEndpoint(random, false)), between(random, 100*time.Millisecond, 2*time.Second))
}

// window sets switches of a stand-in for a time.
func window(ctx context.Context, address, on, off string, d time.Duration) error {
	if err := cluster.Switch(ctx, address, "/control", on); err != nil {
		return err
	}
	_ = rest(ctx, d)
	return cluster.Switch(context.WithoutCancel(ctx), address, "/control", off)
}

func storeOutage(ctx context.Context, s *stage, random *rand.Rand) error {
	on, off := `{"outage":true}`, `{"outage":false}`
	if random.IntN(2) == 0 {
		on, off = `{"unavailable":true}`, `{"unavailable":false}`
	}
	return window(ctx, s.Layout.Store, on, off, between(random, 300*time.Millisecond, 3*time.Second))
}

func storeSlow(ctx context.Context, s *stage, random *rand.Rand) error {
	delay := between(random, 20*time.Millisecond, 400*time.Millisecond)
	return window(ctx, s.Layout.Store, fmt.Sprintf(`{"delay":%q}`, delay), `{"delay":"0s"}`, between(random, 500*time.Millisecond, 3*time.Second))
}

// loseWrites lets the next writes of a prefix take effect without an answer.
func loseWrites(prefix string) func(context.Context, *stage, *rand.Rand) error {
	return func(ctx context.Context, s *stage, random *rand.Rand) error {
		return cluster.Switch(ctx, s.Layout.Store, "/control", fmt.Sprintf(`{"lose_answers":%d,"lose_prefix":%q}`, 1+random.IntN(20), prefix))
	}
}

// breakCalls breaks the connections of calls before or after they run.
func breakCalls(ctx context.Context, s *stage, random *rand.Rand) error {
	e := s.anyEndpoint(random, true)
	name := []string{"break_before", "break_after"}[random.IntN(2)]
	return cluster.Switch(ctx, e.Backend, "/control", fmt.Sprintf(`{%q:%d}`, name, 1+random.IntN(30)))
}

func freezeCalls(ctx context.Context, s *stage, random *rand.Rand) error {
	return window(ctx, s.anyEndpoint(random, true).Backend, `{"frozen":true}`, `{"frozen":false}`, between(random, 200*time.Millisecond, 2*time.Second))
}

func crashEngine(ctx context.Context, s *stage, random *rand.Rand) error {
	return ignoreDown(cluster.Switch(ctx, s.anyEndpoint(random, false).Backend, "/control/crash", `{}`))
}

func freezeEngine(ctx context.Context, s *stage, random *rand.Rand) error {
	return ignoreDown(window(ctx, s.anyEndpoint(random, false).Backend, `{"frozen":true}`, `{"frozen":false}`, between(random, 300*time.Millisecond, 2*time.Second)))
}

func lagLoad(ctx context.Context, s *stage, random *rand.Rand) error {
	return ignoreDown(window(ctx, s.anyEndpoint(random, false).Backend, `{"load_lag":"3s"}`, `{"load_lag":"0s"}`, between(random, time.Second, 4*time.Second)))
}

func coldTurn(ctx context.Context, s *stage, random *rand.Rand) error {
	return ignoreDown(cluster.Switch(ctx, s.anyEndpoint(random, false).Backend, "/control", `{"cold":true}`))
}

// ignoreDown accepts that another fault has the stand-in down: an engine that
// comes back has its switches from the start.
func ignoreDown(error) error { return nil }

// wrongHosts hides one host, gives another one a wrong state and lets the list
// lag behind.
func wrongHosts(ctx context.Context, s *stage, random *rand.Rand) error {
	hidden, wrong := s.anyEndpoint(random, false).Name, s.anyEndpoint(random, false).Name
	on := fmt.Sprintf(`{"hidden":[%q],"wrong":{%q:%q},"lag":"3s"}`, hidden, wrong, hostlist.StateLeaving)
	return window(ctx, s.Layout.Hosts, on, `{"hidden":null,"wrong":null,"lag":"0s"}`, between(random, time.Second, 4*time.Second))
}

func hostsOutage(ctx context.Context, s *stage, random *rand.Rand) error {
	return window(ctx, s.Layout.Hosts, `{"outage":true}`, `{"outage":false}`, between(random, time.Second, 4*time.Second))
}
