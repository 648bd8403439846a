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
	return t.change(now, r.Part), true
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
// refused parts and the others in turn. A part with a clearance and newer strikes has two reports.
func (t *PartTracker) Reports(now time.Time, limit int) []PartReport {
	t.expire(now)
	var all []PartReport
	for p, e := range t.entries {
		if len(e.crashes) > 0 {
			all = append(all, e.strikeReport(now, p))
		}
		if len(e.cleared) > 0 && now.Sub(e.clearedAt) < t.config.Expiry {
			all = append(all, PartReport{Part: p, Crashes: slices.Clone(e.cleared), Cleared: true, Age: now.Sub(e.clearedAt)})
		}
	}
	slices.SortFunc(all, func(a, b PartReport) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Part, b.Part))
	})
	if len(all) <= limit {
		return all
	}
	recent := (limit + 1) / 2
	var refused, others []PartReport
	for _, r := range all[recent:] {
		if r.Refused {
			refused = append(refused, r)
		} else {
			others = append(others, r)
		}
	}
	out := all[:recent:recent]
	out = append(out, rotate(refused, &t.nextRefused, max((limit-recent+1)/2, limit-recent-len(others)))...)
	return append(out, rotate(others, &t.nextOther, limit-len(out))...)
}

// rotate returns up to limit reports in the order of their parts, beginning after the part
// at last, and updates that.
func rotate(reports []PartReport, last *Part, limit int) []PartReport {
	slices.SortStableFunc(reports, func(a, b PartReport) int { return cmp.Compare(a.Part, b.Part) })
	first, _ := slices.BinarySearchFunc(reports, *last, func(r PartReport, p Part) int {
		if r.Part <= p {
			return -1
		}
		return 1
	})
	var out []PartReport
	for i := range min(limit, len(reports)) {
		out = append(out, reports[(first+i)%len(reports)])
	}
	if len(out) > 0 {
		*last = out[len(out)-1].Part
	}
	return out
}

func (e *partEntry) strikeReport(now time.Time, p Part) PartReport {
	return PartReport{Part: p, Crashes: e.crashIDs(), Refused: e.refused, Age: now.Sub(e.crashes[len(e.crashes)-1].at)}
}
