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

type fixedRate struct{ rate int64 }

func (fixedRate) Stat(_ context.Context, model string) (weightstore.Object, error) {
	if model != "m" {
		return weightstore.Object{}, weightstore.ErrNotFound
	}
	return weightstore.Object{Model: model, Bytes: 100}, nil
}
func (r fixedRate) ReadRateLimit(context.Context) (int64, error) { return r.rate, nil }

func startBudget(m *memStore, id string) (*WeightLoadBudget, func()) {
	b := NewWeightLoadBudget(WeightLoadBudgetConfig{Store: m, Weights: fixedRate{100}, ProcessID: id})
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
	answer, err := b.RequestPermit(t.Context(), WeightLoadRequest{Process: budget.Requester{Endpoint: "endpoint"}, Bytes: 100})
	if answer.Holder != want || (want == "") != (err != nil) {
		t.Errorf("%s: holder %q, %v, want %q", b.config.ProcessID, answer.Holder, err, want)
	}
	return answer
}

// Guards against two holders of the budget, a holder that grants after its
// lease is lost, and a fencing number that does not grow.
func TestBudgetHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemStore()
		a, stopA := startBudget(m, "a")
		first := assertHolder(t, a, "a")
		b, stopB := startBudget(m, "b")
		assertHolder(t, b, "a")
		if first.Granted {
			t.Error("a new holder granted a load at once")
		}
		time.Sleep(budget.DefaultBurst)
		if !assertHolder(t, a, "a").Granted {
			t.Error("not granted although the store is idle")
		}
		m.setDown(true)
		time.Sleep(DefaultLeaseTTL)
		assertHolder(t, a, "")
		m.setDown(false)
		stopA()
		time.Sleep(budgetInterval + budgetSpread)
		if next := assertHolder(t, b, "b"); next.Fence <= first.Fence {
			t.Errorf("fence %d after %d", next.Fence, first.Fence)
		}
		stopB()
	})
}

// Guards against a load that is not charged, because the request gives the
// model alone, and against a permit for a model that does not exist.
func TestBudgetLooksUpTheSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, stop := startBudget(newMemStore(), "a")
		defer stop()
		synctest.Wait()
		time.Sleep(2 * budget.DefaultBurst)
		granted := 0
		for i := range 30 {
			r := WeightLoadRequest{Process: budget.Requester{Endpoint: strconv.Itoa(i)}, Model: "m"}
			answer, err := b.RequestPermit(t.Context(), r)
			if err != nil {
				t.Fatal(err)
			}
			if answer.Granted {
				granted++
			}
		}
		// Each load takes one second of the rate of 100 bytes a second.
		if want := int(budget.DefaultBurst / time.Second); granted != want {
			t.Errorf("%d loads granted at once, want %d", granted, want)
		}
		if _, err := b.RequestPermit(t.Context(), WeightLoadRequest{Model: "none"}); err == nil {
			t.Error("no error for a model that the weight store does not have")
		}
	})
}
