package kvstore

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"siskinstand.example/adapters/weightstore"
	"siskinstand.example/coord/budget"
)

type fixedRateWeightStore struct{ rate int64 }

func (fixedRateWeightStore) Stat(_ context.Context, model string) (weightstore.Object, error) {
	if model != "m" {
		return weightstore.Object{}, weightstore.ErrNotFound
	}
	return weightstore.Object{Model: model, Bytes: 100}, nil
}
func (r fixedRateWeightStore) ReadRateLimit(context.Context) (int64, error) { return r.rate, nil }

func startWeightLoadBudget(m *memStore, id string) (*WeightLoadBudget, func()) {
	b := NewWeightLoadBudget(WeightLoadBudgetConfig{Store: m, Weights: fixedRateWeightStore{100}, ProcessID: id})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = b.Run(ctx)
	}()
	return b, func() { cancel(); <-done }
}

func assertHolder(t *testing.T, b *WeightLoadBudget, want string) PermitDecision {
	t.Helper()
	synctest.Wait()
	decision, err := b.RequestPermit(t.Context(), WeightLoadRequest{Requester: budget.Requester{Endpoint: "endpoint"}, Bytes: 100})
	if decision.Holder != want || (want == "") != (err != nil) {
		t.Errorf("%s: holder %q, %v, want %q", b.config.ProcessID, decision.Holder, err, want)
	}
	return decision
}

// Guards against two concurrent holders of the budget, a new holder that grants
// permits immediately, a holder that grants permits after its lease has expired,
// and a fencing number that does not increase.
func TestWeightLoadBudgetHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemStore()
		a, stopA := startWeightLoadBudget(m, "a")
		first := assertHolder(t, a, "a")
		b, stopB := startWeightLoadBudget(m, "b")
		assertHolder(t, b, "a")
		if first.Granted {
			t.Error("a new holder granted a permit immediately")
		}
		time.Sleep(budget.DefaultBurst)
		if !assertHolder(t, a, "a").Granted {
			t.Error("permit refused although the budget has accumulated a full burst")
		}
		m.setDown(true)
		time.Sleep(DefaultLeaseTTL)
		assertHolder(t, a, "")
		m.setDown(false)
		stopA()
		time.Sleep(leaseAttemptInterval + leaseAttemptJitter)
		if next := assertHolder(t, b, "b"); next.Fence <= first.Fence {
			t.Errorf("fence %d of the second holder, want more than %d of the first", next.Fence, first.Fence)
		}
		stopB()
	})
}

// Guards against a load that is not charged because the request has no size, and
// against a permit for a model that does not exist.
func TestWeightLoadBudgetLooksUpModelSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, stop := startWeightLoadBudget(newMemStore(), "a")
		defer stop()
		synctest.Wait()
		time.Sleep(2 * budget.DefaultBurst)
		granted := 0
		for i := range 30 {
			r := WeightLoadRequest{Requester: budget.Requester{Endpoint: strconv.Itoa(i)}, Model: "m"}
			decision, err := b.RequestPermit(t.Context(), r)
			if err != nil {
				t.Fatal(err)
			}
			if decision.Granted {
				granted++
			}
		}
		// Each load of 100 bytes uses one second of the rate of 100 bytes per second.
		if want := int(budget.DefaultBurst / time.Second); granted != want {
			t.Errorf("%d permits granted immediately, want %d", granted, want)
		}
		if _, err := b.RequestPermit(t.Context(), WeightLoadRequest{Model: "none"}); err == nil {
			t.Error("no error for a model that is not in the weight store")
		}
	})
}
