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
	// orderLife is long against a busy machine's delays and short for a test.
	orderLife = 1500 * time.Millisecond
)

// permits asks a budget whose rate never delays a load.
type permits struct {
	mu     sync.Mutex
	budget *budget.Budget
}

func newPermits() *permits {
	return &permits{budget: budget.New(time.Now().Add(-budget.DefaultBurst), 1<<40, budget.DefaultBurst)}
}

func (p *permits) of(incarnation uint64) asking { return asking{p, incarnation} }

// asking is one sidecar's access to the budget.
type asking struct {
	*permits
	incarnation uint64
}

func (a asking) RequestPermit(context.Context, string) (budget.Permit, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.budget.Request(time.Now(), budget.Requester{Endpoint: "e1", Incarnation: a.incarnation}, 1), nil
}

func (asking) GatewayConnected() bool { return true }

// pausing stops its process at one place: after the permit was granted or, as
// an engine, after the last check of the order. Paused is closed when it gets
// there, and it goes on when resume is closed.
type pausing struct {
	control.Engine
	asking
	once           sync.Once
	paused, resume chan struct{}
	result         chan error
}

func newPausing(e control.Engine, a asking) *pausing {
	return &pausing{Engine: e, asking: a, paused: make(chan struct{}), resume: make(chan struct{}), result: make(chan error, 10)}
}

func (p *pausing) stop() {
	p.once.Do(func() {
		close(p.paused)
		<-p.resume
	})
}

func (p *pausing) RequestPermit(ctx context.Context, model string) (budget.Permit, error) {
	permit, err := p.asking.RequestPermit(ctx, model)
	p.stop()
	return permit, err
}

func (p *pausing) Apply(_ context.Context, o platformengine.Order) error {
	p.stop()
	// The order leaves the paused process although its time limit has passed.
	err := p.Engine.Apply(context.Background(), o)
	p.result <- err
	return err
}

// startOrders runs the control loop and the orders of a sidecar.
func startOrders(t *testing.T, e control.Engine, asked modelload.PermitSource, mode fence.Mode, incarnation uint64, model string) *control.Loop {
	t.Helper()
	c := control.DefaultConfig()
	c.Endpoint, c.Engine, c.Invariants = "e1", e, invariant.NewRegistry(nil)
	loop := control.New(c)
	runner := modelload.New(modelload.Config{Loop: loop, Engine: e, Permits: asked, Incarnation: incarnation, FenceMode: mode, LeaseTTL: orderLife})
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = loop.Run(ctx) })
	running.Go(func() { _ = runner.Run(ctx) })
	t.Cleanup(func() {
		stop()
		running.Wait()
		if n := c.Invariants.Total(); n != 0 {
			t.Errorf("%d invariants were violated", n)
		}
	})
	loop.SetConfigSlice(control.ConfigSlice{Revision: 1, Endpoint: "e1", Model: model})
	return loop
}

func startEngine(t *testing.T, ignoreFence bool) (*engine.Engine, *platformengine.ModelClient) {
	t.Helper()
	c := engine.DefaultConfig()
	c.Switches.IgnoreFence = ignoreFence
	fake := engine.New(c)
	t.Cleanup(fake.Close)
	return fake, platformengine.NewModelClient(serve(t, fake.Handler()).Address(), platformengine.DefaultLimits())
}

func awaitModel(t *testing.T, loop *control.Loop, want string) {
	t.Helper()
	for begin := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		if s := loop.Snapshot(); s.Model == want && s.State == control.StateServing {
			return
		}
		if time.Since(begin) > 20*time.Second {
			t.Fatalf("the engine does not serve %s: %+v", want, loop.Snapshot())
		}
	}
}

// Guards against an order that a paused sidecar sent before its successor's
// and that reaches an engine, which checks numbers, after it.
func TestPausedOrderIsRefused(t *testing.T) {
	fake, adapter := startEngine(t, false)
	shared := newPermits()
	paused := newPausing(adapter, shared.of(1_000))
	startOrders(t, paused, shared.of(1_000), fence.ModeChecks, 1_000, "siskin-old")
	<-paused.paused
	successor := startOrders(t, adapter, shared.of(2_000), fence.ModeChecks, 2_000, newModel)
	awaitModel(t, successor, newModel)
	close(paused.resume)
	if err := <-paused.result; !errors.Is(err, platformengine.ErrStaleFence) {
		t.Errorf("the late order got %v, want a refusal as stale", err)
	}
	awaitModel(t, successor, newModel)
	if n := fake.Counters().StaleOrders; n != 0 {
		t.Errorf("%d stale orders took effect", n)
	}
}

// Guards against an order of a paused sidecar that takes effect after its
// successor's in an engine that ignores numbers, and against a successor that
// does not wait until the former sidecar has stopped.
func TestPausedHolderStops(t *testing.T) {
	fake, adapter := startEngine(t, true)
	shared := newPermits()
	paused := newPausing(adapter, shared.of(1_000))
	startOrders(t, adapter, paused, fence.ModeIgnores, 1_000, "siskin-old")
	<-paused.paused
	begin := time.Now()
	successor := startOrders(t, adapter, shared.of(2_000), fence.ModeIgnores, 2_000, newModel)
	awaitModel(t, successor, newModel)
	if waited := time.Since(begin); waited < orderLife {
		t.Errorf("the successor's order took effect after %s, want %s", waited, orderLife)
	}
	close(paused.resume)
	// Enough for another request of the former sidecar and its order.
	time.Sleep(orderLife)
	if state, err := adapter.State(t.Context()); err != nil || state.Model != newModel {
		t.Errorf("the engine serves %s, %v", state.Model, err)
	}
	if n := fake.Counters().StaleOrders; n != 0 {
		t.Errorf("%d stale orders took effect", n)
	}
}
