package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxIdlePrefill is the queued prefill up to which a replica counts as idle.
	maxIdlePrefill = 5 * time.Millisecond
	// prefillMargin is added to the prefill time of a large part in its
	// replica's queue. Predictions are off by tens of milliseconds, and a new
	// part that arrives early would run before the rest of the old one.
	prefillMargin = 40 * time.Millisecond
)

// chooseLarge uses replicas without other prefill, so that large prompts are
// prefilled one after the other, each by many replicas.
func (c *chooser) chooseLarge() (Plan, Refusal) {
	if fast := c.fastCandidates(); len(fast) < len(c.candidates) {
		withoutSlow := *c
		withoutSlow.candidates = fast
		if plan, refusal := withoutSlow.chooseLargeOf(); refusal.Reason == RefusedNone || refusal.CanWait {
			return plan, refusal
		}
	}
	return c.chooseLargeOf()
}

// chooseLargeOf is chooseLarge for all of the candidates, slow ones included.
func (c *chooser) chooseLargeOf() (Plan, Refusal) {
	var idle, decoding []Candidate
	var backlog time.Duration
	available := 0
	reserved := int(math.Ceil(c.policy.ShortReplicaShare * float64(len(c.candidates))))
	for i, replica := range slices.Backward(c.candidates) {
		if replica.Load.Streams > 0 && !c.isRelaxed(replica) || i < reserved {
			continue
		}
		available++
		backlog += replica.Load.QueuedPrefill
		switch {
		case replica.Load.QueuedPrefill > maxIdlePrefill:
		case replica.Load.Streams > 0:
			decoding = append(decoding, replica)
		default:
			idle = append(idle, replica)
		}
	}
	// Parts may exceed MaxLargePart if too few replicas are available, and in any
	// case by as much as the prompt has waited.
	plan := c.planLarge(decoding, idle, max(c.policy.MaxLargePart, c.fullPrefill*5/4/time.Duration(max(1, available)))+c.request.Waited)
	limit := min(time.Duration(c.policy.LongLateFactor*float64(c.request.Objective)), c.request.TimeLeft)
	if plan.Primary != "" && plan.TimeToFirstEvent <= limit {
		return c.deferToOlderPrompt(plan)
	}
	if available == 0 {
		return Plan{}, Refusal{Reason: RefusedNoPlace, RetryAfter: c.request.Objective / 2}
	}
	pooledFirstEvent := (backlog+c.request.QueuedPrefill+c.fullPrefill)/time.Duration(available) + c.model.PassTime(1, c.request.PromptTokens)
	return Plan{}, Refusal{Reason: RefusedTooLate, PredictedFirstEvent: pooledFirstEvent, RetryAfter: max(c.request.Objective/4, pooledFirstEvent-limit/2), CanWait: pooledFirstEvent <= limit}
}

// planLarge prefers a primary that is already decoding relaxed streams, so that
// few replicas decode. If none has room, or after a wait, it uses an idle one.
func (c *chooser) planLarge(decoding, idle []Candidate, maxPart time.Duration) Plan {
	slices.SortStableFunc(decoding, func(a, b Candidate) int { return cmp.Compare(b.Load.Streams, a.Load.Streams) })
	decoderHasRoom := false
	for _, d := range decoding {
		if !c.hasRoom(d) {
			continue
		}
		decoderHasRoom = true
		if p := c.planParts(d, idle, decoding, min(maxPart, c.prefillBudget(d, c.request.MaxGap, d.Load.Streams+1))); p.Primary != "" {
			return p
		}
	}
	maxDecoderWait := time.Duration(c.policy.DecoderWaitShare * float64(c.request.Objective))
	i := slices.IndexFunc(idle, c.hasRoom)
	if i < 0 || decoderHasRoom && c.request.Waited < maxDecoderWait {
		return Plan{}
	}
	return c.planParts(idle[i], idle, decoding, maxPart)
}

// planParts returns the plan with the smallest parts, or an empty plan if they
// exceed the limit. Decoding replicas help with parts that fit into their
// passes.
func (c *chooser) planParts(primary Candidate, idle, decoding []Candidate, limit time.Duration) Plan {
	maxParts := min(int(c.fullPrefill/c.policy.MinLargePart)+1, c.policy.MaxHelpers+1, len(idle)+len(decoding)+1)
	for parts := maxParts; parts > 0; parts-- {
		part := c.model.PartPrefill(c.request.PromptTokens, parts)
		if part > limit {
			break
		}
		var helpers []Candidate
		for _, replica := range slices.Concat(idle, decoding) {
			if replica.ID != primary.ID && len(helpers) < parts-1 && scaleTime(part, replica.slowdown())+replica.Load.QueuedPrefill <= c.prefillBudget(replica, 0, replica.Load.Streams) {
				helpers = append(helpers, replica)
			}
		}
		if len(helpers) == parts-1 {
			p := c.makePlan(primary, helpers)
			p.PartPrefill += prefillMargin
			return p
		}
	}
	return Plan{}
}

// chooseOversized places a prompt that exceeds one replica's memory: what the
// primary cannot hold is reserved at helpers.
func (c *chooser) chooseOversized() (Plan, Refusal) {
	if c.requiredTokens() > len(c.candidates)*c.usableMemory() {
		return Plan{}, Refusal{Reason: RefusedTooLarge}
	}
	preferred, _ := c.helperCandidates()
	reserved := map[string]int{}
	var primary Candidate
	var reservedHelpers, otherHelpers []Candidate
	remaining := c.requiredTokens()
	for _, replica := range preferred {
		room := c.usableMemory() - replica.Load.Tokens
		switch {
		case replica.Load.HelpedPrompts > 0 || replica.Load.Streams > 0 || replica.Load.QueuedPrefill > maxIdlePrefill:
			// Only idle replicas take part: a part of a prompt this long does not
			// fit into a pass beside other streams, and would delay any prefill
			// that is queued.
		case remaining <= 0 || room < c.usableMemory()/2:
			otherHelpers = append(otherHelpers, replica)
		case primary.ID == "":
			primary = replica
			remaining -= room
		default:
			reserved[replica.ID] = min(room, remaining)
			remaining -= room
			reservedHelpers = append(reservedHelpers, replica)
		}
	}
	if remaining > 0 || primary.ID == "" {
		return Plan{}, Refusal{Reason: RefusedNoPlace, RetryAfter: c.request.Objective / 2, CanWait: len(preferred) > 2}
	}
	helpers := slices.Concat(reservedHelpers, otherHelpers)
	plan := c.makePlan(primary, helpers[:min(len(helpers), c.policy.MaxHelpers)])
	plan.ReservedTokens = reserved
	if p, r := c.refuseIfLate(plan, c.policy.LongLateFactor); r.Reason != RefusedNone {
		return p, r
	}
	return c.deferToOlderPrompt(plan)
}

// deferToOlderPrompt refuses the plan for now if free replicas are left to an
// older prompt.
func (c *chooser) deferToOlderPrompt(plan Plan) (Plan, Refusal) {
	if c.request.OlderPromptQueued {
		return Plan{}, Refusal{Reason: RefusedTooLate, RetryAfter: c.request.Objective / 4, PredictedFirstEvent: plan.TimeToFirstEvent, CanWait: true, BlockedByOlderPrompt: true}
	}
	return plan, Refusal{}
}
