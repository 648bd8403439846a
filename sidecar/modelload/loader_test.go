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

// oldEngine serves another model until the first order, whose time it keeps.
type oldEngine struct {
	control.Engine
	mu      sync.Mutex
	model   string
	ordered time.Time
}

func (e *oldEngine) State(context.Context) (engine.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.State{Incarnation: "1", Model: e.model, Ready: true, TotalTokens: 1000}, nil
}

func (e *oldEngine) Load(context.Context) (engine.Load, error) { return engine.Load{}, nil }

func (e *oldEngine) Apply(_ context.Context, o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model, e.ordered = o.Model, time.Now()
	return nil
}

// unanswered is a budget that no gateway reaches.
type unanswered struct{ connected bool }

func (unanswered) RequestPermit(context.Context, string) (budget.Permit, error) {
	return budget.Permit{}, errors.New("no budget")
}
func (u unanswered) GatewayConnected() bool { return u.connected }

func seeded(seed int64) func(time.Duration) time.Duration {
	random := rand.New(rand.NewSource(seed)) //nolint:gosec // The verdict must not change between runs.
	return func(d time.Duration) time.Duration { return time.Duration(random.Int63n(int64(d))) }
}

// orderedAfter runs a sidecar and returns when the engine was ordered, or 0.
func orderedAfter(t *testing.T, mode fence.Mode, p PermitSource, seed int64) time.Duration {
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	e, begin := &oldEngine{model: "old"}, time.Now()
	c := control.DefaultConfig()
	c.Engine, c.Invariants = e, invariant.NewRegistry(nil)
	loop := control.New(c)
	runner := New(Config{Loop: loop, Engine: e, Permits: p, Incarnation: 1, FenceMode: mode, RandomDuration: seeded(seed)})
	running.Go(func() { _ = loop.Run(ctx) })
	running.Go(func() { _ = runner.Run(ctx) })
	loop.SetConfigSlice(control.ConfigSlice{Revision: 1, Model: "new"})
	time.Sleep(defaultPatience + defaultSpread + defaultTimeToLive + time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ordered.IsZero() {
		return 0
	}
	return e.ordered.Sub(begin)
}

// Guards against a load that never begins without a budget, that begins before
// 60 s have passed, and against loads of many sidecars at one moment.
func TestLoadWithoutPermit(t *testing.T) {
	var first time.Duration
	spread := false
	for seed := range int64(3) {
		synctest.Test(t, func(t *testing.T) {
			after := orderedAfter(t, fence.ModeChecks, unanswered{connected: true}, seed)
			if after < defaultPatience || after > defaultPatience+defaultSpread+time.Second {
				t.Errorf("ordered after %s", after)
			}
			spread = spread || first != 0 && after != first
			first = after
		})
	}
	if !spread {
		t.Errorf("three sidecars ordered after the same %s", first)
	}
}

// Guards against an order, to an engine that ignores numbers, of a sidecar that
// no gateway knows any more.
func TestUnconnectedSidecarGivesNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if after := orderedAfter(t, fence.ModeIgnores, unanswered{}, 1); after != 0 {
			t.Errorf("ordered after %s", after)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		if after := orderedAfter(t, fence.ModeIgnores, unanswered{connected: true}, 1); after < defaultPatience+defaultTimeToLive {
			t.Errorf("ordered after %s", after)
		}
	})
}

// busyBudget refuses every request.
type busyBudget struct{}

func (busyBudget) RequestPermit(context.Context, string) (budget.Permit, error) {
	return budget.Permit{RetryAfter: 10 * time.Second}, nil
}

func (busyBudget) GatewayConnected() bool { return true }

// Guards against loads without permits while the budget answers: 568 of 1,200
// endpoints of a returning zone loaded so and exceeded the store's rate.
func TestRefusalsKeepWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if after := orderedAfter(t, fence.ModeChecks, busyBudget{}, 1); after != 0 {
			t.Errorf("ordered after %s", after)
		}
	})
}
