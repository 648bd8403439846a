package placement

import (
	"cmp"
	"slices"
	"time"
)

// chooseLong splits the prefill over several replicas, which run the newest part
// first. Replicas that are already decoding are preferred as the primary, so that
// the others can prefill without delaying any stream.
func (c *chooser) chooseLong() (Plan, Refusal) {
	helpers, fallback := c.helperCandidates()
	order := slices.Clone(c.candidates)
	if c.request.MaxGap == 0 || c.request.MaxGap >= c.policy.RelaxedGap {
		slices.Reverse(order)
	}
	// The sort is stable to keep the order among decoding replicas and among
	// the others.
	slices.SortStableFunc(order, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(c.slowRank(a), c.slowRank(b)), cmp.Compare(min(b.Load.Streams, 1), min(a.Load.Streams, 1)))
	})
	var best Plan
	var bestCost time.Duration
	for _, replica := range order {
		if !c.hasRoom(replica) {
			continue
		}
		p := c.planFastest(replica, helpers, fallback)
		part := scaleTime(c.model.PartPrefill(c.request.PromptTokens, len(p.Helpers)+1), replica.slowdown())
		overrun := max(0, part+replica.Load.QueuedPrefill-c.prefillBudget(replica, c.request.MaxGap, replica.Load.Streams+1))
		if p.TimeToFirstEvent <= c.request.Objective && overrun == 0 {
			return p, Refusal{}
		}
		// A pass that takes too long delays all streams of the replica.
		cost := p.TimeToFirstEvent + overrun*time.Duration(replica.Load.Streams)
		if best.Primary == "" || cost < bestCost {
			best, bestCost = p, cost
		}
	}
	return c.refuseIfLate(best, c.policy.LongLateFactor)
}

// helperCandidates returns the replicas that may prefill for others, those with
// the least queued prefill first, and separately those to use only if the first
// ones do not suffice.
func (c *chooser) helperCandidates() (preferred, fallback []Candidate) {
	for _, replica := range slices.Backward(c.candidates) {
		switch {
		case replica.Load.HelpedPrompts >= replica.Slots-1:
		case !c.isSlow(replica) && (replica.Load.Streams == 0 || c.isRelaxed(replica)):
			preferred = append(preferred, replica)
		default:
			fallback = append(fallback, replica)
		}
	}
	byWork := func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(c.slowRank(a), c.slowRank(b)), cmp.Compare(a.Load.QueuedPrefill, b.Load.QueuedPrefill))
	}
	slices.SortStableFunc(preferred, byWork)
	slices.SortStableFunc(fallback, byWork)
	return preferred, fallback
}

// planFastest adds helpers one by one, the fallback ones only while the objective
// is missed, and returns the plan with the earliest first event of those tried.
func (c *chooser) planFastest(primary Candidate, preferred, fallback []Candidate) Plan {
	best := c.makePlan(primary, nil)
	var helpers []Candidate
	consider := func(replica Candidate) {
		part := c.model.PartPrefill(c.request.PromptTokens, len(helpers)+2)
		if replica.ID == primary.ID || len(helpers) == c.policy.MaxHelpers || part < c.policy.MinPart ||
			part+replica.Load.QueuedPrefill > c.prefillBudget(replica, 0, replica.Load.Streams) {
			return
		}
		helpers = append(helpers, replica)
		if p := c.makePlan(primary, helpers); p.TimeToFirstEvent < best.TimeToFirstEvent {
			best = p
		}
	}
	for _, replica := range preferred {
		consider(replica)
	}
	if best.TimeToFirstEvent <= c.request.Objective {
		return best
	}
	for _, replica := range fallback {
		consider(replica)
	}
	return best
}
