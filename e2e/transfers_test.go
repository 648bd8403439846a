package e2e

import (
	"context"
	"sync"
	"testing"
	"time"

	"siskinstand.example/coord/fence"
	"siskinstand.example/coord/group"
	"siskinstand.example/coord/invariant"
	"siskinstand.example/sidecar/control"
)

// Guards against KV cache exports and imports that stay in the engine after their
// owner was killed, and against ones that are freed while the hold that owns them
// is renewed.
func TestTransfersEndWithTheirOwner(t *testing.T) {
	t.Parallel()
	_, adapter := startEngine(t, fence.ModeChecks)
	loopConfig := control.DefaultConfig()
	loopConfig.Memory.Grace = 5 * time.Second
	loopConfig.Endpoint, loopConfig.Engine, loopConfig.Invariants = "e1", adapter, invariant.NewRegistry(nil)
	loop := control.New(loopConfig)
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = loop.Run(ctx) })
	defer running.Wait()
	defer stop()
	awaitModel(t, loop, model)
	hold := group.Hold{ID: "hold", Group: "g", Tokens: 100}
	renewHold := func() {
		if refusal := loop.AcquireHold(ctx, hold, group.MaxTimeToLive); refusal != nil {
			t.Fatal(refusal)
		}
	}
	renewHold()
	for id, owner := range map[string]string{"kept": "hold", "left": "killed/1"} {
		if err := adapter.Export(ctx, "export-"+id, owner, 10); err != nil {
			t.Fatal(err)
		}
		if err := adapter.Import(ctx, "import-"+id, owner, 10); err != nil {
			t.Fatal(err)
		}
	}
	awaitAllocations := func(want int, step func()) {
		for start := time.Now(); ; time.Sleep(time.Second) {
			step()
			state, err := adapter.State(ctx)
			if err != nil {
				t.Fatal(err)
			}
			if len(state.Allocations) == want {
				return
			}
			if time.Since(start) > 60*time.Second {
				t.Fatalf("%d allocations are left, want %d: %+v", len(state.Allocations), want, state.Allocations)
			}
		}
	}
	// The cleanup frees the transfers of the killed owner but keeps the renewed
	// hold and its export and import.
	awaitAllocations(3, renewHold)
	awaitAllocations(0, func() {})
	if n := loopConfig.Invariants.Total(); n != 0 {
		t.Errorf("%d invariants were violated", n)
	}
}
