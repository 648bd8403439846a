package control

import (
	"context"
	"time"

	"siskinstand.example/coord/admission"
	"siskinstand.example/platform/engine"
)

// State is the state of the endpoint as gateways see it.
type State string

// The states of an endpoint.
const (
	StateStarting   State = "starting"
	StateServing    State = "serving"
	StateDraining   State = "draining"
	StateEngineDown State = "engine_down"
)

// Snapshot is what traffic goroutines may know of the loop.
type Snapshot struct {
	State State
	Load  admission.Load
	// Capacity is what admission may use.
	Capacity admission.Capacity
	Model    string
	Revision uint64
	// Changed is closed when a snapshot that differs significantly follows.
	Changed chan struct{}
}

// Snapshot returns the latest snapshot.
func (l *Loop) Snapshot() *Snapshot { return l.snapshot.Load() }

func (l *Loop) publish(_ time.Time) {
	old := l.snapshot.Load()
	next := *old
	next.State = l.state
	next.Load = l.queue.Load()
	significant := next.State != old.State
	if significant {
		next.Changed = make(chan struct{})
	}
	l.snapshot.Store(&next)
	if significant {
		close(old.Changed)
	}
}

func (l *Loop) reconcile(ctx context.Context) {
	for ctx.Err() == nil {
		state, err := l.config.Engine.State(ctx)
		if err == nil && state.Ready {
			_ = l.send(engineMessage{state})
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

type engineMessage struct{ state engine.State }

func (m engineMessage) apply(l *Loop, _ time.Time) {
	l.state = StateServing
	l.queue.SetCapacity(admission.Capacity{MemoryTokens: m.state.TotalTokens, LimitTokens: m.state.TotalTokens, PrefillRate: 10_000, DecodeRate: 20})
}
