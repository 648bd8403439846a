package suspect

import (
	"iter"
	"slices"
	"time"
)

// crashIndex holds the refused parts by the crashes that they count.
type crashIndex map[CrashID][]Part

func (x crashIndex) add(p Part, crashes ...partCrash) {
	for _, c := range crashes {
		if !slices.Contains(x[c.id], p) {
			x[c.id] = append(x[c.id], p)
		}
	}
}

func (x crashIndex) remove(p Part, crashes ...partCrash) {
	for _, c := range crashes {
		left := slices.DeleteFunc(x[c.id], func(q Part) bool { return q == p })
		if len(left) == 0 {
			delete(x, c.id)
		} else {
			x[c.id] = left
		}
	}
}

// update applies a change to an entry and keeps the index up to date.
func (t *PartTracker) update(p Part, e *partEntry, change func()) {
	if e.refused {
		t.refusedCount--
		t.refusedBy.remove(p, e.crashes...)
	}
	change()
	if e.refused {
		t.refusedCount++
		t.refusedBy.add(p, e.crashes...)
	}
}

// remove removes an entry.
func (t *PartTracker) remove(p Part) {
	if e := t.entries[p]; e != nil && e.refused {
		t.refusedCount--
		t.refusedBy.remove(p, e.crashes...)
	}
	delete(t.entries, p)
}

// explainers returns the refused parts other than p that count all crashes of its entry.
func (t *PartTracker) explainers(now time.Time, p Part, e *partEntry) iter.Seq[Part] {
	return func(yield func(Part) bool) {
		for _, q := range t.mayExplain(e) {
			t.visits++
			other := t.entries[q]
			if q == p || t.expired(now, other) || slices.ContainsFunc(e.crashes, func(c partCrash) bool { return !other.counts(c.id) }) {
				continue
			}
			if !yield(q) {
				return
			}
		}
	}
}

// mayExplain returns the refused parts that count the crash of an entry that the fewest of
// them count.
func (t *PartTracker) mayExplain(e *partEntry) []Part {
	var fewest []Part
	for i, c := range e.crashes {
		if parts := t.refusedBy[c.id]; i == 0 || len(parts) < len(fewest) {
			fewest = parts
		}
		if len(fewest) < 2 {
			break
		}
	}
	return fewest
}

// isAmbiguous reports whether another refused part explains all crashes of a refused part,
// as happens to a part that came with the other one in each of the requests. A request with
// one of them shows which one is to blame.
func (t *PartTracker) isAmbiguous(now time.Time, p Part, e *partEntry) bool {
	for range t.explainers(now, p, e) {
		return true
	}
	return false
}

// hasAllExplainers reports whether a request holds all refused parts that explain the crashes
// of a refused part, so that one of its parts is to blame.
func (t *PartTracker) hasAllExplainers(now time.Time, p Part, e *partEntry, request []Part) bool {
	for q := range t.explainers(now, p, e) {
		if !slices.Contains(request, q) {
			return false
		}
	}
	return true
}

// isExplained reports whether refused parts explain all crashes of an entry.
func (t *PartTracker) isExplained(now time.Time, e *partEntry) bool {
	return !slices.ContainsFunc(e.crashes, func(c partCrash) bool { return !t.Explains(now, c.id) })
}

// Explains reports whether a refused part has caused a crash, so that the crash is no
// evidence against other requests.
func (t *PartTracker) Explains(now time.Time, crash CrashID) bool {
	for _, p := range t.refusedBy[crash] {
		t.visits++
		if !t.expired(now, t.entries[p]) {
			return true
		}
	}
	return false
}
