package suspect

import (
	"cmp"
	"slices"
	"time"
)

// Merge applies reports and returns the number of reports that changed an entry.
func (t *PartTracker) Merge(now time.Time, reports []PartReport) int {
	changed := 0
	for _, r := range reports {
		if _, ok := t.Apply(now, r); ok {
			changed++
		}
	}
	return changed
}

// Apply applies a report and reports whether that changed an entry. A refusal at another
// host is not adopted without the evidence that this host needs for the part: to a host
// that has just started, no part is known good.
func (t *PartTracker) Apply(now time.Time, r PartReport) (PartChange, bool) {
	if r.Age < 0 || r.Age >= t.config.Expiry || len(r.Crashes) == 0 {
		return PartChange{}, false
	}
	at := now.Add(-r.Age)
	e := t.entries[r.Part]
	if e != nil && t.expired(now, e) {
		t.remove(r.Part)
		e = nil
	}
	if e == nil {
		e = &partEntry{changedAt: at}
		if !t.insert(r.Part, e) {
			return PartChange{}, false
		}
	}
	t.expireReports(now, r.Part, e)
	wasRefused, isChanged := e.refused, false
	if r.Cleared {
		if slices.ContainsFunc(r.Crashes, func(id CrashID) bool { return !slices.Contains(e.cleared, id) }) {
			t.update(r.Part, e, func() { isChanged = e.clear(r.Crashes) })
		}
		if isChanged && at.After(e.clearedAt) {
			e.clearedAt = at
		}
	} else {
		isChanged = t.applyStrikes(now, r, e, at)
	}
	if !isChanged && wasRefused == e.refused {
		return PartChange{}, false
	}
	if at.After(e.changedAt) {
		e.changedAt = at
	}
	return t.Change(now, r.Part), true
}

func (t *PartTracker) applyStrikes(now time.Time, r PartReport, e *partEntry, at time.Time) bool {
	isChanged := false
	if slices.ContainsFunc(r.Crashes, func(id CrashID) bool { return !e.knows(id) }) {
		t.update(r.Part, e, func() {
			for _, id := range r.Crashes {
				isChanged = e.addCrash(id, at) || isChanged
			}
		})
	}
	th := t.threshold(now, r.Part)
	if len(e.crashes) >= th.refuse && (r.Refused || e.span() >= th.minSpan) {
		t.refuse(r.Part, e)
	}
	return isChanged
}

// Refused returns the reports of all refused parts.
func (t *PartTracker) Refused(now time.Time) []PartReport {
	var out []PartReport
	for p, e := range t.entries {
		if e.refused && !t.expired(now, e) {
			out = append(out, e.strikeReport(now, p))
		}
	}
	slices.SortFunc(out, func(a, b PartReport) int { return cmp.Compare(a.Part, b.Part) })
	return out
}

// Reports returns up to limit reports: the most recent changes, and of the older ones the
// refused parts and the others in turn. A part with a clearance and newer strikes has two
// reports.
func (t *PartTracker) Reports(now time.Time, limit int) []PartReport {
	t.expire(now)
	keys := t.reportable(now)
	if len(keys) > limit {
		keys = t.selectReports(keys, limit)
	} else {
		slices.SortFunc(keys, compareAge)
	}
	reports := make([]PartReport, len(keys))
	for i, k := range keys {
		e := t.entries[k.part]
		if k.isCleared {
			reports[i] = PartReport{Part: k.part, Crashes: slices.Clone(e.cleared), Cleared: true, Age: k.age}
		} else {
			reports[i] = e.strikeReport(now, k.part)
		}
	}
	return reports
}

// reportKey identifies a report of an entry.
type reportKey struct {
	part                 Part
	isCleared, isRefused bool
	age                  time.Duration
}

// reportable returns the keys of all reports. They are valid until the next call.
func (t *PartTracker) reportable(now time.Time) []reportKey {
	all := t.keyBuffer[:0]
	for p, e := range t.entries {
		t.visits++
		if len(e.crashes) > 0 {
			all = append(all, reportKey{part: p, isRefused: e.refused, age: e.strikeAge(now)})
		}
		if len(e.cleared) > 0 {
			all = append(all, reportKey{part: p, isCleared: true, age: now.Sub(e.clearedAt)})
		}
	}
	t.keyBuffer = all
	return all
}

func compareAge(a, b reportKey) int {
	return cmp.Or(cmp.Compare(a.age, b.age), cmp.Compare(a.part, b.part))
}

// selectReports returns limit of the keys, and changes their order.
func (t *PartTracker) selectReports(all []reportKey, limit int) []reportKey {
	recent := (limit + 1) / 2
	older := t.moveLowest(all, recent, compareAge)
	out := slices.Clone(all[:recent])
	refused := 0
	for i, k := range older {
		if k.isRefused {
			older[refused], older[i] = k, older[refused]
			refused++
		}
	}
	others := older[refused:]
	out = append(out, t.rotate(older[:refused], &t.nextRefused, max((limit-recent+1)/2, limit-recent-len(others)))...)
	return append(out, t.rotate(others, &t.nextOther, limit-len(out))...)
}

// rotate returns up to limit keys in the order of their parts, beginning after the part at
// last, and updates that.
func (t *PartTracker) rotate(keys []reportKey, last *Part, limit int) []reportKey {
	limit = min(limit, len(keys))
	after := *last + 1
	t.moveLowest(keys, limit, func(a, b reportKey) int { return cmp.Compare(a.part-after, b.part-after) })
	if limit > 0 {
		*last = keys[limit-1].part
	}
	return keys[:limit]
}

// moveLowest moves the limit keys that compare lowest to the front, in order, and returns
// the others. It does not sort those, since reports are frequent.
func (t *PartTracker) moveLowest(keys []reportKey, limit int, compare func(a, b reportKey) int) (others []reportKey) {
	lowest := keys[:limit]
	slices.SortFunc(lowest, compare)
	for i := range keys[limit:] {
		t.visits++
		k := keys[limit+i]
		if limit == 0 || compare(k, lowest[limit-1]) >= 0 {
			continue
		}
		keys[limit+i] = lowest[limit-1]
		at, _ := slices.BinarySearchFunc(lowest[:limit-1], k, compare)
		copy(lowest[at+1:], lowest[at:limit-1])
		lowest[at] = k
	}
	return keys[limit:]
}

func (e *partEntry) strikeAge(now time.Time) time.Duration {
	return now.Sub(e.crashes[len(e.crashes)-1].at)
}

func (e *partEntry) strikeReport(now time.Time, p Part) PartReport {
	return PartReport{Part: p, Crashes: e.crashIDs(), Refused: e.refused, Age: e.strikeAge(now)}
}
