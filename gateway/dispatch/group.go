package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"siskinstand.example/coord/retry"
	"siskinstand.example/coord/routing"
	"siskinstand.example/coord/verdict"
	"siskinstand.example/gateway/control"
	"siskinstand.example/gateway/sidecar"
	pb "siskinstand.example/peerpb"
)

const (
	holdTTL             = 10 * time.Second
	holdRenewalInterval = 3 * time.Second
	// cancelConfirmTimeout limits the wait for the leader to confirm a
	// cancellation.
	cancelConfirmTimeout = 2 * time.Second
	// maxAcquireRounds limits the attempts to acquire all holds of a group.
	maxAcquireRounds = 4
)

// group is a set of endpoints whose engines run one prompt together, because it
// exceeds the memory of each. Members are sorted by endpoint name; the first is
// the leader. A nil group stands for a single endpoint.
type group struct {
	id      string
	account string
	members []member
}

type member struct {
	endpoint      *sidecar.Endpoint
	holdID        string
	tokens        int64
	engineAddress string
}

// planGroup selects the members of a group for the request. It returns nil for a
// plain service, for a request that fits on one endpoint, and while no usable
// endpoint has reported its memory size.
func (x *execution) planGroup(pool *control.PoolView, skip []string) (*group, *verdict.Error) {
	need := x.request.PromptTokens + x.request.MaxOutputTokens
	if x.request.Route.Model == "" || !x.exceedsEveryEndpoint(pool, need) {
		return nil, nil
	}
	g := &group{id: fmt.Sprintf("%s-%d", x.request.ID, x.attempts+1), account: x.request.Account.Name}
	left := need
	for _, i := range pool.Routing.Ranked(x.request.Keys.Fingerprint, skip) {
		e := pool.Endpoints[i]
		available := x.groupTokens(e)
		if available <= 0 {
			continue
		}
		tokens := min(available, left)
		g.members = append(g.members, member{endpoint: e, holdID: g.id + "-" + e.Name, tokens: tokens})
		if left -= tokens; left == 0 {
			slices.SortFunc(g.members, func(a, b member) int { return cmp.Compare(a.endpoint.Name, b.endpoint.Name) })
			return g, nil
		}
	}
	if len(x.failedEndpoints) > 0 {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoEndpoint, "too few endpoints of pool %s remain for a prompt of %d tokens", x.request.Pool.Name, x.request.PromptTokens)
	}
	return nil, x.exceedsUsable(pool, need)
}

// groupTokens returns the memory that a group may take of an endpoint, or 0 if the endpoint has
// not reported its memory.
func (x *execution) groupTokens(e *sidecar.Endpoint) int64 {
	return int64(float64(e.LastLoad().GetMemoryTotalTokens()) * x.dispatcher.config.GroupShare)
}

// exceedsUsable refuses a request that exceeds the memory of all usable endpoints together. The
// refusal is final only if the request exceeds the memory of the whole pool.
func (x *execution) exceedsUsable(pool *control.PoolView, need int64) *verdict.Error {
	if !isMemoryKnown(pool) {
		return x.unknownMemory()
	}
	total := int64(0)
	for _, e := range pool.Endpoints {
		total += x.groupTokens(e)
	}
	if total >= need {
		return verdict.New(verdict.NotRun, verdict.ReasonNoEndpoint, "too few endpoints of pool %s are in service for a prompt of %d tokens", x.request.Pool.Name, x.request.PromptTokens)
	}
	return verdict.New(verdict.NotRun, verdict.ReasonPromptTooLong, "%d tokens of prompt and output exceed the memory of pool %s by %d tokens", need, x.request.Pool.Name, need-total)
}

// isMemoryKnown reports whether all endpoints of the pool have reported the size of their memory.
// After a start of the gateway it takes some milliseconds.
func isMemoryKnown(pool *control.PoolView) bool {
	return !slices.ContainsFunc(pool.Endpoints, func(e *sidecar.Endpoint) bool { return e.LastLoad().GetMemoryTotalTokens() <= 0 })
}

func (x *execution) unknownMemory() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonNoEndpoint, "not all endpoints of pool %s have reported the size of their memory", x.request.Pool.Name)
}

// checkTooLong replaces the refusal of an endpoint that is too small for the request, if a group
// was not considered because the memory of the pool is not known yet.
func (x *execution) checkTooLong(t target, failure *verdict.Error) *verdict.Error {
	if failure.Reason != verdict.ReasonPromptTooLong || failure.Verdict != verdict.NotRun || t.group != nil || x.request.Route.Model == "" {
		return failure
	}
	pool, ok := x.dispatcher.config.Control.View().Pools[x.request.Pool.Name]
	if !ok || isMemoryKnown(pool) {
		return failure
	}
	return x.unknownMemory().WithCause(failure)
}

