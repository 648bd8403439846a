package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Candidate is a replica that can be chosen for the request, with its current
// load.
type Candidate struct {
	ID string
	// Rank is HashID of the ID. Choose sets it if it is 0.
	Rank  uint64
	Slots int
	Load  Load
	// Speed is the factor by which prefill and passes take longer than by the engine's
	// configuration; 0 and 1 are nominal.
	Speed float64
	// Delay is the round trip time to the replica.
	Delay time.Duration
	// Connected is set if this host has an idle connection to the replica.
	Connected bool
	// IsFull is set if a request would probably wait for a connection to the replica.
	IsFull bool
}

// Request describes a prompt to be placed.
type Request struct {
	Service      string
	PromptTokens int
	OutputTokens int
	// Objective is the target for the time to the first event, less the time
	// that the prompt has already waited; TimeLeft is the time until the
	// caller's or the route's deadline.
	Objective time.Duration
	TimeLeft  time.Duration
	// MaxGap is the target for the longest gap between two events.
	MaxGap time.Duration
	// HostCount is the number of hosts that place requests concurrently.
	HostCount int
	// UnreportedPrompts is the expected number of prompts that other hosts have
	// placed and not reported yet.
	UnreportedPrompts float64
	// Hash spreads requests over equally suitable replicas.
	Hash uint64
	// Waited is how long the prompt has been queued for replicas so far.
	Waited time.Duration
	// QueuedPrefill is the prefill time of the prompts queued ahead of this
	// one.
	QueuedPrefill time.Duration
	// OlderPromptQueued is set while free replicas are left to an older large
	// prompt that is queued at another host.
	OlderPromptQueued bool
	// FreedReplica is a replica at which a stream of this host has just ended. Other hosts do
	// not know yet that its slot is free. Empty for none.
	FreedReplica string
	// WaitingAtPeers is the number of short prompts that wait for a slot at other hosts.
	WaitingAtPeers int
	// LateAnyway is set if the caller has already waited for longer than the objective.
	LateAnyway bool
}

// Helper is a replica that prefills one part of a prompt on behalf of the
// primary.
type Helper struct{ ID string }

// Plan assigns a prompt to a primary replica, which generates the answer, and
// to the helpers that prefill parts of the prompt.
type Plan struct {
	Service string
	Primary string
	Helpers []Helper
	// ReservedTokens is the memory, in tokens, to reserve at helpers, by
	// replica ID.
	ReservedTokens map[string]int
	// MaxGap is the longest allowed gap between the stream's events.
	MaxGap time.Duration
	// PartPrefill is the prefill time of each replica's part at the slowest of them, for a
	// large prompt with a margin; TimeToFirstEvent is the predicted time to the first event.
	PartPrefill      time.Duration
	TimeToFirstEvent time.Duration
	// ByWork is set if the predicted rest of running requests has decided between replicas with
	// as many streams per slot.
	ByWork bool
}

// Refusal is the reason why no replica was chosen for a prompt.
type Refusal struct {
	Reason RefusalReason
	// RetryAfter is the delay before a retry can succeed; 0 if it never can.
	RetryAfter          time.Duration
	PredictedFirstEvent time.Duration
	// CanWait is set if the prompt may be queued for replicas instead of being
	// refused.
	CanWait bool
	// BlockedByOlderPrompt is set if the prompt could be placed now but an
	// older one goes first.
	BlockedByOlderPrompt bool
	// WaitsForSlot is set, in addition to CanWait, for a short prompt that finds no free
	// slot.
	WaitsForSlot bool
}

// RefusalReason is the cause of a refusal.
type RefusalReason string

// Refusal reasons.
const (
	RefusedNone     RefusalReason = ""
	RefusedNoPlace  RefusalReason = "no_place"
	RefusedTooLate  RefusalReason = "too_late"
	RefusedTooLarge RefusalReason = "too_large"
)

type chooser struct {
	model       Model
	policy      Policy
	request     Request
	fullPrefill time.Duration
	// candidates are in rank order: sorted by HashID, so that all hosts fill them
	// with short prompts in the same order.
	candidates []Candidate
	// byWork is the ByWork of the plan.
	byWork bool
	// uneven is set if a candidate has a delay or a speed that is not nominal. leastSlowdown
	// is the slowdown of the fastest candidate.
	uneven        bool
	leastSlowdown float64
}

