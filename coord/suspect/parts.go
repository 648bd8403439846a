package suspect

import (
	"hash/fnv"
	"slices"
	"time"
)

// Part identifies a part of a prompt that several requests may share.
type Part uint64

// PartReport is one suspected part as exchanged between hosts and kept in a store.
type PartReport struct {
	Part    Part
	Crashes []CrashID
	// Refused is set if requests with the part are refused. Cleared is set if a request with
	// the part was answered since all of Crashes.
	Refused, Cleared bool
	// Age is the time since the last strike or, with Cleared, since the clearance.
	Age time.Duration
}

// PartChange describes what a crash, an answer or a report changed about a part,
// for the log.
type PartChange struct {
	Part    Part
	Strikes int
	Status  Status
}

// PartConfig configures a PartTracker.
type PartConfig struct {
	// Host distinguishes this host from the others, so that they take turns.
	Host string
	// Expiry is the time after its last change at which a suspected part, and with it a
	// refusal, is removed.
	Expiry time.Duration
	// KnownGoodTime is how long a part counts as known good after a request with it was
	// answered.
	KnownGoodTime time.Duration
	// MaxSuspected and MaxRefused bound the suspected and the refused parts. They are counted
	// separately, so that no caller can displace a refused part with suspected ones.
	MaxSuspected, MaxRefused int
	// MaxKnownGood bounds the parts that are known good.
	MaxKnownGood int
	// TurnTime is the time that each turn has for a trial of a suspected part.
	TurnTime time.Duration
	// SeveralPartsDelay is how much longer a trial waits for each further suspected part of
	// the request. A request with one of them alone shows which one is to blame.
	SeveralPartsDelay time.Duration
}

// DefaultPartConfig returns the production settings.
func DefaultPartConfig(host string) PartConfig {
	return PartConfig{
		Host: host, Expiry: time.Hour, KnownGoodTime: time.Minute, MaxSuspected: 1_024, MaxRefused: 1_024, MaxKnownGood: 16_384,
		TurnTime: 400 * time.Millisecond, SeveralPartsDelay: 2 * time.Second,
	}
}

// maxTurns is the maximum number of turns in which hosts try a suspected part.
const maxTurns = 8

// partThreshold is the evidence that isolates or refuses a part.
type partThreshold struct {
	isolate, refuse int
	// minSpan is the minimum time from the first to the last crash for a refusal. Several
	// replicas that fail at the same instant have another cause.
	minSpan time.Duration
}

var (
	freshThreshold     = partThreshold{isolate: 1, refuse: 2, minSpan: 100 * time.Millisecond}
	knownGoodThreshold = partThreshold{isolate: 2, refuse: 3, minSpan: time.Second}
)

// PartTracker holds the prompt parts that may crash replicas, and the parts known to be
// good. A part is suspected if a replica crashed before it began to answer a request with
// the part; parts of requests that were answered recently need more evidence. A replica
// that begins to answer a request with the part clears it.
type PartTracker struct {
	config    PartConfig
	entries   map[Part]*partEntry
	knownGood *recentSet[Part]
	// refusedBy and refusedCount are derived from the refused entries.
	refusedBy    crashIndex
	refusedCount int
	// unanswered holds the crashes of requests with a known good part since its last answer.
	unanswered map[Part]*partEntry
	// keyBuffer is the memory of the keys of the last reports.
	keyBuffer []reportKey
	// visits counts the entries that were looked at, for tests of the cost.
	visits int
	// nextRefused and nextOther are the parts after which Reports continues with older
	// entries.
	nextRefused, nextOther Part
}

// NewPartTracker returns an empty tracker.
func NewPartTracker(c PartConfig) *PartTracker {
	return &PartTracker{config: c, entries: map[Part]*partEntry{}, knownGood: newRecentSet[Part](c.MaxKnownGood, c.KnownGoodTime), refusedBy: crashIndex{}, unanswered: map[Part]*partEntry{}}
}

// RecordCrash records a crash of a replica. The requests, given as their parts, were sent
// by this host and had received nothing from the replica. In each, the parts that are not
// known good, or no longer reliably so, get a strike or, if all are known good, all parts.
func (t *PartTracker) RecordCrash(now time.Time, crash CrashID, requests [][]Part) []PartChange {
	t.expire(now)
	t.recordUnanswered(now, crash, requests)
	var struck []Part
	for _, parts := range requests {
		for _, p := range t.blamed(now, parts) {
			if !slices.Contains(struck, p) && t.addStrike(now, p, crash) {
				struck = append(struck, p)
			}
		}
	}
	var changes []PartChange
	for _, p := range struck {
		changes = append(changes, t.Change(now, p))
	}
	return changes
}

// blamed returns the parts of a request that may have caused a crash.
func (t *PartTracker) blamed(now time.Time, parts []Part) []Part {
	var fresh []Part
	for _, p := range parts {
		if !t.IsKnownGood(now, p) || t.isUnanswered(now, p) {
			fresh = append(fresh, p)
		}
	}
	if len(fresh) > 0 {
		return fresh
	}
	return parts
}

