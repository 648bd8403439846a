package placement

import (
	"math"
	"time"
)

const (
	// firstEventMargin is the factor by which the first event may come later than predicted.
	// Predictions contain neither the link to the caller nor the time until the replica's
	// current pass ends at its latest.
	firstEventMargin = 1.3
	// maxSurplusChance is the accepted chance that a prompt finds no slot at its replica
	// because other hosts have placed prompts there that are not reported yet.
	maxSurplusChance = 0.05
	// maxFreeSlotMargin limits the free slots that a replica must have.
	maxFreeSlotMargin = 4
	// gapMargin is the share of the strictest gap limit at a replica that a pass with the
	// prefill of a short prompt may take; the rest is for the link and for a second prompt.
	gapMargin = 0.85
)

// chooseShortBySlots places a short prompt only where it finds a free slot, and otherwise lets
// it wait for one. A prompt beyond the slots of its replica waits there for the end of a
// stream, which takes far longer than its objective, and no other replica can take it.
func (c *chooser) chooseShortBySlots() (Plan, Refusal) {
	if i := c.indexOf(c.request.FreedReplica); i >= 0 && c.canStartInTime(c.candidates[i]) {
		return c.makePlan(c.candidates[i], nil), Refusal{}
	}
	if c.request.LateAnyway && !c.hasSpareSlots() {
		return Plan{}, c.slotRefusal()
	}
	for _, replicas := range [][]Candidate{c.shortPromptReplicas(), c.relaxedReplicas(), c.inTimeReplicas()} {
		if replica, ok := c.pickShort(c.withFreeSlots(replicas)); ok {
			p := c.makePlan(replica, nil)
			p.ByWork = c.byWork
			return p, Refusal{}
		}
	}
	// The prefill that is queued at the replicas with free slots makes the prompt late, but less
	// than a refusal: replicas prefill new short prompts before most of it.
	if plan := c.earliestShortPlan(c.withFreeSlots(c.replicasWithRoom())); plan.Primary != "" {
		return c.refuseIfLate(plan, c.policy.ShortLateFactor)
	}
	return Plan{}, c.slotRefusal()
}

func (c *chooser) replicasWithRoom() []Candidate {
	var replicas []Candidate
	for _, replica := range c.candidates {
		if c.hasRoom(replica) {
			replicas = append(replicas, replica)
		}
	}
	return replicas
}

func (c *chooser) slotRefusal() Refusal {
	return Refusal{Reason: RefusedNoPlace, RetryAfter: c.slotRetryAfter(), PredictedFirstEvent: c.bestFirstEvent(), CanWait: true, WaitsForSlot: true}
}

func (c *chooser) indexOf(id string) int {
	if id == "" {
		return -1
	}
	for i := range c.candidates {
		if c.candidates[i].ID == id {
			return i
		}
	}
	return -1
}

// canStartInTime reports whether a replica has a free slot and is expected to send the first
// event within the objective, without exceeding the gap limit of its streams.
func (c *chooser) canStartInTime(replica Candidate) bool {
	if !c.hasRoom(replica) || !c.fitsGap(replica) {
		return false
	}
	return c.request.LateAnyway || time.Duration(firstEventMargin*float64(c.timeToFirstEvent(replica, 1))) <= c.request.Objective
}

// fitsGap reports whether the prefill that is queued at a replica and, if it has streams, that of
// the prompt fit into a pass. The gap limits of its streams and that of the prompt bind.
func (c *chooser) fitsGap(replica Candidate) bool {
	gap := shorterGap(replica.Load.MaxGap, c.request.MaxGap)
	if gap == 0 {
		return true
	}
	pass := c.model.PassTime(replica.Load.Streams+1, replica.Load.Tokens+c.request.PromptTokens) + replica.Load.QueuedPrefill
	if replica.Load.Streams > 0 {
		pass += c.fullPrefill
	}
	return pass <= time.Duration(gapMargin*float64(gap))
}

