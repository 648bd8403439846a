package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"siskinstand.example/coord/claim"
	"siskinstand.example/coord/invariant"
	"siskinstand.example/coord/verdict"
	"siskinstand.example/gateway/control"
)

type noEndpoints struct{ ControlLoop }

func (noEndpoints) View() *control.View { return &control.View{} }

// slowBook grants claims and answers no other write before its context ends.
type slowBook struct {
	claim.Registry
	released chan struct{}
}

func (slowBook) Claim(context.Context, claim.Key, string, uint64) (claim.Record, error) {
	return claim.Record{State: claim.StateClaimed}, nil
}

func (b slowBook) Release(ctx context.Context, _ claim.Key, _ string) error {
	close(b.released)
	<-ctx.Done()
	return ctx.Err()
}

// Guards against a refusal that waits for a slow store beyond the deadline, and
// against a release that ends with the request.
func TestSlowStoreDoesNotMakeAnswerLate(t *testing.T) {
	registry := invariant.NewRegistry(nil)
	book := slowBook{released: make(chan struct{})}
	d := New(Config{Invariants: registry, Scope: tally.NoopScope, Control: noEndpoints{}, Claims: book})
	r := &Request{ID: "r", IdempotencyKey: "k", Deadline: time.Now().Add(50 * time.Millisecond)}
	if _, err := d.Run(t.Context(), r, nullSink{}); verdict.FromError(err) != verdict.NotRun {
		t.Errorf("got %v", err)
	}
	<-book.released
	if n := registry.Count(invariant.RequestOutcome); n != 0 {
		t.Errorf("%d late answers: %s", n, registry.LastMessage(invariant.RequestOutcome))
	}
}