// exceedsEveryEndpoint reports whether the request needs more memory than any
// usable endpoint has. It returns false as long as none has reported a memory size.
func (x *execution) exceedsEveryEndpoint(pool *control.PoolView, need int64) bool {
	memoryKnown := false
	for i, e := range pool.Endpoints {
		if !pool.Routing.Usable(i) {
			continue
		}
		total := e.LastLoad().GetMemoryTotalTokens()
		if total >= need {
			return false
		}
		memoryKnown = memoryKnown || total > 0
	}
	return memoryKnown
}

// acquireHolds acquires the holds on all members or none. It retries after a
// refusal with jittered exponential backoff, so that two requests that block each
// other are unlikely to collide again.
func (x *execution) acquireHolds(ctx context.Context, g *group) *verdict.Error {
	if g == nil {
		return nil
	}
	for round := 0; ; round++ {
		failed, failure := x.tryAcquireHolds(ctx, g)
		if failure == nil {
			return nil
		}
		if failure.Reason == verdict.ReasonConnectionLost {
			x.dispatcher.config.Control.EndpointUnreachable(ctx, failed)
			x.failedEndpoints = append(x.failedEndpoints, failed.Name)
			failure.Reason = verdict.ReasonGroupMemberLost
			return failure
		}
		if round+1 >= maxAcquireRounds || ctx.Err() != nil {
			return failure
		}
		wait := retry.Backoff(x.dispatcher.config.Backoff, x.dispatcher.config.BackoffLimit, round, routing.Mix(x.request.Keys.Fingerprint+uint64(round)))
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return failure
		}
	}
}

func (x *execution) tryAcquireHolds(ctx context.Context, g *group) (*sidecar.Endpoint, *verdict.Error) {
	for i := range g.members {
		m := &g.members[i]
		address, err := x.dispatcher.config.Client.AcquireHold(ctx, m.endpoint, g.holdFor(*m))
		if err != nil {
			// The failed member is released too: it may have granted the hold
			// although its response was lost.
			g.releaseMembers(x.dispatcher.config.Client, g.members[:i+1])
			return m.endpoint, asVerdictError(err)
		}
		m.engineAddress = address
	}
	return nil, nil
}

func (g *group) holdFor(m member) sidecar.Hold {
	return sidecar.Hold{HoldID: m.holdID, GroupID: g.id, Account: g.account, Tokens: m.tokens, TimeToLive: holdTTL}
}

// release releases all holds in the background.
func (g *group) release(client *sidecar.Client) {
	if g != nil {
		g.releaseMembers(client, g.members)
	}
}

func (g *group) releaseMembers(client *sidecar.Client, members []member) {
	for _, m := range members {
		go client.ReleaseHold(context.Background(), m.endpoint, m.holdID)
	}
}

func (g *group) toProto() *pb.Group {
	if g == nil {
		return nil
	}
	message := &pb.Group{GroupId: g.id}
	for _, m := range g.members {
		message.Members = append(message.Members, &pb.GroupMember{
			Endpoint: m.endpoint.Name, SidecarAddress: m.endpoint.Address,
			EngineAddress: m.engineAddress, HoldId: m.holdID, Tokens: m.tokens,
		})
	}
	return message
}

// renewal renews the holds of a group until the leader's sidecar admits the
// attempt or the attempt ends.
type renewal struct {
	cancel context.CancelFunc
	done   chan struct{}
	once   sync.Once
	// lostMember is the member whose renewal failed, or empty. It may only be
	// read after done is closed.
	lostMember string
}

// startRenewal renews the holds in the background. If a renewal fails, it cancels
// the attempt.
func (g *group) startRenewal(ctx context.Context, client *sidecar.Client, stream *sidecar.Attempt) *renewal {
	if g == nil {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &renewal{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		ticker := time.NewTicker(holdRenewalInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if lost := g.renewAll(ctx, client); lost != "" && ctx.Err() == nil {
				r.lostMember = lost
				stream.Cancel(string(verdict.ReasonGroupMemberLost))
				stream.CloseAfter(cancelConfirmTimeout)
				return
			}
		}
	}()
	return r
}

// renewAll renews all holds and returns the name of the first member that failed,
// or an empty string.
func (g *group) renewAll(ctx context.Context, client *sidecar.Client) string {
	for _, m := range g.members {
		if _, err := client.AcquireHold(ctx, m.endpoint, g.holdFor(m)); err != nil {
			return m.endpoint.Name
		}
	}
	return ""
}

// stop ends the renewal and returns the name of the member whose renewal failed, or
// an empty string.
func (r *renewal) stop() string {
	if r == nil {
		return ""
	}
	r.once.Do(r.cancel)
	<-r.done
	return r.lostMember
}