// inTimeReplicas returns all replicas that can start the prompt in time. It does not leave any
// of them free for the prefill of long prompts.
func (c *chooser) inTimeReplicas() []Candidate {
	var replicas []Candidate
	for _, replica := range c.candidates {
		if c.canStartInTime(replica) {
			replicas = append(replicas, replica)
		}
	}
	return replicas
}

// withFreeSlots returns the replicas at which the prompt can be expected to find a free slot:
// those with at least as many free slots as other hosts may have filled and not reported yet.
// These prompts spread over the same replicas, so that their number at one of them has a Poisson
// distribution. The fewer free slots a replica needs, the more replicas there are to spread over.
//
// All hosts learn of a free slot at the same time, and all prompts that wait would go there. If
// there are more of them than slots, only some hosts try at a time.
func (c *chooser) withFreeSlots(replicas []Candidate) []Candidate {
	var counts [maxFreeSlotMargin + 1]int // replicas with at least so many free slots
	for _, replica := range replicas {
		for n := range min(replica.Slots-replica.Load.Streams, maxFreeSlotMargin) {
			counts[n+1]++
		}
	}
	expected := c.request.UnreportedPrompts + float64(c.request.WaitingAtPeers)
	for margin := 1; margin <= maxFreeSlotMargin && counts[margin] > 0; margin++ {
		if surplusChance(expected/float64(counts[margin]), margin) <= maxSurplusChance {
			return withAtLeast(replicas, margin, counts[margin])
		}
	}
	if counts[1] > 0 && c.attemptFraction() < contendedAttemptShare*float64(counts[1])/expected {
		return withAtLeast(replicas, 1, counts[1])
	}
	return nil
}

const (
	// contendedAttemptShare is the number of prompts of all hosts together that try to get each
	// free slot in an attemptInterval, if more of them wait than there are slots.
	contendedAttemptShare = 0.06
	attemptInterval       = 10 * time.Millisecond
)

// attemptFraction returns a value in [0, 1) that differs between prompts and from one
// attemptInterval to the next.
func (c *chooser) attemptFraction() float64 {
	return float64(mix(c.request.Hash+uint64(c.request.Waited/attemptInterval))>>11) / (1 << 53)
}

func withAtLeast(replicas []Candidate, freeSlots, count int) []Candidate {
	free := make([]Candidate, 0, count)
	for _, replica := range replicas {
		if replica.Slots-replica.Load.Streams >= freeSlots {
			free = append(free, replica)
		}
	}
	return free
}

// surplusChance returns the probability that a Poisson variable with the given mean is at least
// n.
func surplusChance(mean float64, n int) float64 {
	term := math.Exp(-mean)
	chance := 1.0
	for i := range n {
		chance -= term
		term *= mean / float64(i+1)
	}
	return chance
}

// spareSlotShare is the share of all slots that must be free for a prompt that is late in any
// case. It would otherwise take the slot of one that can still meet its objective.
const spareSlotShare = 0.08

func (c *chooser) hasSpareSlots() bool {
	free, total := 0, 0
	for _, replica := range c.candidates {
		free += max(0, replica.Slots-replica.Load.Streams)
		total += replica.Slots
	}
	return float64(free) >= spareSlotShare*float64(total)
}

// bestFirstEvent returns the earliest predicted first event if a slot became free now.
func (c *chooser) bestFirstEvent() time.Duration {
	best := time.Duration(math.MaxInt64)
	for _, replica := range c.candidates {
		best = min(best, c.timeToFirstEvent(replica, 1))
	}
	return best
}

// slotRetryAfter returns the delay after which a refused prompt can be expected to find a slot:
// the time in which about half of the running streams end, which is when a burst has passed or
// callers have left.
func (c *chooser) slotRetryAfter() time.Duration {
	return max(c.request.Objective/2, c.model.MeanStreamTime())
}

// MeanStreamTime returns the time from the first event of a mean answer to its end at a replica
// with all slots in use.
func (m Model) MeanStreamTime() time.Duration {
	steps := float64(m.engine.MeanAnswerTokens)
	pass := m.PassTime(m.engine.Slots, m.engine.Slots*m.engine.MeanPromptTokens)
	return time.Duration(steps / float64(max(1, m.engine.StepsPerPass)) * float64(pass))
}
