package placement

import "time"

const (
	// SlowFactor is the factor from which a replica counts as slower than the others. The
	// time to the first event beside decoding streams varies by a quarter by itself, since a
	// prompt waits for 0 to 1 pass.
	SlowFactor = 1.25
	// nearTolerance is the difference in delay within which replicas count as equally near.
	nearTolerance = 500 * time.Microsecond
)

// slowdown returns the factor by which the replica's work takes longer than its engine's
// configuration says.
func (r Candidate) slowdown() float64 {
	if r.Speed == 0 {
		return 1
	}
	return r.Speed
}

// scaleTime returns d times a factor, and exactly d for a factor of 1.
func scaleTime(d time.Duration, factor float64) time.Duration {
	if factor == 1 {
		return d
	}
	return time.Duration(float64(d) * factor)
}

// findUnevenness sets uneven and leastSlowdown.
func (c *chooser) findUnevenness() {
	c.leastSlowdown = 1
	for i := range c.candidates {
		r := &c.candidates[i]
		if r.Delay != 0 || r.Speed != 0 && r.Speed != 1 {
			c.uneven = true
			break
		}
	}
	if !c.uneven {
		return
	}
	c.leastSlowdown = c.candidates[0].slowdown()
	for i := range c.candidates {
		c.leastSlowdown = min(c.leastSlowdown, c.candidates[i].slowdown())
	}
}

// isSlow reports whether a replica is clearly slower than the fastest one. If all replicas
// are equally slow, none is avoided.
func (c *chooser) isSlow(replica Candidate) bool {
	return c.uneven && replica.slowdown() >= SlowFactor*c.leastSlowdown
}

// slowRank is 1 for slow replicas and 0 for others, to sort by.
func (c *chooser) slowRank(replica Candidate) int {
	if c.isSlow(replica) {
		return 1
	}
	return 0
}

// fastCandidates returns the candidates that are not slow.
func (c *chooser) fastCandidates() []Candidate {
	if !c.uneven {
		return c.candidates
	}
	var fast []Candidate
	for _, r := range c.candidates {
		if !c.isSlow(r) {
			fast = append(fast, r)
		}
	}
	return fast
}

// pickShort returns the replica for a short prompt. A near and fast replica is preferred as
// long as it has several free slots and its predicted first event is earlier than that of the
// replica that would be chosen by load alone.
func (c *chooser) pickShort(eligible []Candidate) (Candidate, bool) {
	choice, ok := c.lessLoadedOfTwo(eligible)
	if !ok || !c.uneven {
		return choice, ok
	}
	preferred, ok := c.lessLoadedOfTwo(c.preferredReplicas(eligible))
	if ok && c.timeToFirstEvent(preferred, 1) < c.timeToFirstEvent(choice, 1) {
		return preferred, true
	}
	return choice, true
}

// preferredReplicas returns the eligible replicas that are not slow, have several free slots
// and are the nearest of these. If only a few are near, all of the fast ones are returned:
// the hosts of a zone would otherwise place the prompts that they do not know of yet at the
// same few replicas. The result overwrites eligible.
func (c *chooser) preferredReplicas(eligible []Candidate) []Candidate {
	fast := eligible[:0]
	least := time.Duration(-1)
	for _, r := range eligible {
		if c.isSlow(r) || !c.hasSeveralSlots(r) {
			continue
		}
		if least < 0 || r.Delay < least {
			least = r.Delay
		}
		fast = append(fast, r)
	}
	isNear := func(r *Candidate) bool { return r.Delay <= least+nearTolerance }
	near, nearCandidates := 0, 0
	for i := range fast {
		if isNear(&fast[i]) {
			near++
		}
	}
	for i := range c.candidates {
		if isNear(&c.candidates[i]) {
			nearCandidates++
		}
	}
	// The hosts near these replicas place about the same share of all prompts as the
	// replicas are of all replicas.
	if near == len(fast) || near*len(c.candidates) < nearCandidates*c.minShortReplicas() {
		return fast
	}
	kept := fast[:0]
	for i := range fast {
		if isNear(&fast[i]) {
			kept = append(kept, fast[i])
		}
	}
	return kept
}

// lessLoadedOfTwo picks two candidates by the request's hash and returns the less loaded one.
func (c *chooser) lessLoadedOfTwo(candidates []Candidate) (Candidate, bool) {
	switch len(candidates) {
	case 0:
		return Candidate{}, false
	case 1:
		return candidates[0], true
	}
	n := uint64(len(candidates))
	i := c.request.Hash % n
	a, b := candidates[i], candidates[(i+1+(c.request.Hash>>32)%(n-1))%n]
	if c.isLessLoaded(b, a) {
		a = b
	}
	return a, true
}

// isLessLoaded reports whether b is to be chosen rather than a: it has fewer streams per slot,
// or this host has a connection to it and it has at most one stream more. Between equals, the
// predicted rest of the streams decides if RemainingWork is set.
func (c *chooser) isLessLoaded(b, a Candidate) bool {
	loadA, loadB := a.Load.Streams*b.Slots, b.Load.Streams*a.Slots
	if a.Connected != b.Connected && max(loadA-loadB, loadB-loadA) <= max(a.Slots, b.Slots) {
		return b.Connected
	}
	if loadA == loadB && c.policy.RemainingWork && !c.uneven {
		return c.freesSooner(b, a)
	}
	if c.uneven {
		return float64(loadB)*b.slowdown() < float64(loadA)*a.slowdown()
	}
	return loadB < loadA
}

// LastLoad returns the load of a replica as of the last call of Loads, which may be some time
// ago.
func (l *Ledger) LastLoad(id uint32) Load { return l.loads[id] }
