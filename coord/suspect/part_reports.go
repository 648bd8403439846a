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
		delete(t.entries, r.Part)
		e = nil
	}
	if e == nil {
		e = &partEntry{changedAt: at}
		if !t.insert(r.Part, e) {
			return PartChange{}, false
		}
	}
	wasRefused, isChanged := e.refused, false
	if r.Cleared {
		isChanged = e.clear(r.Crashes)
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
	for _, id := range r.Crashes {
		isChanged = e.addCrash(id, at) || isChanged
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
	all := t.reportable(now)
	slices.SortFunc(all, func(a, b reportKey) int {
		return cmp.Or(cmp.Compare(a.age, b.age), cmp.Compare(a.part, b.part))
	})
	if len(all) > limit {
		all = t.selectReports(all, limit)
	}
	reports := make([]PartReport, len(all))
	for i, k := range all {
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

// reportable returns the keys of all reports.
func (t *PartTracker) reportable(now time.Time) []reportKey {
	var all []reportKey
	for p, e := range t.entries {
		if len(e.crashes) > 0 {
			all = append(all, reportKey{part: p, isRefused: e.refused, age: e.strikeAge(now)})
		}
		if len(e.cleared) > 0 && now.Sub(e.clearedAt) < t.config.Expiry {
			all = append(all, reportKey{part: p, isCleared: true, age: now.Sub(e.clearedAt)})
		}
	}
	return all
}

// selectReports returns limit of the keys, which are sorted by age.
func (t *PartTracker) selectReports(all []reportKey, limit int) []reportKey {
	recent := (limit + 1) / 2
	var refused, others []reportKey
	for _, k := range all[recent:] {
		if k.isRefused {
			refused = append(refused, k)
		} else {
			others = append(others, k)
		}
	}
	out := all[:recent:recent]
	out = append(out, rotate(refused, &t.nextRefused, max((limit-recent+1)/2, limit-recent-len(others)))...)
	return append(out, rotate(others, &t.nextOther, limit-len(out))...)
}

// rotate returns up to limit keys in the order of their parts, beginning after the part at
// last, and updates that.
func rotate(keys []reportKey, last *Part, limit int) []reportKey {
	slices.SortStableFunc(keys, func(a, b reportKey) int { return cmp.Compare(a.part, b.part) })
	first, _ := slices.BinarySearchFunc(keys, *last, func(k reportKey, p Part) int {
		if k.part <= p {
			return -1
		}
		return 1
	})
	var out []reportKey
	for i := range min(limit, len(keys)) {
		out = append(out, keys[(first+i)%len(keys)])
	}
	if len(out) > 0 {
		*last = out[len(out)-1].part
	}
	return out
}

func (e *partEntry) strikeAge(now time.Time) time.Duration {
	return now.Sub(e.crashes[len(e.crashes)-1].at)
}

func (e *partEntry) strikeReport(now time.Time, p Part) PartReport {
	return PartReport{Part: p, Crashes: e.crashIDs(), Refused: e.refused, Age: e.strikeAge(now)}
}
