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
	holdTimeToLive = 10 * time.Second
	holdRenewal    = 3 * time.Second
	// confirmTimeout bounds the wait for the leader's answer to a cancellation.
	confirmTimeout = 2 * time.Second
	// acquireRounds bounds the attempts to get all holds of a group.
	acquireRounds = 4
)

// group is a prompt's share of several engines. Members are in ascending order
// of endpoint name; the first one leads. A nil group is a single endpoint.
type group struct {
	id      string
	account string
	members []member
}

type member struct {
	endpoint      *sidecar.Endpoint
	hold          string
	tokens        int64
	engineAddress string
}

// planGroup returns nil if one endpoint can hold the prompt or no endpoint has
// reported the size of its memory yet.
func (x *execution) planGroup(pool *control.PoolView, skip []string) (*group, *verdict.Error) {
	need := x.r.PromptTokens + x.r.MaxOutputTokens
	if x.r.Route.Model == "" || !x.exceedsOne(pool, need) {
		return nil, nil
	}
	g := &group{id: fmt.Sprintf("%s-%d", x.r.ID, x.offers+1), account: x.r.Account.Name}
	left := need
	for _, i := range pool.Routing.Ranked(x.r.Keys.Fingerprint, skip) {
		e := pool.Endpoints[i]
		room := int64(float64(e.LastLoad().GetMemoryTotalTokens()) * x.d.config.GroupShare)
		if room <= 0 {
			continue
		}
		tokens := min(room, left)
		g.members = append(g.members, member{endpoint: e, hold: g.id + "-" + e.Name, tokens: tokens})
		if left -= tokens; left == 0 {
			slices.SortFunc(g.members, func(a, b member) int { return cmp.Compare(a.endpoint.Name, b.endpoint.Name) })
			return g, nil
		}
	}
	if len(x.skip) > 0 {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoEndpoint, "too few endpoints of pool %s remain for a prompt of %d tokens", x.r.Pool.Name, x.r.PromptTokens)
	}
	return nil, verdict.New(verdict.NotRun, verdict.ReasonPromptTooLong, "%d tokens of prompt and output exceed the memory of pool %s by %d tokens", need, x.r.Pool.Name, left)
}

// exceedsOne reports whether no usable endpoint of the pool has the memory.
func (x *execution) exceedsOne(pool *control.PoolView, need int64) bool {
	known := false
	for i, e := range pool.Endpoints {
		if !pool.Routing.Usable(i) {
			continue
		}
		total := e.LastLoad().GetMemoryTotalTokens()
		if total >= need {
			return false
		}
		known = known || total > 0
	}
	return known
}

// acquire gets all holds or none. Rounds are apart by a growing random wait,
// because two prompts that block each other would do so again at once.
func (x *execution) acquire(ctx context.Context, g *group) *verdict.Error {
	if g == nil {
		return nil
	}
	for round := 0; ; round++ {
		failed, failure := x.acquireAll(ctx, g)
		if failure == nil {
			return nil
		}
		if failure.Reason == verdict.ReasonConnectionLost {
			x.d.config.Control.EndpointUnreachable(ctx, failed)
			x.skip = append(x.skip, failed.Name)
			failure.Reason = verdict.ReasonGroupMemberLost
			return failure
		}
		if round+1 >= acquireRounds || ctx.Err() != nil {
			return failure
		}
		wait := retry.Backoff(x.d.config.Backoff, x.d.config.BackoffLimit, round, routing.Mix(x.r.Keys.Fingerprint+uint64(round)))
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return failure
		}
	}
}

func (x *execution) acquireAll(ctx context.Context, g *group) (*sidecar.Endpoint, *verdict.Error) {
	for i := range g.members {
		m := &g.members[i]
		address, err := x.d.config.Client.AcquireHold(ctx, m.endpoint, g.holdOf(*m))
		if err != nil {
			// The failed member is included: its answer may have been lost.
			g.releaseMembers(x.d.config.Client, g.members[:i+1])
			return m.endpoint, asFailure(err)
		}
		m.engineAddress = address
	}
	return nil, nil
}

func (g *group) holdOf(m member) sidecar.Hold {
	return sidecar.Hold{HoldID: m.hold, GroupID: g.id, Account: g.account, Tokens: m.tokens, TimeToLive: holdTimeToLive}
}

// release gives up all holds without waiting for the answers.
func (g *group) release(client *sidecar.Client) {
	if g != nil {
		g.releaseMembers(client, g.members)
	}
}

func (g *group) releaseMembers(client *sidecar.Client, members []member) {
	for _, m := range members {
		go client.ReleaseHold(context.Background(), m.endpoint, m.hold)
	}
}

func (g *group) message() *pb.Group {
	if g == nil {
		return nil
	}
	message := &pb.Group{GroupId: g.id}
	for _, m := range g.members {
		message.Members = append(message.Members, &pb.GroupMember{
			Endpoint: m.endpoint.Name, SidecarAddress: m.endpoint.Address,
			EngineAddress: m.engineAddress, HoldId: m.hold, Tokens: m.tokens,
		})
	}
	return message
}

// renewal keeps the holds of a group until the leader is dispatched.
type renewal struct {
	cancel context.CancelFunc
	done   chan struct{}
	once   sync.Once
	// lost names the member whose hold failed; it is read after done.
	lost string
}

// renew starts the renewal. If a member is lost, it cancels the attempt.
func (g *group) renew(ctx context.Context, client *sidecar.Client, stream *sidecar.Attempt) *renewal {
	if g == nil {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &renewal{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		ticker := time.NewTicker(holdRenewal)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if lost := g.renewAll(ctx, client); lost != "" && ctx.Err() == nil {
				r.lost = lost
				stream.Cancel(string(verdict.ReasonGroupMemberLost))
				stream.CloseAfter(confirmTimeout)
				return
			}
		}
	}()
	return r
}

// renewAll returns the name of the first member that could not be renewed.
func (g *group) renewAll(ctx context.Context, client *sidecar.Client) string {
	for _, m := range g.members {
		if _, err := client.AcquireHold(ctx, m.endpoint, g.holdOf(m)); err != nil {
			return m.endpoint.Name
		}
	}
	return ""
}

// stop ends the renewal and reports whether all members were kept.
func (r *renewal) stop() bool {
	if r == nil {
		return true
	}
	r.once.Do(r.cancel)
	<-r.done
	return r.lost == ""
}
