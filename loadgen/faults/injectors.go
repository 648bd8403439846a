package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"siskinstand.example/adapters/hostlist"
	"siskinstand.example/coord/config"
	"siskinstand.example/loadgen/cluster"
)

// processLocks prevents two faults from killing or pausing the same process at
// the same time.
type processLocks struct {
	mu   sync.Mutex
	held map[string]bool
}

func (x *processLocks) tryLock(name string) bool {
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

func (x *processLocks) unlock(name string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.held, name)
}

// killAndRestart kills a process with SIGKILL and restarts it after downtime. It
// does nothing if another fault has locked the process.
func (s *scenarioRun) killAndRestart(ctx context.Context, name string, downtime time.Duration) error {
	if !s.locks.tryLock(name) {
		return nil
	}
	defer s.locks.unlock(name)
	if err := s.Processes.Kill(name); err != nil {
		return err
	}
	_ = sleep(ctx, downtime)
	return s.Processes.Restart(name)
}

func killGateway(ctx context.Context, s *scenarioRun, random *rand.Rand) error {
	g := s.randomGateway(random)
	defer s.disruptions.begin(gatewayURL(g))()
	return s.killAndRestart(ctx, g.Name, randomDuration(random, 100*time.Millisecond, time.Second))
}

func pauseGateway(ctx context.Context, s *scenarioRun, random *rand.Rand) error {
	g := s.randomGateway(random)
	if !s.locks.tryLock(g.Name) {
		return nil
	}
	defer s.locks.unlock(g.Name)
	defer s.disruptions.begin(gatewayURL(g))()
	return s.Processes.Pause(ctx, g.Name, randomDuration(random, 500*time.Millisecond, 4*time.Second))
}

func killSidecar(kind config.PoolKind) func(context.Context, *scenarioRun, *rand.Rand) error {
	return func(ctx context.Context, s *scenarioRun, random *rand.Rand) error {
		return s.killAndRestart(ctx, s.randomEndpoint(random, kind).Name, randomDuration(random, 50*time.Millisecond, time.Second))
	}
}

// pauseSidecar pauses a sidecar for up to 4 s, which can exceed the 2 s within
// which Start must follow Admitted.
func pauseSidecar(kind config.PoolKind) func(context.Context, *scenarioRun, *rand.Rand) error {
	return func(ctx context.Context, s *scenarioRun, random *rand.Rand) error {
		return s.pause(ctx, s.randomEndpoint(random, kind).Name, randomDuration(random, 500*time.Millisecond, 4*time.Second))
	}
}

func (s *scenarioRun) pause(ctx context.Context, name string, d time.Duration) error {
	if !s.locks.tryLock(name) {
		return nil
	}
	defer s.locks.unlock(name)
	return s.Processes.Pause(ctx, name, d)
}

// pauseBackend pauses the process of an engine or plain service.
func pauseBackend(kind config.PoolKind) func(context.Context, *scenarioRun, *rand.Rand) error {
	return func(ctx context.Context, s *scenarioRun, random *rand.Rand) error {
		return s.pause(ctx, backendName(s.randomEndpoint(random, kind)), randomDuration(random, 300*time.Millisecond, 2*time.Second))
	}
}

// killEngine kills and restarts the process of an engine, which resets its
// counters.
func killEngine(ctx context.Context, s *scenarioRun, random *rand.Rand) error {
	return s.killAndRestart(ctx, backendName(s.randomEndpoint(random, config.KindModel)), randomDuration(random, 100*time.Millisecond, 2*time.Second))
}

// setSwitchesFor changes the switches of a fake as given by on, and after d as
// given by off.
func setSwitchesFor(ctx context.Context, address, on, off string, d time.Duration) error {
	if err := cluster.PostControl(ctx, address, "/control", on); err != nil {
		return err
	}
	_ = sleep(ctx, d)
	return cluster.PostControl(context.WithoutCancel(ctx), address, "/control", off)
}

func storeOutage(ctx context.Context, s *scenarioRun, random *rand.Rand) error {
	on, off := `{"outage":true}`, `{"outage":false}`
	if random.IntN(2) == 0 {
		on, off = `{"unavailable":true}`, `{"unavailable":false}`
	}
	return setSwitchesFor(ctx, s.Layout.StoreAddress, on, off, randomDuration(random, 300*time.Millisecond, 3*time.Second))
}

