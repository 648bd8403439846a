package suspect

import "time"

// recordUnanswered records a crash for the known good parts of the requests at the replica.
func (t *PartTracker) recordUnanswered(now time.Time, crash CrashID, requests [][]Part) {
	for p := range t.unanswered {
		if !t.IsKnownGood(now, p) {
			delete(t.unanswered, p)
		}
	}
	for _, parts := range requests {
		for _, p := range parts {
			if !t.IsKnownGood(now, p) {
				continue
			}
			if t.unanswered[p] == nil {
				t.unanswered[p] = &partEntry{}
			}
			t.unanswered[p].addOwnCrash(crash, now)
		}
	}
}

// isUnanswered reports whether requests with a known good part have only crashed replicas
// for a while, in as many crashes as refuse such a part. It may have begun to crash them,
// and would not be blamed while other parts of its requests are fresh.
func (t *PartTracker) isUnanswered(now time.Time, p Part) bool {
	e := t.unanswered[p]
	if e == nil {
		return false
	}
	var unexplained partEntry
	for _, c := range e.crashes {
		if !t.Explains(now, c.id) {
			unexplained.crashes = append(unexplained.crashes, c)
		}
	}
	return len(unexplained.crashes) >= knownGoodThreshold.refuse && unexplained.span() >= knownGoodThreshold.minSpan
}
