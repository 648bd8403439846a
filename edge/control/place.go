package control

import (
	"cmp"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/coord/catalog"
	"siskinstand.example/coord/connlimit"
	"siskinstand.example/coord/directory"
	"siskinstand.example/coord/placement"
	"siskinstand.example/coord/retry"
)

const (
	// maxCallsPerSlot is the maximum number of calls per slot that all entry hosts together
	// send to a replica without using the placement model. Calls beyond the slots wait at
	// the replica.
	maxCallsPerSlot = 3
	// retryBudgetShare is the share of the platform's retry limit that is used. The rest
	// is a margin for changes in the number of hosts.
	retryBudgetShare = 0.7
	// noReplicaRetryAfter is the retry delay, before jitter, that is sent to callers if no
	// replica of the service is usable.
	noReplicaRetryAfter = 500 * time.Millisecond
)

// tryPlace chooses a replica for a request and records the assignment. It does not
// queue the request.
func (l *Loop) tryPlace(now time.Duration, req PlacementRequest) decision {
	if l.isCrashSuspect(now, req.Fingerprint) {
		return decision{refusal: Refusal{Reason: RefusedCrashSuspect}}
	}
	if l.awaitsProbe(req.Fingerprint) {
		return decision{refusal: Refusal{Reason: RefusedUnresolvedCrash, RetryAfter: trialRetryAfter, mayQueue: true}}
	}
	refusedPart, isTrial := l.judgeParts(now, req)
	if refusedPart.Reason != "" {
		return decision{refusal: refusedPart}
	}
	candidates := l.candidates(now, req)
	if len(candidates) == 0 {
		return decision{refusal: l.refuseWithoutCandidates(now, req)}
	}
	if req.IsRetry && !req.isReplaced && !l.retryBudget(req.Service.Name).available() {
		return decision{refusal: Refusal{Reason: RefusedRetryBudget, ReplicaCount: len(candidates)}}
	}
	if l.leavesLastSlots(now, req, candidates) {
		return l.shareRefusal(req, len(candidates))
	}
	choose := l.choose
	if isTrial {
		choose = l.chooseForTrial
	}
	plan, refusal := choose(now, req, candidates)
	if refusal.Reason != placement.RefusedNone {
		return decision{refusal: Refusal{Reason: RefusalReason(refusal.Reason), RetryAfter: refusal.RetryAfter, PredictedFirstEvent: refusal.PredictedFirstEvent, ReplicaCount: len(candidates), mayQueue: refusal.CanWait, blockedByOlder: refusal.BlockedByOlderPrompt, waitsForSlot: refusal.WaitsForSlot}}
	}
	if !req.isReplaced {
		l.updateRetryBudget(req)
	}
	primary := l.replica(now, plan.Primary)
	if primary.ColdUntil > now {
		l.coldPlacements[plan.Primary] = append(l.coldPlacements[plan.Primary], now)
	}
	id := l.ledger.AddJob(placement.Job{Plan: plan, PartPrefill: plan.PartPrefill, Tokens: req.Request.PromptTokens + req.Request.OutputTokens, SentAt: now})
	l.addBytes(now, id, plan.Primary, req)
	l.partSends.add(now, id, req.Parts)
	l.chargeAccount(now, id, req)
	if isTrial {
		klog.V(1).InfoS("suspected part tried", "request_id", req.ID, "parts", formatParts(req.Parts), "replica", plan.Primary)
	}
	if len(plan.Helpers) > 0 {
		l.scheduleReport(reportNow)
	} else {
		l.scheduleReport(reportSoon)
	}
	assignment := Assignment{ID: id, Connections: connlimit.NewBounds(req.Service.MaxConnections, len(l.peers)+1, primary.Slots), Target: target(primary), TriesParts: isTrial || l.hasFreshPart(now, req.Parts), HelperReservations: plan.ReservedTokens, PredictedFirstEvent: plan.TimeToFirstEvent, AccountShare: l.accounts.share(now, req.Account)}
	for _, h := range plan.Helpers {
		assignment.Helpers = append(assignment.Helpers, target(l.replica(now, h.ID)))
	}
	for _, c := range candidates {
		if c.ID == plan.Primary {
			assignment.Load = c.Load
			assignment.Measured = l.startSpeedSample(now, id, req, plan, c)
		}
	}
	l.predictCost(now, req, plan, &assignment)
	return decision{assignment: assignment}
}