func slowStore(ctx context.Context, s *scenarioRun, random *rand.Rand) error {
	delay := randomDuration(random, 20*time.Millisecond, 400*time.Millisecond)
	return setSwitchesFor(ctx, s.Layout.StoreAddress, fmt.Sprintf(`{"delay":%q}`, delay), `{"delay":"0s"}`, randomDuration(random, 500*time.Millisecond, 3*time.Second))
}

// loseWriteResponses makes the store apply the next writes below a key prefix
// without responding.
func loseWriteResponses(prefix string) func(context.Context, *scenarioRun, *rand.Rand) error {
	return func(ctx context.Context, s *scenarioRun, random *rand.Rand) error {
		return cluster.PostControl(ctx, s.Layout.StoreAddress, "/control", fmt.Sprintf(`{"lose_answers":%d,"lose_prefix":%q}`, 1+random.IntN(20), prefix))
	}
}

// breakConnections makes a plain service close the connections of the next calls,
// either before or after it runs them.
func breakConnections(ctx context.Context, s *scenarioRun, random *rand.Rand) error {
	e := s.randomEndpoint(random, config.KindPlain)
	name := []string{"break_before", "break_after"}[random.IntN(2)]
	return cluster.PostControl(ctx, e.BackendAddress, "/control", fmt.Sprintf(`{%q:%d}`, name, 1+random.IntN(30)))
}

func freezePlainService(ctx context.Context, s *scenarioRun, random *rand.Rand) error {
	return setSwitchesFor(ctx, s.randomEndpoint(random, config.KindPlain).BackendAddress, `{"frozen":true}`, `{"frozen":false}`, randomDuration(random, 200*time.Millisecond, 2*time.Second))
}

func crashEngine(ctx context.Context, s *scenarioRun, random *rand.Rand) error {
	return ignoreError(cluster.PostControl(ctx, s.randomEndpoint(random, config.KindModel).BackendAddress, "/control/crash", `{}`))
}

func freezeEngine(ctx context.Context, s *scenarioRun, random *rand.Rand) error {
	return ignoreError(setSwitchesFor(ctx, s.randomEndpoint(random, config.KindModel).BackendAddress, `{"frozen":true}`, `{"frozen":false}`, randomDuration(random, 300*time.Millisecond, 2*time.Second)))
}

func delayLoadReports(ctx context.Context, s *scenarioRun, random *rand.Rand) error {
	return ignoreError(setSwitchesFor(ctx, s.randomEndpoint(random, config.KindModel).BackendAddress, `{"load_lag":"3s"}`, `{"load_lag":"0s"}`, randomDuration(random, time.Second, 4*time.Second)))
}

func turnEngineCold(ctx context.Context, s *scenarioRun, random *rand.Rand) error {
	return ignoreError(cluster.PostControl(ctx, s.randomEndpoint(random, config.KindModel).BackendAddress, "/control", `{"cold":true}`))
}

// ignoreError discards an error, because another fault may have stopped the
// engine. A restarted engine has its initial switches again.
func ignoreError(error) error { return nil }

// corruptHostList makes the host list hide a random host, report a wrong state for a
// random host, possibly the same, and lag by 3 s.
func corruptHostList(ctx context.Context, s *scenarioRun, random *rand.Rand) error {
	hidden, mislabeled := s.randomEndpoint(random, config.KindModel).Name, s.randomEndpoint(random, config.KindModel).Name
	on := fmt.Sprintf(`{"hidden":[%q],"wrong":{%q:%q},"lag":"3s"}`, hidden, mislabeled, hostlist.StateLeaving)
	return setSwitchesFor(ctx, s.Layout.HostListAddress, on, `{"hidden":null,"wrong":null,"lag":"0s"}`, randomDuration(random, time.Second, 4*time.Second))
}

func hostListOutage(ctx context.Context, s *scenarioRun, random *rand.Rand) error {
	return setSwitchesFor(ctx, s.Layout.HostListAddress, `{"outage":true}`, `{"outage":false}`, randomDuration(random, time.Second, 4*time.Second))
}
