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

// slowRegistry grants claims immediately and blocks releases until their context
// ends.
type slowRegistry struct {
	claim.Registry
	released chan struct{}
}

func (slowRegistry) Claim(context.Context, claim.Key, string, uint64) (claim.Record, error) {
	return claim.Record{State: claim.StateClaimed}, nil
}

func (r slowRegistry) Release(ctx context.Context, _ claim.Key, _ string) error {
	close(r.released)
	<-ctx.Done()
	return ctx.Err()
}

// Guards against a refusal that is delayed beyond the deadline by a slow claim
// release, and against a refusal that does not release the claim.
func TestSlowStoreDoesNotDelayResponse(t *testing.T) {
	invariants := invariant.NewRegistry(nil)
	claims := slowRegistry{released: make(chan struct{})}
	d := New(Config{Invariants: invariants, Scope: tally.NoopScope, Control: noEndpoints{}, Claims: claims})
	r := &Request{ID: "r", IdempotencyKey: "k", Deadline: time.Now().Add(50 * time.Millisecond)}
	if _, err := d.Run(t.Context(), r, discardSink{}); verdict.FromError(err) != verdict.NotRun {
		t.Errorf("Run = %v, want the verdict not_run", err)
	}
	<-claims.released
	if n := invariants.Count(invariant.RequestOutcome); n != 0 {
		t.Errorf("%d late responses, want 0: %s", n, invariants.LastMessage(invariant.RequestOutcome))
	}
}
