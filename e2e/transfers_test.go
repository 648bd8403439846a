package e2e

import (
	"context"
	"sync"
	"testing"
	"time"

	"siskinstand.example/coord/group"
	"siskinstand.example/coord/invariant"
	"siskinstand.example/sidecar/control"
)

// Guards against exports and imports of KV cache that stay in the engine after
// their owner was killed, and against ones freed while the owner lives.
func TestTransfersEndWithTheirOwner(t *testing.T) {
	t.Parallel()
	_, adapter := startEngine(t, false)
	c := control.DefaultConfig()
	c.Memory.Grace = 5 * time.Second
	c.Endpoint, c.Engine, c.Invariants = "e1", adapter, invariant.NewRegistry(nil)
	loop := control.New(c)
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = loop.Run(ctx) })
	defer running.Wait()
	defer stop()
	awaitModel(t, loop, model)
	hold := group.Hold{ID: "hold", Group: "g", Tokens: 100}
	renew := func() {
		if refusal := loop.AcquireHold(ctx, hold, group.MaxTimeToLive); refusal != nil {
			t.Fatal(refusal)
		}
	}
	renew()
	for id, owner := range map[string]string{"kept": "hold", "left": "killed/1"} {
		if err := adapter.Export(ctx, "export-"+id, owner, 10); err != nil {
			t.Fatal(err)
		}
		if err := adapter.Import(ctx, "import-"+id, owner, 10); err != nil {
			t.Fatal(err)
		}
	}
	await := func(pieces int, step func()) {
		for begin := time.Now(); ; time.Sleep(time.Second) {
			step()
			state, err := adapter.State(ctx)
			if err != nil {
				t.Fatal(err)
			}
			if len(state.Allocations) == pieces {
				return
			}
			if time.Since(begin) > 60*time.Second {
				t.Fatalf("%d pieces are left, want %d: %+v", len(state.Allocations), pieces, state.Allocations)
			}
		}
	}
	// The hold and its two copies stay through the sweeps that free the others.
	await(3, renew)
	await(0, func() {})
	if n := c.Invariants.Total(); n != 0 {
		t.Errorf("%d invariants were violated", n)
	}
}
