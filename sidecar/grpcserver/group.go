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

// GroupMemberClient reaches the sidecars of the other members of a group.
type GroupMemberClient interface {
	RenewHold(ctx context.Context, m group.Member, groupID string, timeToLive time.Duration) (held bool, err error)
	ReleaseHold(ctx context.Context, m group.Member) error
}

const (
	// groupTick is the time between looks at the members' holds.
	groupTick = 250 * time.Millisecond
	// renewTimeout lets two renewals fail within the life of a hold.
	renewTimeout = 2 * time.Second
)

// othersOf returns the members that this endpoint leads, and its own.
func (a *attempt) othersOf() (own *peerpb.GroupMember, others []group.Member, engines []engine.GroupMember) {
	for _, m := range a.offer.GetGroup().GetMembers() {
		if m.Endpoint == a.server.config.Endpoint {
			own = m
			continue
		}
		others = append(others, group.Member{Endpoint: m.Endpoint, Address: m.SidecarAddress, HoldID: m.HoldId, Tokens: m.Tokens})
		engines = append(engines, engine.GroupMember{Address: m.EngineAddress, HoldID: m.HoldId, Tokens: m.Tokens})
	}
	return own, others, engines
}

// leadGroup keeps the members' holds while the engine runs the prompt. A lost
// member cancels the run with the verdict as cause. The returned function
// releases the holds.
func (a *attempt) leadGroup(ctx context.Context, cancel context.CancelCauseFunc) func() {
	_, others, _ := a.othersOf()
	if len(others) == 0 {
		return func() {}
	}
	k := &keeper{members: a.server.config.GroupMembers, groupID: a.offer.Group.GroupId, leader: group.NewLeader(time.Now(), others)}
	k.leader.MarkStarted()
	ctx, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		k.run(ctx, cancel)
	}()
	return func() {
		stop()
		<-ended
		k.release()
	}
}

// keeper renews the holds of one group.
type keeper struct {
	members GroupMemberClient
	groupID string
	mu      sync.Mutex
	leader  *group.Leader
	calls   sync.WaitGroup
}

func (k *keeper) run(ctx context.Context, cancel context.CancelCauseFunc) {
	defer k.calls.Wait()
	ticker := time.NewTicker(groupTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			k.mu.Lock()
			due, lost := k.leader.DueRenewals(now), k.leader.CheckExpiry(now)
			k.mu.Unlock()
			if lost != nil {
				cancel(lost)
				return
			}
			for _, m := range due {
				k.calls.Go(func() { k.renew(ctx, m, now, cancel) })
			}
		}
	}
}

func (k *keeper) renew(ctx context.Context, m group.Member, requested time.Time, cancel context.CancelCauseFunc) {
	ctx, stop := context.WithTimeout(ctx, renewTimeout)
	defer stop()
	held, err := k.members.RenewHold(ctx, m, k.groupID, group.MaxTimeToLive)
	if err != nil {
		return
	}
	k.mu.Lock()
	lost := k.leader.RecordRenewal(requested, m.HoldID, held)
	k.mu.Unlock()
	if lost != nil {
		cancel(lost)
	}
}

// release ends the members' holds. One that is not reached expires.
func (k *keeper) release() {
	ctx, stop := context.WithTimeout(context.Background(), renewTimeout)
	defer stop()
	var calls sync.WaitGroup
	for _, m := range k.leader.End() {
		calls.Go(func() { _ = k.members.ReleaseHold(ctx, m) })
	}
	calls.Wait()
}

// causeOf returns the verdict with which a run was cancelled here, if any.
func causeOf(ctx context.Context, err error) error {
	var e *verdict.Error
	if errors.As(context.Cause(ctx), &e) {
		return e
	}
	return err
}
