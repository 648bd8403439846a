package control

import (
	"cmp"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/coord/catalog"
	"siskinstand.example/coord/directory"
	"siskinstand.example/coord/health"
	"siskinstand.example/coord/placement"
	"siskinstand.example/coord/retry"
	"siskinstand.example/coord/suspect"
)

const (
	// plainQueue is the number of calls for each slot of a plain service that
	// entry hosts let wait at a replica.
	plainQueue = 3
	// retryMargin is the part of the platform's bound on repeated sends that is
	// used; the rest covers hosts that come and go.
	retryMargin = 0.7
	// noReplicaRetry is when a caller may come back to a service without replicas.
	noReplicaRetry = 500 * time.Millisecond
)

func (l *Loop) place(now time.Duration, a Ask) decision {
	if l.suspects.Status(time.Now(), a.Fingerprint) == suspect.StatusRefuse {
		return decision{refusal: Refusal{Reason: RefusedSuspect}}
	}
	nodes, replicas := l.candidates(now, a)
	if len(nodes) == 0 {
		return decision{refusal: Refusal{Reason: RefusedNoReplica, RetryAfter: noReplicaRetry, Replicas: len(replicas)}}
	}
	if a.Repeat && !l.budget(a.Service.Name).ok() {
		return decision{refusal: Refusal{Reason: RefusedBudget, Replicas: len(nodes)}}
	}
	plan, refusal := l.choose(a, nodes)
	if refusal.Reason != placement.RefusedNone {
		return decision{refusal: Refusal{Reason: RefusalReason(refusal.Reason), RetryAfter: refusal.RetryAfter, Predicted: refusal.PredictedFirstEvent, Replicas: len(nodes), wait: refusal.CanWait, possible: refusal.BlockedByOlderPrompt}}
	}
	l.spend(a)
	if replicas[plan.Primary].ColdUntil > now {
		l.cold[plan.Primary] = append(l.cold[plan.Primary], now)
	}
	number := l.ledger.Add(placement.Job{Plan: plan, PartPrefill: plan.PartPrefill, Tokens: a.Request.PromptTokens + a.Request.OutputTokens, SentAt: now})
	if len(plan.Helpers) > 0 {
		l.changed(urgent)
	} else {
		l.changed(soon)
	}
	g := Grant{Number: number, Target: target(replicas[plan.Primary]), Held: plan.ReservedTokens, FirstEvent: plan.TimeToFirstEvent}
	for _, h := range plan.Helpers {
		g.Helpers = append(g.Helpers, target(replicas[h.ID]))
	}
	for _, n := range nodes {
		if n.ID == plan.Primary {
			g.Load = n.Load
		}
	}
	return decision{grant: g}
}

func target(r directory.Replica) Target {
	return Target{ID: r.ID, Address: r.Address, Born: r.StartUnixMs}
}

// candidates returns the replicas that may get the request, with their loads.
func (l *Loop) candidates(now time.Duration, a Ask) ([]placement.Candidate, map[string]directory.Replica) {
	loads := l.ledger.Loads(now)
	replicas := map[string]directory.Replica{}
	var nodes []placement.Candidate
	for _, r := range l.directory.Usable(now, a.Service.Name) {
		if !l.health.Usable(now, r.ID) || slices.Contains(a.Excluded, r.ID) || !l.allowed(r.Zone, a.Regions) || !l.bearsCold(now, r, a.Service) {
			continue
		}
		replicas[r.ID] = r
		nodes = append(nodes, placement.Candidate{ID: r.ID, Slots: r.Slots, Load: loads[placement.ShortID(r.ID)]})
	}
	return nodes, replicas
}

func (l *Loop) allowed(zone string, regions []string) bool {
	return len(regions) == 0 || slices.Contains(regions, l.config.Regions[zone])
}

// bearsCold reports whether a cold replica has room for one more start this
// second. The service's limit is shared by all hosts.
func (l *Loop) bearsCold(now time.Duration, r directory.Replica, s *catalog.Service) bool {
	if r.ColdUntil <= now || s.ColdRequestsPerSecond <= 0 {
		delete(l.cold, r.ID)
		return true
	}
	starts := slices.DeleteFunc(l.cold[r.ID], func(t time.Duration) bool { return now-t > time.Second })
	l.cold[r.ID] = starts
	share := max(1, int(s.ColdRequestsPerSecond/float64(len(l.peers)+1)))
	return len(starts) < share
}

func (l *Loop) choose(a Ask, nodes []placement.Candidate) (placement.Plan, placement.Refusal) {
	if model, ok := l.models[a.Service.Name]; ok && a.Request.PromptTokens > 0 {
		a.Request.HostCount = len(l.peers) + 1
		return placement.Choose(model, l.config.Placement, nodes, a.Request)
	}
	best := slices.MinFunc(nodes, func(x, y placement.Candidate) int {
		return cmp.Or(cmp.Compare(x.Load.Streams*y.Slots, y.Load.Streams*x.Slots), cmp.Compare(placement.Rank(x.ID+a.ID), placement.Rank(y.ID+a.ID)))
	})
	if best.Load.Streams >= best.Slots*plainQueue {
		return placement.Plan{}, placement.Refusal{Reason: placement.RefusedNoPlace, RetryAfter: a.Request.Objective}
	}
	return placement.Plan{Service: a.Service.Name, Primary: best.ID}, placement.Refusal{}
}

type serviceBudget struct {
	loop   *Loop
	name   string
	policy retry.Policy
}

func (l *Loop) budget(service string) serviceBudget {
	hosts := float64(len(l.peers) + 1)
	return serviceBudget{l, service, retry.Policy{RetryRatio: l.config.Limits.RetryShare * retryMargin, Burst: max(1, l.config.Limits.RetrySlack*retryMargin/hosts)}}
}

func (b serviceBudget) state() retry.Budget {
	s, ok := b.loop.budgets[b.name]
	if !ok {
		s = retry.NewBudget(b.policy, time.Now())
	}
	return s
}

func (b serviceBudget) ok() bool {
	_, ok := b.state().Take(b.policy, time.Now())
	return ok
}

// spend counts a send against the retry budget of its service.
func (l *Loop) spend(a Ask) {
	b := l.budget(a.Service.Name)
	s := b.state()
	if a.Repeat {
		s, _ = s.Take(b.policy, time.Now())
	} else {
		s = s.RecordFirstAttempt(b.policy, time.Now())
	}
	l.budgets[a.Service.Name] = s
}

func (l *Loop) end(now time.Duration, m ended) {
	l.ledger.Remove(now, m.number)
	l.changed(later)
	if m.target.ID == "" {
		return
	}
	if l.health.Record(now, m.target.ID, m.outcome) {
		klog.V(1).InfoS("replica out of use", "replica", m.target.ID, "outcome", m.outcome)
		if l.health.IsUnreachable(m.target.ID) {
			l.probe(m.target.ID, 0)
			l.changed(urgent)
		}
	}
	if m.crashed {
		l.holdSuspect(m)
		return
	}
	if m.outcome == health.Served {
		l.suspects.Clear(time.Now(), m.fingerprint)
	}
}