func (t *PartTracker) addStrike(now time.Time, p Part, crash CrashID) bool {
	e := t.entries[p]
	if e == nil {
		e = &partEntry{changedAt: now}
		if !t.insert(p, e) {
			return false
		}
	}
	isAdded := false
	t.update(p, e, func() { isAdded = e.addOwnCrash(crash, now) })
	if !isAdded {
		return false
	}
	e.changedAt = now
	if th := t.threshold(now, p); len(e.crashes) >= th.refuse && e.span() >= th.minSpan {
		t.refuse(p, e)
	}
	return true
}

// RecordAnswer records that a replica has begun to answer a request with the given parts, or
// has finished it. It returns the parts whose strikes that cleared. A request sent before the
// crashes of a refused part does not clear it if it was known good: the part, or the
// replicas' software, may have changed since.
func (t *PartTracker) RecordAnswer(now, sentAt time.Time, parts []Part) []PartChange {
	var changes []PartChange
	for _, p := range parts {
		wasKnownGood := t.IsKnownGood(now, p)
		t.knownGood.add(now, p)
		delete(t.unanswered, p)
		e := t.entries[p]
		if e == nil || t.expired(now, e) || len(e.crashes) == 0 {
			continue
		}
		if e.refused && wasKnownGood && sentAt.Before(e.crashes[0].at) {
			continue
		}
		t.update(p, e, func() { e.clear(e.crashIDs()) })
		e.changedAt, e.clearedAt = now, now
		changes = append(changes, t.Change(now, p))
	}
	return changes
}

// Status returns how to treat requests with a part.
func (t *PartTracker) Status(now time.Time, p Part) Status {
	e := t.entries[p]
	switch {
	case e == nil || t.expired(now, e):
		return StatusClear
	case e.refused && !t.isAmbiguous(now, p, e):
		return StatusRefuse
	case e.refused:
		return StatusIsolate
	case len(e.crashes) >= t.threshold(now, p).isolate && !t.isExplained(now, e):
		return StatusIsolate
	default:
		return StatusClear
	}
}

// IsKnownGood reports whether a request with the part was answered lately.
func (t *PartTracker) IsKnownGood(now time.Time, p Part) bool { return t.knownGood.contains(now, p) }

// Treatment is the way to treat a request because of its parts.
type Treatment struct {
	Status Status
	// Part is the part to blame for a refusal, or a suspected part.
	Part Part
	// Suspected holds all parts that are to be isolated.
	Suspected []Part
	// Wait is the time until this host may try a request with the suspected parts.
	Wait time.Duration
}

// Judge returns how to treat a request with the given parts. Hosts try a suspected part in
// turns, so that a part that crashes replicas is known everywhere before most of them send
// it. Of refused parts that explain each other, a request with some is tried and one with
// all is refused.
func (t *PartTracker) Judge(now time.Time, parts []Part, hosts int) Treatment {
	r := Treatment{Status: StatusClear}
	cause, holdsCause := Part(0), false
	for _, p := range parts {
		switch t.Status(now, p) {
		case StatusRefuse:
			return Treatment{Status: StatusRefuse, Part: p}
		case StatusIsolate:
			e := t.entries[p]
			if e.refused && t.hasAllExplainers(now, p, e, parts) {
				cause, holdsCause = p, true
			}
			turnAt := e.changedAt.Add(time.Duration(t.turn(p, hosts)) * t.config.TurnTime)
			r.Wait = max(r.Wait, turnAt.Sub(now))
			r.Status, r.Part = StatusIsolate, p
			r.Suspected = append(r.Suspected, p)
		}
	}
	if holdsCause {
		return Treatment{Status: StatusRefuse, Part: cause}
	}
	if n := len(r.Suspected); n > 1 {
		last := t.entries[r.Part].changedAt
		for _, p := range r.Suspected {
			if at := t.entries[p].changedAt; at.After(last) {
				last = at
			}
		}
		r.Wait = max(r.Wait, last.Add(time.Duration(n-1)*t.config.SeveralPartsDelay).Sub(now))
	}
	return r
}

// turn returns the turn of this host for a part.
func (t *PartTracker) turn(p Part, hosts int) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(t.config.Host)) // never fails
	// The finalizer of MurmurHash3 spreads the bits of similar host names.
	x := h.Sum64() ^ uint64(p)
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return (x ^ x>>33) % uint64(max(1, min(hosts, maxTurns)))
}

// Counts returns the numbers of suspected and of refused parts.
func (t *PartTracker) Counts(now time.Time) (suspected, refused int) {
	for p := range t.entries {
		t.visits++
		switch t.Status(now, p) {
		case StatusIsolate:
			suspected++
		case StatusRefuse:
			refused++
		}
	}
	return suspected, refused
}

// Len returns the number of entries.
func (t *PartTracker) Len() int { return len(t.entries) }

func (t *PartTracker) threshold(now time.Time, p Part) partThreshold {
	if t.IsKnownGood(now, p) {
		return knownGoodThreshold
	}
	return freshThreshold
}

// Change returns the strikes and the status of a part.
func (t *PartTracker) Change(now time.Time, p Part) PartChange {
	c := PartChange{Part: p, Status: t.Status(now, p)}
	if e := t.entries[p]; e != nil {
		c.Strikes = len(e.crashes)
	}
	return c
}
