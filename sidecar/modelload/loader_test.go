package modelload

import (
	"context"
	"errors"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"siskinstand.example/adapters/engine"
	"siskinstand.example/coord/budget"
	"siskinstand.example/coord/fence"
	"siskinstand.example/coord/invariant"
	"siskinstand.example/sidecar/control"
)

// fakeEngine serves another model until the first order and records the time of
// the last order.
type fakeEngine struct {
	control.Engine
	mu        sync.Mutex
	model     string
	orderedAt time.Time
}

func (e *fakeEngine) State(context.Context) (engine.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.State{Incarnation: "1", Model: e.model, Ready: true, TotalTokens: 1000}, nil
}

func (e *fakeEngine) Load(context.Context) (engine.Load, error) { return engine.Load{}, nil }

func (e *fakeEngine) Apply(_ context.Context, o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model, e.orderedAt = o.Model, time.Now()
	return nil
}

// unavailableBudget fails every permit request.
type unavailableBudget struct{ connected bool }

func (unavailableBudget) RequestPermit(context.Context, string) (budget.Permit, error) {
	return budget.Permit{}, errors.New("budget unavailable")
}
func (u unavailableBudget) GatewayConnected() bool { return u.connected }

func seededRandom(seed int64) func(time.Duration) time.Duration {
	random := rand.New(rand.NewSource(seed)) //nolint:gosec // The test result must not change between runs.
	return func(d time.Duration) time.Duration { return time.Duration(random.Int63n(int64(d))) }
}

// timeToOrder runs a control loop with a loader and returns the time after which
// the engine got its last order, or 0 if it got none.
func timeToOrder(t *testing.T, mode fence.Mode, p PermitSource, seed int64) time.Duration {
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	e, begin := &fakeEngine{model: "old"}, time.Now()
	c := control.DefaultConfig()
	c.Engine, c.Invariants = e, invariant.NewRegistry(nil)
	loop := control.New(c)
	loader := New(Config{Loop: loop, Engine: e, Permits: p, Incarnation: 1, FenceMode: mode, RandomDuration: seededRandom(seed)})
	running.Go(func() { _ = loop.Run(ctx) })
	running.Go(func() { _ = loader.Run(ctx) })
	loop.SetConfigSlice(control.ConfigSlice{Revision: 1, Model: "new"})
	time.Sleep(defaultPermitTimeout + defaultMaxStartDelay + defaultLeaseTTL + time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.orderedAt.IsZero() {
		return 0
	}
	return e.orderedAt.Sub(begin)
}

// Guards against a load that never starts while the budget is unavailable, a
// load that starts before 60 s have passed, and many sidecars that start
// loading at the same moment.
func TestLoadWithoutPermit(t *testing.T) {
	var previous time.Duration
	delaysDiffer := false
	for seed := range int64(3) {
		synctest.Test(t, func(t *testing.T) {
			delay := timeToOrder(t, fence.ModeChecks, unavailableBudget{connected: true}, seed)
			if delay < defaultPermitTimeout || delay > defaultPermitTimeout+defaultMaxStartDelay+time.Second {
				t.Errorf("order sent after %s, want 1m0s to 6m1s", delay)
			}
			delaysDiffer = delaysDiffer || previous != 0 && delay != previous
			previous = delay
		})
	}
	if !delaysDiffer {
		t.Errorf("three sidecars sent their orders after the same %s, want different delays", previous)
	}
}

// Guards against an order from a sidecar without connected gateways to an
// engine that ignores fencing numbers: the sidecar may have been replaced. Also
// guards against an order before the lease of a previous process has ended.
func TestDisconnectedSidecarSendsNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if delay := timeToOrder(t, fence.ModeIgnores, unavailableBudget{}, 1); delay != 0 {
			t.Errorf("order sent after %s, want none from a disconnected sidecar", delay)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		if delay := timeToOrder(t, fence.ModeIgnores, unavailableBudget{connected: true}, 1); delay < defaultPermitTimeout+defaultLeaseTTL {
			t.Errorf("order sent after %s (0s: none), want at least 1m15s", delay)
		}
	})
}

// refusingBudget refuses every request.
type refusingBudget struct{}

func (refusingBudget) RequestPermit(context.Context, string) (budget.Permit, error) {
	return budget.Permit{RetryAfter: 10 * time.Second}, nil
}

func (refusingBudget) GatewayConnected() bool { return true }

// Guards against loads without permits while the budget responds. 568 of 1,200
// endpoints of a returning zone loaded in this way and exceeded the store's
// rate.
func TestRefusedPermitKeepsWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if delay := timeToOrder(t, fence.ModeChecks, refusingBudget{}, 1); delay != 0 {
			t.Errorf("order sent after %s, want none while permits are refused", delay)
		}
	})
}
