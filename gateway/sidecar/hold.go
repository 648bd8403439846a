package sidecar

import (
	"context"
	"time"

	"siskinstand.example/coord/verdict"
	pb "siskinstand.example/peerpb"
)

// holdCallTimeout limits one hold call. A sidecar responds to it from memory.
const holdCallTimeout = 2 * time.Second

// Hold is a memory reservation on one member of a group.
type Hold struct {
	HoldID     string
	GroupID    string
	Account    string
	Tokens     int64
	TimeToLive time.Duration
}

// AcquireHold acquires or renews a hold and returns the engine's address.
func (c *Client) AcquireHold(ctx context.Context, e *Endpoint, h Hold) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, holdCallTimeout)
	defer cancel()
	conn, release, err := c.connections.Get(ctx, e.Address)
	if err != nil {
		return "", verdict.New(verdict.NotRun, verdict.ReasonConnectionLost, "endpoint %s is unreachable", e.Name).WithCause(err)
	}
	defer release()
	response, err := pb.NewSidecarClient(conn).Hold(ctx, &pb.HoldRequest{
		Sender: c.sender(), HoldId: h.HoldID, GroupId: h.GroupID, Account: h.Account,
		Tokens: h.Tokens, TtlMs: h.TimeToLive.Milliseconds(),
	})
	if err != nil {
		// A hold only reserves memory, so nothing can have run.
		return "", verdict.New(verdict.NotRun, verdict.ReasonConnectionLost, "no answer to a hold on endpoint %s", e.Name).WithCause(err)
	}
	if !response.GetHeld() {
		refused := verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "endpoint %s refused a hold: %s", e.Name, response.GetReason())
		return "", refused.WithRetryAfter(time.Duration(response.GetRetryAfterMs()) * time.Millisecond)
	}
	return response.GetEngineAddress(), nil
}

// ReleaseHold releases a hold. Errors are ignored, because the hold expires if it
// is not renewed.
func (c *Client) ReleaseHold(ctx context.Context, e *Endpoint, holdID string) {
	ctx, cancel := context.WithTimeout(ctx, holdCallTimeout)
	defer cancel()
	conn, release, err := c.connections.Get(ctx, e.Address)
	if err != nil {
		return
	}
	defer release()
	_, _ = pb.NewSidecarClient(conn).ReleaseHold(ctx, &pb.ReleaseHoldRequest{Sender: c.sender(), HoldId: holdID})
}
