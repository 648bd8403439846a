package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// idleRead is the reading that does not count as a load.
	idleRead = 5 * time.Millisecond
	// settle is added to the reading time of a large part in the queue of its
	// replica. Predictions are off by tens of milliseconds, and a new part would
	// go before what is left of the old one.
	settle = 40 * time.Millisecond
)

// chooseLarge takes replicas without other reading. Together they read one large
// prompt after the other.
func (c *chooser) chooseLarge() (Plan, Refusal) {
	var idle, writers []Candidate
	var backlog time.Duration
	readers := 0
	reserved := int(math.Ceil(c.policy.ShortReplicaShare * float64(len(c.nodes))))
	for i, n := range slices.Backward(c.nodes) {
		if n.Load.Streams > 0 && !c.loose(n) || i < reserved {
			continue
		}
		readers++
		backlog += n.Load.QueuedPrefill
		switch {
		case n.Load.QueuedPrefill > idleRead:
		case n.Load.Streams > 0:
			writers = append(writers, n)
		default:
			idle = append(idle, n)
		}
	}
	plan := c.planLarge(writers, idle, max(c.policy.MaxLargePart, c.whole*5/4/time.Duration(max(1, readers)))+c.request.Waited)
	limit := min(time.Duration(c.policy.LongLateFactor*float64(c.request.Objective)), c.request.TimeLeft)
	if plan.Primary != "" && plan.TimeToFirstEvent <= limit {
		return c.queue(plan)
	}
	if readers == 0 {
		return Plan{}, Refusal{Reason: RefusedNoPlace, RetryAfter: c.request.Objective / 2}
	}
	pooled := (backlog+c.request.QueuedPrefill+c.whole)/time.Duration(readers) + c.model.PassTime(1, c.request.PromptTokens)
	return Plan{}, Refusal{Reason: RefusedTooLate, PredictedFirstEvent: pooled, RetryAfter: max(c.request.Objective/4, pooled-limit/2), CanWait: pooled <= limit}
}

// planLarge lets a replica that writes loose streams already answer, so that few
// replicas write. If none has room, or after a while, one without streams answers.
func (c *chooser) planLarge(writers, idle []Candidate, maxPart time.Duration) Plan {
	slices.SortStableFunc(writers, func(a, b Candidate) int { return cmp.Compare(b.Load.Streams, a.Load.Streams) })
	roomy := false
	for _, w := range writers {
		if !c.hasRoom(w) {
			continue
		}
		roomy = true
		if p := c.share(w, idle, writers, min(maxPart, c.budget(w, c.request.MaxGap, w.Load.Streams+1))); p.Primary != "" {
			return p
		}
	}
	patience := time.Duration(c.policy.DecoderWaitShare * float64(c.request.Objective))
	i := slices.IndexFunc(idle, c.hasRoom)
	if i < 0 || roomy && c.request.Waited < patience {
		return Plan{}
	}
	return c.share(idle[i], idle, writers, maxPart)
}

// share returns the plan with the smallest parts, or none if they are larger
// than the limit. Writers help with parts that fit into their passes.
func (c *chooser) share(first Candidate, idle, writers []Candidate, limit time.Duration) Plan {
	most := min(int(c.whole/c.policy.MinLargePart)+1, c.policy.MaxHelpers+1, len(idle)+len(writers)+1)
	for parts := most; parts > 0; parts-- {
		part := c.model.PartPrefill(c.request.PromptTokens, parts)
		if part > limit {
			break
		}
		var helpers []Candidate
		for _, n := range slices.Concat(idle, writers) {
			if n.ID != first.ID && len(helpers) < parts-1 && part+n.Load.QueuedPrefill <= c.budget(n, 0, n.Load.Streams) {
				helpers = append(helpers, n)
			}
		}
		if len(helpers) == parts-1 {
			p := c.plan(first, helpers)
			p.PartPrefill += settle
			return p
		}
	}
	return Plan{}
}

// chooseBeyond places a prompt beyond one replica's memory: what the first
// replica can't hold is reserved at helpers.
func (c *chooser) chooseBeyond() (Plan, Refusal) {
	if c.need() > len(c.nodes)*c.memory() {
		return Plan{}, Refusal{Reason: RefusedTooLarge}
	}
	free, _ := c.helpers()
	held := map[string]int{}
	var first Candidate
	var holders, readers []Candidate
	rest := c.need()
	for _, n := range free {
		room := c.memory() - n.Load.Tokens
		switch {
		case n.Load.HelpedPrompts > 0 || n.Load.Streams > 0 || n.Load.QueuedPrefill > idleRead:
			// A part of a prompt this long fits no pass beside other streams.
		case rest <= 0 || room < c.memory()/2:
			readers = append(readers, n)
		case first.ID == "":
			first = n
			rest -= room
		default:
			held[n.ID] = min(room, rest)
			rest -= room
			holders = append(holders, n)
		}
	}
	if rest > 0 || first.ID == "" {
		return Plan{}, Refusal{Reason: RefusedNoPlace, RetryAfter: c.request.Objective / 2, CanWait: len(free) > 2}
	}
	helpers := slices.Concat(holders, readers)
	plan := c.plan(first, helpers[:min(len(helpers), c.policy.MaxHelpers)])
	plan.ReservedTokens = held
	if p, r := c.judge(plan, c.policy.LongLateFactor); r.Reason != RefusedNone {
		return p, r
	}
	return c.queue(plan)
}

// queue lets an older prompt go first.
func (c *chooser) queue(plan Plan) (Plan, Refusal) {
	if c.request.OlderPromptQueued {
		return Plan{}, Refusal{Reason: RefusedTooLate, RetryAfter: c.request.Objective / 4, PredictedFirstEvent: plan.TimeToFirstEvent, CanWait: true, BlockedByOlderPrompt: true}
	}
	return plan, Refusal{}
}
