package control

import (
	"context"
	"time"

	"siskinstand.example/adapters/engine"
)

// Engine is the adapter of an inference engine or a plain service. Run calls
// deliver for each chunk in order and returns when the response is complete or
// has failed; its errors carry a verdict.
type Engine interface {
	Run(ctx context.Context, request engine.Request, deliver func(engine.Chunk) error) (engine.Result, error)
	Cancel(ctx context.Context, attemptID string) error
	State(ctx context.Context) (engine.State, error)
	Load(ctx context.Context) (engine.Load, error)
	// Free releases one allocation of engine memory by its identifier.
	Free(ctx context.Context, allocationID string) error
	// Hold reserves memory for a group member for the given time to live.
	Hold(ctx context.Context, holdID string, tokens int64, timeToLive time.Duration) error
	Apply(ctx context.Context, order engine.Order) error
}