// Choose returns the plan for a prompt, or the reason why none was found. It may
// reorder the candidates.
func Choose(m Model, p Policy, candidates []Candidate, r Request) (Plan, Refusal) {
	c := chooser{model: m, policy: p, request: r, candidates: candidates, fullPrefill: m.PartPrefill(r.PromptTokens, 1)}
	c.sortByRank()
	c.findUnevenness()
	switch {
	case c.requiredTokens() > c.usableMemory():
		return c.chooseOversized()
	case c.fullPrefill <= c.maxShortPrefill():
		if p.WaitForSlots {
			return c.chooseShortBySlots()
		}
		return c.chooseShort()
	case c.fullPrefill <= p.LargePromptPrefill:
		return c.chooseLong()
	}
	return c.chooseLarge()
}

// maxShortPrefill returns the prefill time up to which a prompt counts as short. With
// WaitForSlots, one that does not fit into a pass of a replica with all slots in use counts as
// long, since it would exceed the gap limits of all streams there.
func (c *chooser) maxShortPrefill() time.Duration {
	limit := c.policy.LongPromptPrefill
	if !c.policy.WaitForSlots || c.request.MaxGap == 0 {
		return limit
	}
	e := c.model.engine
	budget := time.Duration(c.policy.PassGapShare*float64(c.request.MaxGap)) - c.model.PassTime(e.Slots, e.Slots*c.request.PromptTokens)
	return min(limit, max(budget, limit/2))
}

// sortByRank sorts the candidates, which are usually sorted already.
func (c *chooser) sortByRank() {
	for i := range c.candidates {
		if c.candidates[i].Rank == 0 {
			c.candidates[i].Rank = HashID(c.candidates[i].ID)
		}
	}
	byRank := func(a, b Candidate) int { return cmp.Compare(a.Rank, b.Rank) }
	if !slices.IsSortedFunc(c.candidates, byRank) {
		slices.SortFunc(c.candidates, byRank)
	}
}

func (c *chooser) usableMemory() int {
	return int(float64(c.model.engine.MemoryTokens) * c.policy.MemoryShare)
}

func (c *chooser) requiredTokens() int { return c.request.PromptTokens + c.request.OutputTokens }

func (c *chooser) hasRoom(replica Candidate) bool {
	return replica.Load.Streams < replica.Slots && replica.Load.Tokens+c.requiredTokens() <= c.usableMemory()
}

// chooseShort fills replicas in rank order, so that the others stay free to
// prefill long prompts. Among the replicas needed for the current streams, it
// picks two by the request's hash and takes the less loaded one: hosts learn of
// each other's requests only after milliseconds and would otherwise all fill
// the same replica.
func (c *chooser) chooseShort() (Plan, Refusal) {
	for _, list := range []func() []Candidate{c.shortPromptReplicas, c.relaxedReplicas} {
		if replica, ok := c.pickShort(list()); ok {
			p := c.makePlan(replica, nil)
			p.ByWork = c.byWork
			return p, Refusal{}
		}
	}
	return c.refuseIfLate(c.earliestShortPlan(c.candidates), c.policy.ShortLateFactor)
}

// minShortReplicas is the minimum number of replicas with several free slots to choose from
// for a short prompt, so that the prompts that hosts place before they know of each other's
// spread over them.
func (c *chooser) minShortReplicas() int {
	return max(1, int(math.Ceil(c.policy.UnreportedSpread*c.request.UnreportedPrompts)))
}

// hasSeveralSlots reports whether a replica can take prompts that are not reported yet.
func (c *chooser) hasSeveralSlots(replica Candidate) bool {
	return replica.Slots-replica.Load.Streams >= c.policy.SeveralSlots
}

// relaxedReplicas returns relaxed replicas that short prompts may use if no others can take
// them.
func (c *chooser) relaxedReplicas() []Candidate {
	var eligible []Candidate
	for _, replica := range c.candidates {
		if len(eligible) >= c.minShortReplicas() {
			break
		}
		if c.isRelaxed(replica) && c.meetsShortTarget(replica) {
			eligible = append(eligible, replica)
		}
	}
	return eligible
}

// earliestShortPlan returns a plan for one of those replicas with the earliest predicted first
// events, or an empty plan if none has room.
func (c *chooser) earliestShortPlan(replicas []Candidate) Plan {
	var plans []Plan
	for _, replica := range replicas {
		if c.hasRoom(replica) {
			plans = append(plans, c.makePlan(replica, nil))
		}
	}
	if len(plans) == 0 {
		return Plan{}
	}
	slices.SortStableFunc(plans, func(a, b Plan) int { return cmp.Compare(a.TimeToFirstEvent, b.TimeToFirstEvent) })
	return plans[c.request.Hash%uint64(min(len(plans), c.minShortReplicas()))]
}

func (c *chooser) meetsShortTarget(replica Candidate) bool {
	target := time.Duration(c.policy.ShortTargetShare * float64(c.request.Objective))
	return c.hasRoom(replica) && c.timeToFirstEvent(replica, 1) <= target && (!c.policy.WaitForSlots || c.fitsGap(replica))
}

