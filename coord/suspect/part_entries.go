package suspect

import (
	"slices"
	"time"
)

// partEntry holds the strikes of one part.
type partEntry struct {
	// crashes holds the crashes that count, oldest first.
	crashes []partCrash
	// cleared holds the crashes after which a request with the part was answered, oldest
	// first, so that late reports of them do not count again.
	cleared []CrashID
	// refused is set if requests with the part are refused.
	refused bool
	// changedAt is the time of the last change, clearedAt that of the last clearance.
	changedAt time.Time
	clearedAt time.Time
}

type partCrash struct {
	id CrashID
	at time.Time
}

// maxPartCrashes is the maximum number of counted and of cleared crashes kept for one part.
// A clearance has to hold as many as count.
const maxPartCrashes = 32

// knows reports whether a crash is among those that count or have been cleared.
func (e *partEntry) knows(id CrashID) bool {
	return slices.Contains(e.cleared, id) || e.counts(id)
}

// counts reports whether a crash is among those that count.
func (e *partEntry) counts(id CrashID) bool {
	return slices.ContainsFunc(e.crashes, func(c partCrash) bool { return c.id == id })
}

// addCrash adds a crash that is neither known nor cleared, and reports whether it did.
func (e *partEntry) addCrash(id CrashID, at time.Time) bool {
	if len(e.crashes) >= maxPartCrashes || e.knows(id) {
		return false
	}
	index := len(e.crashes)
	for index > 0 && at.Before(e.crashes[index-1].at) {
		index--
	}
	e.crashes = slices.Insert(e.crashes, index, partCrash{id, at})
	return true
}

// addOwnCrash adds a crash that this host has seen. It replaces the last one if the entry is
// full: many crashes at one instant refuse no part, but a later one does.
func (e *partEntry) addOwnCrash(id CrashID, at time.Time) bool {
	if len(e.crashes) >= maxPartCrashes && !e.knows(id) {
		e.crashes = e.crashes[:maxPartCrashes-1]
	}
	return e.addCrash(id, at)
}

// span returns the time from the first to the last counted crash.
func (e *partEntry) span() time.Duration {
	if len(e.crashes) == 0 {
		return 0
	}
	return e.crashes[len(e.crashes)-1].at.Sub(e.crashes[0].at)
}

func (e *partEntry) crashIDs() []CrashID {
	ids := make([]CrashID, len(e.crashes))
	for i, c := range e.crashes {
		ids[i] = c.id
	}
	return ids
}

// clear makes crashes no longer count, and reports whether that changed the entry. A
// refusal ends if too few crashes are left.
func (e *partEntry) clear(ids []CrashID) bool {
	isChanged := false
	for _, id := range ids {
		if slices.Contains(e.cleared, id) {
			continue
		}
		isChanged = true
		e.cleared = append(e.cleared, id)
	}
	e.crashes = slices.DeleteFunc(slices.Clone(e.crashes), func(c partCrash) bool { return slices.Contains(ids, c.id) })
	if excess := len(e.cleared) - maxPartCrashes; excess > 0 {
		e.cleared = slices.Delete(e.cleared, 0, excess)
	}
	if len(e.crashes) < freshThreshold.refuse {
		e.refused = false
	}
	return isChanged
}

// refuse marks an entry as refused. If there are too many refused ones, the least recently
// changed of the others is removed.
func (t *PartTracker) refuse(p Part, e *partEntry) {
	if e.refused {
		return
	}
	t.update(p, e, func() { e.refused = true })
	t.removeExcess(p, true, t.config.MaxRefused)
}

// insert adds an entry that is not refused, and reports whether it did. If there are too
// many of them, the least recently changed one is removed.
func (t *PartTracker) insert(p Part, e *partEntry) bool {
	t.entries[p] = e
	t.removeExcess(0, false, t.config.MaxSuspected)
	return t.entries[p] == e
}

// removeExcess removes the least recently changed entry other than kept if more than limit
// entries are refused or, without refused, not refused.
func (t *PartTracker) removeExcess(kept Part, refused bool, limit int) {
	count := t.refusedCount
	if !refused {
		count = len(t.entries) - t.refusedCount
	}
	if count <= limit {
		return
	}
	oldest, at := Part(0), time.Time{}
	for p, e := range t.entries {
		t.visits++
		if e.refused != refused || refused && p == kept {
			continue
		}
		if at.IsZero() || e.changedAt.Before(at) || e.changedAt.Equal(at) && p < oldest {
			oldest, at = p, e.changedAt
		}
	}
	t.remove(oldest)
}

func (t *PartTracker) expired(now time.Time, e *partEntry) bool {
	return now.Sub(e.changedAt) >= t.config.Expiry
}

func (t *PartTracker) expire(now time.Time) {
	for p, e := range t.entries {
		t.visits++
		if t.expired(now, e) {
			t.remove(p)
		} else {
			t.expireReports(now, p, e)
		}
	}
}

// expireReports forgets the strikes and the cleared crashes of an entry when the other hosts
// no longer accept reports of them, so that the hosts agree.
func (t *PartTracker) expireReports(now time.Time, p Part, e *partEntry) {
	if len(e.cleared) > 0 && now.Sub(e.clearedAt) >= t.config.Expiry {
		e.cleared = nil
	}
	if len(e.crashes) > 0 && e.strikeAge(now) >= t.config.Expiry {
		t.update(p, e, func() { e.crashes, e.refused = nil, false })
	}
}
