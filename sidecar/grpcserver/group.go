package grpcserver

import (
	"context"
	"errors"
	"sync"
	"time"

	"siskinstand.example/adapters/engine"
	"siskinstand.example/coord/group"
	"siskinstand.example/coord/verdict"
	"siskinstand.example/peerpb"
)

// GroupMemberClient manages holds at the sidecars of the other members of a
// group.
type GroupMemberClient interface {
	RenewHold(ctx context.Context, m group.Member, groupID string, timeToLive time.Duration) (held bool, err error)
	ReleaseHold(ctx context.Context, m group.Member) error
}

const (
	// holdCheckInterval is the time between checks of the members' holds for
	// renewal and expiry.
	holdCheckInterval = 250 * time.Millisecond
	// holdCallTimeout bounds one renewal or the release of all holds. It is
	// shorter than the renewal interval: two renewals in a row can time out, and
	// the third one is still sent within the time to live of the hold.
	holdCallTimeout = 2 * time.Second
)

// groupMembers splits the group of the offer into this endpoint's own member
// and the members that it leads. engines lists the latter for the engine.
// Without a group all results are empty.
func (a *attempt) groupMembers() (own *peerpb.GroupMember, others []group.Member, engines []engine.GroupMember) {
	for _, m := range a.offer.GetGroup().GetMembers() {
		if m.Endpoint == a.server.config.Endpoint {
			own = m
			continue
		}
		others = append(others, group.Member{Endpoint: m.Endpoint, Address: m.SidecarAddress, HoldID: m.HoldId, Account: a.offer.GetAccount(), Tokens: m.Tokens})
		engines = append(engines, engine.GroupMember{Address: m.EngineAddress, HoldID: m.HoldId, Tokens: m.Tokens})
	}
	return own, others, engines
}

// keepMemberHolds renews the members' holds while the engine runs the prompt.
// If a member loses its hold, the run is cancelled with the verdict as cause.
// The returned function stops the renewals and releases the holds.
func (a *attempt) keepMemberHolds(ctx context.Context, cancel context.CancelCauseFunc) func() {
	_, others, _ := a.groupMembers()
	if len(others) == 0 {
		return func() {}
	}
	renewer := &holdRenewer{memberClient: a.server.config.MemberClient, groupID: a.offer.Group.GroupId, leader: group.NewLeader(time.Now(), others)}
	renewer.leader.MarkStarted()
	ctx, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		renewer.run(ctx, cancel)
	}()
	return func() {
		stop()
		<-ended
		renewer.releaseAll()
	}
}

// holdRenewer renews the members' holds of one group.
type holdRenewer struct {
	memberClient GroupMemberClient
	groupID      string
	mu           sync.Mutex
	leader       *group.Leader
	calls        sync.WaitGroup
}

func (h *holdRenewer) run(ctx context.Context, cancel context.CancelCauseFunc) {
	defer h.calls.Wait()
	ticker := time.NewTicker(holdCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			h.mu.Lock()
			due, lost := h.leader.DueRenewals(now), h.leader.CheckExpiry(now)
			h.mu.Unlock()
			if lost != nil {
				cancel(lost)
				return
			}
			for _, m := range due {
				h.calls.Go(func() { h.renew(ctx, m, now, cancel) })
			}
		}
	}
}

func (h *holdRenewer) renew(ctx context.Context, m group.Member, requestedAt time.Time, cancel context.CancelCauseFunc) {
	ctx, stop := context.WithTimeout(ctx, holdCallTimeout)
	defer stop()
	held, err := h.memberClient.RenewHold(ctx, m, h.groupID, group.MaxTimeToLive)
	if err != nil {
		return
	}
	h.mu.Lock()
	lost := h.leader.RecordRenewal(requestedAt, m.HoldID, held)
	h.mu.Unlock()
	if lost != nil {
		cancel(lost)
	}
}

// releaseAll releases the members' holds. The hold of a member that cannot be
// reached expires.
func (h *holdRenewer) releaseAll() {
	ctx, stop := context.WithTimeout(context.Background(), holdCallTimeout)
	defer stop()
	var calls sync.WaitGroup
	for _, m := range h.leader.End() {
		calls.Go(func() { _ = h.memberClient.ReleaseHold(ctx, m) })
	}
	calls.Wait()
}

// verdictFromCause returns the verdict with which this server cancelled the
// run, or err if it did not.
func verdictFromCause(ctx context.Context, err error) error {
	var e *verdict.Error
	if errors.As(context.Cause(ctx), &e) {
		return e
	}
	return err
}
