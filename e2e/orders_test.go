package e2e

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	platformengine "siskinstand.example/adapters/engine"
	"siskinstand.example/coord/budget"
	"siskinstand.example/coord/fence"
	"siskinstand.example/coord/invariant"
	"siskinstand.example/fakes/engine"
	"siskinstand.example/sidecar/control"
	"siskinstand.example/sidecar/modelload"
)

const (
	newModel = "siskin-large"
	// orderLeaseTTL is longer than the scheduling delays of a busy machine, but
	// short enough for a test.
	orderLeaseTTL = 1500 * time.Millisecond
)

// permitBudget is a weight-load budget that several sidecars share. The budget of
// newPermitBudget has a rate that never delays a load.
type permitBudget struct {
	mu     sync.Mutex
	budget *budget.Budget
}

func newPermitBudget() *permitBudget {
	return &permitBudget{budget: budget.New(time.Now().Add(-budget.DefaultBurst), 1<<40, budget.DefaultBurst)}
}

func (p *permitBudget) forIncarnation(incarnation uint64) sidecarPermits {
	return sidecarPermits{p, incarnation}
}

// sidecarPermits requests permits from the budget for one incarnation of a
// sidecar.
type sidecarPermits struct {
	*permitBudget
	incarnation uint64
}

func (p sidecarPermits) RequestPermit(context.Context, string) (budget.Permit, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Request(time.Now(), budget.Requester{Endpoint: "e1", Incarnation: p.incarnation}, 1), nil
}

func (sidecarPermits) GatewayConnected() bool { return true }

// pausingSidecar simulates a sidecar process that is paused once: used as a permit
// source, after the permit was granted; used as an engine, after the last check
// before the order is sent. It closes paused when the pause begins and continues
// when resume is closed.
type pausingSidecar struct {
	control.Engine
	sidecarPermits
	once           sync.Once
	paused, resume chan struct{}
	result         chan error
}

func newPausingSidecar(e control.Engine, permits sidecarPermits) *pausingSidecar {
	return &pausingSidecar{Engine: e, sidecarPermits: permits, paused: make(chan struct{}), resume: make(chan struct{}), result: make(chan error, 10)}
}

// pauseOnce waits for resume in its first call, and in concurrent ones.
func (p *pausingSidecar) pauseOnce() {
	p.once.Do(func() {
		close(p.paused)
		<-p.resume
	})
}

func (p *pausingSidecar) RequestPermit(ctx context.Context, model string) (budget.Permit, error) {
	permit, err := p.sidecarPermits.RequestPermit(ctx, model)
	p.pauseOnce()
	return permit, err
}

func (p *pausingSidecar) Apply(_ context.Context, o platformengine.Order) error {
	p.pauseOnce()
	// The order is sent although the time limit of ctx has passed.
	err := p.Engine.Apply(context.Background(), o)
	p.result <- err
	return err
}

// startModelLoader runs the control loop and the model loader of a sidecar until
// the test ends.
func startModelLoader(t *testing.T, e control.Engine, permits modelload.PermitSource, mode fence.Mode, incarnation uint64, model string) *control.Loop {
	t.Helper()
	loopConfig := control.DefaultConfig()
	loopConfig.Endpoint, loopConfig.Engine, loopConfig.Invariants = "e1", e, invariant.NewRegistry(nil)
	loop := control.New(loopConfig)
	loader := modelload.New(modelload.Config{Loop: loop, Engine: e, Permits: permits, Incarnation: incarnation, FenceMode: mode, LeaseTTL: orderLeaseTTL})
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = loop.Run(ctx) })
	running.Go(func() { _ = loader.Run(ctx) })
	t.Cleanup(func() {
		stop()
		running.Wait()
		if n := loopConfig.Invariants.Total(); n != 0 {
			t.Errorf("%d invariants were violated", n)
		}
	})
	loop.SetConfigSlice(control.ConfigSlice{Revision: 1, Endpoint: "e1", Model: model})
	return loop
}

// startEngine starts a fake engine that checks or ignores fencing numbers.
func startEngine(t *testing.T, mode fence.Mode) (*engine.Engine, *platformengine.ModelClient) {
	t.Helper()
	c := engine.DefaultConfig()
	c.Switches.IgnoreFence = mode == fence.ModeIgnores
	fake := engine.New(c)
	t.Cleanup(fake.Close)
	return fake, platformengine.NewModelClient(startServer(t, fake.Handler()).Address(), platformengine.DefaultLimits())
}

// awaitModel waits until the endpoint is serving the wanted model.
func awaitModel(t *testing.T, loop *control.Loop, want string) {
	t.Helper()
	for start := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		if snapshot := loop.Snapshot(); snapshot.Model == want && snapshot.State == control.StateServing {
			return
		}
		if time.Since(start) > 20*time.Second {
			t.Fatalf("the engine does not serve %s: %+v", want, loop.Snapshot())
		}
	}
}

// Guards against an order of a paused sidecar that takes effect although it
// arrives after the order of its successor, in an engine that checks fencing
// numbers.
func TestPausedOrderIsRefused(t *testing.T) {
	fake, adapter := startEngine(t, fence.ModeChecks)
	permits := newPermitBudget()
	paused := newPausingSidecar(adapter, permits.forIncarnation(1_000))
	startModelLoader(t, paused, permits.forIncarnation(1_000), fence.ModeChecks, 1_000, "siskin-old")
	<-paused.paused
	successor := startModelLoader(t, adapter, permits.forIncarnation(2_000), fence.ModeChecks, 2_000, newModel)
	awaitModel(t, successor, newModel)
	close(paused.resume)
	if err := <-paused.result; !errors.Is(err, platformengine.ErrStaleFence) {
		t.Errorf("the late order returned %v, want ErrStaleFence", err)
	}
	awaitModel(t, successor, newModel)
	if n := fake.Counters().StaleOrders; n != 0 {
		t.Errorf("%d stale orders took effect", n)
	}
}

// Guards against an order of a paused sidecar that takes effect after the order of
// its successor in an engine that ignores fencing numbers. The successor must
// wait until the lease of the former sidecar has expired.
func TestPausedHolderStops(t *testing.T) {
	fake, adapter := startEngine(t, fence.ModeIgnores)
	permits := newPermitBudget()
	paused := newPausingSidecar(adapter, permits.forIncarnation(1_000))
	startModelLoader(t, adapter, paused, fence.ModeIgnores, 1_000, "siskin-old")
	<-paused.paused
	start := time.Now()
	successor := startModelLoader(t, adapter, permits.forIncarnation(2_000), fence.ModeIgnores, 2_000, newModel)
	awaitModel(t, successor, newModel)
	if waited := time.Since(start); waited < orderLeaseTTL {
		t.Errorf("the successor's order took effect after %s, want at least %s", waited, orderLeaseTTL)
	}
	close(paused.resume)
	// Long enough for the former sidecar to request another permit and send its
	// order.
	time.Sleep(orderLeaseTTL)
	if state, err := adapter.State(t.Context()); err != nil || state.Model != newModel {
		t.Errorf("the engine serves %s, %v; want siskin-large", state.Model, err)
	}
	if n := fake.Counters().StaleOrders; n != 0 {
		t.Errorf("%d stale orders took effect", n)
	}
}