// rankedReplica is a usable replica with the hashes of its ID.
type rankedReplica struct {
	directory.Replica
	shortID uint32
	rank    uint64
	link    replicaLink
}

// rankedReplicas are the usable replicas of each service in rank order. They are derived
// from one version of the directory.
type rankedReplicas struct {
	version  uint64
	services map[string][]rankedReplica
}

// rankedReplicas returns the usable replicas of a service in rank order.
func (l *Loop) rankedReplicas(now time.Duration, service string) []rankedReplica {
	if v := l.directory.Version(now); l.ranked.services == nil || l.ranked.version != v {
		l.ranked = rankedReplicas{version: v, services: map[string][]rankedReplica{}}
	}
	if list, ok := l.ranked.services[service]; ok {
		return list
	}
	usable := l.directory.Usable(now, service)
	list := make([]rankedReplica, len(usable))
	for i, r := range usable {
		list[i] = rankedReplica{Replica: r, shortID: placement.ShortID(r.ID), rank: placement.HashID(r.ID), link: l.replicaLink(r)}
	}
	slices.SortFunc(list, func(a, b rankedReplica) int { return cmp.Compare(a.rank, b.rank) })
	l.ranked.services[service] = list
	return list
}

func target(r directory.Replica) Target {
	return Target{ID: r.ID, Address: r.Address, StartUnixMs: r.StartUnixMs}
}

// candidates returns the replicas that can take the request, with their loads, in rank
// order. Replicas without a free connection are left out if there are others. The result is
// valid until the next call.
func (l *Loop) candidates(now time.Duration, req PlacementRequest) []placement.Candidate {
	loads := l.ledger.Loads(now)
	l.candidateBuffer = l.candidateBuffer[:0]
	speeds := l.learnedSpeeds(now)
	l.prepareBytes()
	list := l.rankedReplicas(now, req.Service.Name)
	fullCount := 0
	for i, r := range list {
		if !l.health.Usable(now, r.ID) || slices.Contains(req.Excluded, r.ID) || !l.regionAllowed(r.Zone, req.Regions) || !l.hasColdCapacity(now, r.Replica, req.Service) {
			continue
		}
		if !l.hasRoomForBytes(now, list, i, req.BodyBytes) {
			continue
		}
		isFull := r.link.isFull(now)
		if isFull {
			fullCount++
		}
		l.candidateBuffer = append(l.candidateBuffer, placement.Candidate{
			ID: r.ID, Rank: r.rank, Slots: r.Slots, Load: loads[r.shortID],
			Speed: speeds.factor(r.shortID), Delay: r.link.delay + speeds.addedDelay(r.Zone), Connected: r.link.isConnected(now), IsFull: isFull,
		})
	}
	if fullCount > 0 && fullCount < len(l.candidateBuffer) {
		l.candidateBuffer = slices.DeleteFunc(l.candidateBuffer, func(c placement.Candidate) bool { return c.IsFull })
	}
	return l.candidateBuffer
}

// replica returns the replica with the given ID.
func (l *Loop) replica(now time.Duration, id string) directory.Replica {
	r, _ := l.directory.Get(now, id) // candidates come from the directory
	return r
}

func (l *Loop) regionAllowed(zone string, regions []string) bool {
	return len(regions) == 0 || slices.Contains(regions, l.config.Regions[zone])
}

// hasColdCapacity reports whether a replica can take another request now. While it is
// cold, it takes a limited number of requests per second, of which each host uses an equal
// share, but at least one.
func (l *Loop) hasColdCapacity(now time.Duration, r directory.Replica, s *catalog.Service) bool {
	if r.ColdUntil <= now || s.ColdRequestsPerSecond <= 0 {
		delete(l.coldPlacements, r.ID)
		return true
	}
	recent := slices.DeleteFunc(l.coldPlacements[r.ID], func(t time.Duration) bool { return now-t > time.Second })
	l.coldPlacements[r.ID] = recent
	share := max(1, int(s.ColdRequestsPerSecond/float64(len(l.peers)+1)))
	return len(recent) < share
}

