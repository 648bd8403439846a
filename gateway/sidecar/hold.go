package sidecar

import (
	"context"
	"time"

	"siskinstand.example/coord/verdict"
	pb "siskinstand.example/peerpb"
)

// callTimeout bounds one call for a hold; a sidecar answers from its memory.
const callTimeout = 2 * time.Second

// Hold is a reservation of memory on one member of a group.
type Hold struct {
	HoldID     string
	GroupID    string
	Account    string
	Tokens     int64
	TimeToLive time.Duration
}

// AcquireHold acquires or renews a hold and returns the address of the engine.
func (c *Client) AcquireHold(ctx context.Context, e *Endpoint, h Hold) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, release, err := c.connections.Get(ctx, e.Address)
	if err != nil {
		return "", verdict.New(verdict.NotRun, verdict.ReasonConnectionLost, "endpoint %s is unreachable", e.Name).WithCause(err)
	}
	defer release()
	answer, err := pb.NewSidecarClient(conn).Hold(ctx, &pb.HoldRequest{
		Sender: c.sender(), HoldId: h.HoldID, GroupId: h.GroupID, Account: h.Account,
		Tokens: h.Tokens, TtlMs: h.TimeToLive.Milliseconds(),
	})
	if err != nil {
		// A hold is memory only; no work can have run.
		return "", verdict.New(verdict.NotRun, verdict.ReasonConnectionLost, "no answer to a hold on endpoint %s", e.Name).WithCause(err)
	}
	if !answer.GetHeld() {
		refused := verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "endpoint %s refused a hold: %s", e.Name, answer.GetReason())
		return "", refused.WithRetryAfter(time.Duration(answer.GetRetryAfterMs()) * time.Millisecond)
	}
	return answer.GetEngineAddress(), nil
}

// ReleaseHold gives up a hold. A lost call is harmless, because the hold
// expires by itself.
func (c *Client) ReleaseHold(ctx context.Context, e *Endpoint, holdID string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, release, err := c.connections.Get(ctx, e.Address)
	if err != nil {
		return
	}
	defer release()
	_, _ = pb.NewSidecarClient(conn).ReleaseHold(ctx, &pb.ReleaseHoldRequest{Sender: c.sender(), HoldId: holdID})
}