// shortPromptReplicas returns the replicas that short prompts may fill now: the
// first ones in rank order whose slots cover the running streams and a reserve,
// and further ones up to minShortReplicas, less those that miss the short target.
// Relaxed replicas are not considered.
func (c *chooser) shortPromptReplicas() []Candidate {
	streams := 0
	for _, replica := range c.candidates {
		if !c.isRelaxed(replica) {
			streams += replica.Load.Streams
		}
	}
	neededSlots := c.policy.ReservedSlotsPerHost*float64(max(1, c.request.HostCount)) + float64(streams)
	withSeveralSlots := 0
	// Usually enough for the replicas of short prompts.
	eligible := make([]Candidate, 0, len(c.candidates)/4+1)
	for _, replica := range c.candidates {
		if neededSlots <= 0 && withSeveralSlots >= c.minShortReplicas() {
			break
		}
		if c.isRelaxed(replica) {
			continue
		}
		neededSlots -= c.policy.SlotFillShare * float64(replica.Slots) / replica.slowdown()
		if !c.meetsShortTarget(replica) {
			continue
		}
		eligible = append(eligible, replica)
		if c.hasSeveralSlots(replica) && !c.isSlow(replica) {
			withSeveralSlots++
		}
	}
	return eligible
}

// isRelaxed reports whether a replica is decoding and all its streams tolerate
// long gaps.
func (c *chooser) isRelaxed(replica Candidate) bool {
	return replica.Load.Streams > 0 && (replica.Load.MaxGap == 0 || replica.Load.MaxGap >= c.policy.RelaxedGap)
}

// prefillBudget returns the prefill time that fits into one pass of a replica
// with the given number of streams. The pass may take PassGapShare of the shorter
// of the given gap and that of the replica's streams; without either, an hour.
func (c *chooser) prefillBudget(replica Candidate, gap time.Duration, streams int) time.Duration {
	gap = shorterGap(replica.Load.MaxGap, gap)
	if gap == 0 {
		return time.Hour
	}
	return time.Duration(c.policy.PassGapShare*float64(gap)) - scaleTime(c.model.PassTime(streams, replica.Load.Tokens), replica.slowdown())
}

// timeToFirstEvent predicts the time to the first event at a replica that
// prefills one of several equal parts.
func (c *chooser) timeToFirstEvent(replica Candidate, parts int) time.Duration {
	part, factor := c.model.PartPrefill(c.request.PromptTokens, parts), replica.slowdown()
	// The queued prefill is in real time, see Plan.PartPrefill, and the model's is nominal.
	ahead := scaleTime(replica.Load.QueuedPrefill, 1/factor)
	return replica.Delay + scaleTime(c.model.TimeToFirstEvent(part, ahead, replica.Load.Streams, replica.Load.Tokens+c.request.PromptTokens), factor)
}

func (c *chooser) makePlan(primary Candidate, helpers []Candidate) Plan {
	p := Plan{Service: c.request.Service, Primary: primary.ID, MaxGap: c.request.MaxGap}
	part := c.model.PartPrefill(c.request.PromptTokens, len(helpers)+1)
	passTime := scaleTime(c.model.PassTime(primary.Load.Streams+1, primary.Load.Tokens+c.request.PromptTokens), primary.slowdown())
	slowest := primary.slowdown()
	p.TimeToFirstEvent = c.timeToFirstEvent(primary, len(helpers)+1)
	for _, h := range helpers {
		// A helper prefills the newest part first, so its queued prefill does
		// not count.
		partTime := part
		if h.Load.Streams > 0 {
			partTime += c.model.PassTime(h.Load.Streams, h.Load.Tokens) / 2
		}
		p.Helpers = append(p.Helpers, Helper{ID: h.ID})
		p.TimeToFirstEvent = max(p.TimeToFirstEvent, primary.Delay+scaleTime(partTime, h.slowdown())+passTime)
		slowest = max(slowest, h.slowdown())
	}
	p.PartPrefill = scaleTime(part, slowest)
	return p
}

// refuseIfLate returns the plan, or a refusal if it is empty or its first event
// comes too late.
func (c *chooser) refuseIfLate(best Plan, lateFactor float64) (Plan, Refusal) {
	if best.Primary == "" {
		return Plan{}, Refusal{Reason: RefusedNoPlace, RetryAfter: c.request.Objective / 2}
	}
	limit := min(time.Duration(lateFactor*float64(c.request.Objective)), c.request.TimeLeft)
	if best.TimeToFirstEvent > limit {
		return Plan{}, Refusal{Reason: RefusedTooLate, RetryAfter: best.TimeToFirstEvent - limit/2, PredictedFirstEvent: best.TimeToFirstEvent}
	}
	return best, Refusal{}
}