// choose applies the placement model to prompts. Calls without a prompt and calls to a
// service without an engine go to the replica with the fewest streams per slot, up to
// maxCallsPerSlot.
func (l *Loop) choose(now time.Duration, req PlacementRequest, candidates []placement.Candidate) (placement.Plan, placement.Refusal) {
	if model, ok := l.models[req.Service.Name]; ok && req.Request.PromptTokens > 0 {
		req.Request.HostCount = len(l.peers) + 1
		req.Request.UnreportedPrompts = l.ledger.ExpectedStarts(now, l.reportingDelay())
		if l.config.Placement.WaitForSlots {
			req.Request.UnreportedPrompts = l.ledger.ExpectedPeerStarts(now, l.reportingDelay()) + float64(l.silentPeerCount(now))
			req.Request.WaitingAtPeers = l.waiting.atPeers(now)
		}
		return placement.Choose(model, l.config.Placement, candidates, req.Request)
	}
	best := slices.MinFunc(candidates, func(x, y placement.Candidate) int {
		return cmp.Or(cmp.Compare(x.Load.Streams*y.Slots, y.Load.Streams*x.Slots), cmp.Compare(x.Delay, y.Delay), l.compareWork(x, y), compareConnected(req.ID, x, y), cmp.Compare(placement.HashID(x.ID+req.ID), placement.HashID(y.ID+req.ID)))
	})
	if best.Load.Streams >= best.Slots*maxCallsPerSlot {
		return placement.Plan{}, placement.Refusal{Reason: placement.RefusedNoPlace, RetryAfter: req.Request.Objective}
	}
	return placement.Plan{Service: req.Service.Name, Primary: best.ID}, placement.Refusal{}
}

// serviceBudget is the retry budget of one service.
type serviceBudget struct {
	loop   *Loop
	name   string
	policy retry.Policy
}

func (l *Loop) retryBudget(service string) serviceBudget {
	hosts := float64(len(l.peers) + 1)
	return serviceBudget{l, service, retry.Policy{RetryRatio: l.config.RetryLimits.Share * retryBudgetShare, Burst: max(1, l.config.RetryLimits.Slack*retryBudgetShare/hosts)}}
}

func (b serviceBudget) state() retry.Budget {
	s, ok := b.loop.budgets[b.name]
	if !ok {
		s = retry.NewBudget(b.policy, time.Now())
	}
	return s
}

func (b serviceBudget) available() bool {
	_, ok := b.state().Take(b.policy, time.Now())
	return ok
}

// updateRetryBudget records a send in the retry budget of its service: first sends
// add to it, retries draw on it.
func (l *Loop) updateRetryBudget(req PlacementRequest) {
	b := l.retryBudget(req.Service.Name)
	s := b.state()
	if req.IsRetry {
		s, _ = s.Take(b.policy, time.Now())
	} else {
		s = s.RecordFirstAttempt(b.policy, time.Now())
	}
	l.budgets[req.Service.Name] = s
}

func (l *Loop) handleSendEnded(now time.Duration, m sendEnded) {
	service := l.ledger.RemoveJob(now, m.assignmentID)
	l.observeCost(now, m)
	l.endSpeedSample(m.assignmentID)
	l.correctCharge(now, m)
	l.removeBytes(now, m.assignmentID)
	send := l.partSends.remove(m.assignmentID)
	m.parts = send.parts
	l.scheduleReport(l.endUrgency(now, service))
	if m.target.ID == "" {
		return
	}
	if service != "" {
		defer l.offerFreedSlot(now, service, m.target.ID)
	}
	l.recordTurnedAway(now, m.target.ID, m.result.ConnectionErr)
	if l.health.Record(now, m.target.ID, m.result.Outcome) {
		klog.V(1).InfoS("replica out of use", "replica", m.target.ID, "outcome", m.result.Outcome)
		if l.health.IsUnreachable(m.target.ID) {
			l.scheduleProbe(m.target.ID, 0)
			l.scheduleReport(reportNow)
		}
	}
	if m.result.MayHaveCrashed {
		l.recordBrokenSend(now, m)
		return
	}
	if m.result.Finished {
		l.suspects.Clear(time.Now(), m.fingerprint)
		l.recordPartAnswer(now, m.target.ID, send)
	}
}
