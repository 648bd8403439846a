package control

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/coord/health"
	"siskinstand.example/coord/placement"
	"siskinstand.example/coord/suspect"
)

// trialRetryAfter is the retry delay, before jitter, that is sent to callers while this host
// tries a suspected part with another request. Most replicas begin to answer within it.
const trialRetryAfter = 400 * time.Millisecond

// partTime returns a reading of the boot clock as the time of the part tracker.
func partTime(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }

// formatPart returns a part as in the header of a request.
func formatPart(p suspect.Part) string { return strconv.FormatUint(uint64(p), 16) }

func formatParts(parts []suspect.Part) []string {
	out := make([]string, len(parts))
	for i, p := range parts {
		out[i] = formatPart(p)
	}
	return out
}

// partSends holds the parts of the requests that are at a replica and have received no
// event.
type partSends struct {
	sends    map[uint64]partSend
	inFlight map[suspect.Part]int
}

type partSend struct {
	parts  []suspect.Part
	sentAt time.Duration
}

func newPartSends() partSends {
	return partSends{sends: map[uint64]partSend{}, inFlight: map[suspect.Part]int{}}
}

func (s partSends) add(now time.Duration, assignmentID uint64, parts []suspect.Part) {
	if len(parts) == 0 {
		return
	}
	s.sends[assignmentID] = partSend{parts: parts, sentAt: now}
	for _, p := range parts {
		s.inFlight[p]++
	}
}

// remove returns the parts of a request and forgets it.
func (s partSends) remove(assignmentID uint64) partSend {
	send := s.sends[assignmentID]
	delete(s.sends, assignmentID)
	for _, p := range send.parts {
		if s.inFlight[p]--; s.inFlight[p] == 0 {
			delete(s.inFlight, p)
		}
	}
	return send
}

// judgeParts returns the refusal of a request because of its parts, and whether the request
// is a trial of a suspected part. Each host runs one trial of a part at a time.
func (l *Loop) judgeParts(now time.Duration, req PlacementRequest) (refusal Refusal, isTrial bool) {
	if len(req.Parts) == 0 {
		return Refusal{}, false
	}
	v := l.parts.Judge(partTime(now), req.Parts, len(l.peers)+1)
	if v.Status == suspect.StatusRefuse {
		return Refusal{Reason: RefusedCrashSuspect, Part: v.Part}, false
	}
	if p, ok := l.unresolvedPart(now, req.Parts); ok {
		// The probe takes milliseconds.
		return Refusal{Reason: RefusedSuspectedPart, Part: p, RetryAfter: trialRetryAfter, mayQueue: true}, false
	}
	for _, p := range v.Suspected {
		if l.partSends.inFlight[p] > 0 {
			return Refusal{Reason: RefusedSuspectedPart, Part: p, RetryAfter: max(v.Wait, trialRetryAfter)}, false
		}
	}
	if v.Wait > 0 {
		return Refusal{Reason: RefusedSuspectedPart, Part: v.Part, RetryAfter: v.Wait}, false
	}
	return Refusal{}, v.Status == suspect.StatusIsolate
}

// hasFreshPart reports whether any of the parts is not known good.
func (l *Loop) hasFreshPart(now time.Duration, parts []suspect.Part) bool {
	return slices.ContainsFunc(parts, func(p suspect.Part) bool { return !l.parts.IsKnownGood(partTime(now), p) })
}

// unresolvedPart returns the first of the given parts that is not known good and belongs to
// a send that may have crashed its replica.
func (l *Loop) unresolvedPart(now time.Duration, parts []suspect.Part) (suspect.Part, bool) {
	for _, list := range l.brokenSends {
		for _, m := range list {
			if !m.mayBeCrashOfPart() {
				continue
			}
			for _, p := range parts {
				if slices.Contains(m.parts, p) && !l.parts.IsKnownGood(partTime(now), p) {
					return p, true
				}
			}
		}
	}
	return 0, false
}

// mayBeCrashOfPart reports whether a part of the prompt may have crashed the replica. Such
// replicas close the connection before they begin to write an answer.
func (m sendEnded) mayBeCrashOfPart() bool {
	return len(m.parts) > 0 && m.result.MayHaveCrashed && !m.result.Aborted && !m.result.Began && m.result.Outcome == health.Broken
}

// leastLoaded returns the candidates with the fewest streams, since a trial may crash the
// replica.
func leastLoaded(candidates []placement.Candidate) []placement.Candidate {
	least := slices.MinFunc(candidates, func(x, y placement.Candidate) int { return cmp.Compare(x.Load.Streams, y.Load.Streams) }).Load.Streams
	return slices.DeleteFunc(slices.Clone(candidates), func(c placement.Candidate) bool { return c.Load.Streams > least })
}

// chooseForTrial chooses a replica with the fewest streams for a request with a suspected
// part, or any replica if that one alone is not enough.
func (l *Loop) chooseForTrial(now time.Duration, req PlacementRequest, candidates []placement.Candidate) (placement.Plan, placement.Refusal) {
	plan, refusal := l.choose(now, req, leastLoaded(candidates))
	if refusal.Reason != placement.RefusedNone {
		return l.choose(now, req, candidates)
	}
	return plan, refusal
}

// recordPartCrash adds strikes for the parts of the sends that broke off when a replica
// died. A replica that leaves has not crashed.
func (l *Loop) recordPartCrash(now time.Duration, id string, crash suspect.CrashID, sends []sendEnded) {
	if r, ok := l.directory.Get(now, id); !ok || r.Draining {
		return
	}
	var requests [][]suspect.Part
	for _, m := range sends {
		if m.mayBeCrashOfPart() {
			requests = append(requests, m.parts)
		}
	}
	if len(requests) > 0 {
		l.storedParts.ownCrashes.add(crash)
	}
	for _, c := range l.parts.RecordCrash(partTime(now), crash, requests) {
		klog.V(1).InfoS("prompt part suspected", "part", formatPart(c.Part), "replica", id, "crash", uint64(crash), "strikes", c.Strikes, "status", c.Status)
	}
	l.publishRefused(now)
	l.updatePartGauges(now)
}

// handleAnswerBegun clears the parts of a request that has received an event. The request is
// no trial any more.
func (l *Loop) handleAnswerBegun(now time.Duration, m answerBegun) {
	l.recordPartAnswer(now, m.target.ID, l.partSends.remove(m.assignmentID))
}

// recordPartAnswer clears the strikes of the parts of a request that a replica has answered
// or has begun to answer.
func (l *Loop) recordPartAnswer(now time.Duration, replicaID string, send partSend) {
	withdrawable := l.partsToWithdraw(now, send.parts)
	changes := l.parts.RecordAnswer(partTime(now), partTime(send.sentAt), send.parts)
	l.withdrawParts(withdrawable, changes)
	for _, c := range changes {
		klog.V(1).InfoS("prompt part cleared", "part", formatPart(c.Part), "replica", replicaID, "status", c.Status)
	}
	if len(changes) > 0 {
		l.publishRefused(now)
		l.scheduleReport(reportNow)
		l.updatePartGauges(now)
	}
}

// mergePartReports applies the part reports of another host.
func (l *Loop) mergePartReports(now time.Duration, peer string, reports []suspect.PartReport) {
	var changed []suspect.PartReport
	for _, r := range reports {
		if _, ok := l.parts.Apply(partTime(now), r); ok {
			changed = append(changed, r)
		}
	}
	// The status of a part depends on the other parts.
	for _, r := range changed {
		c := l.parts.Change(partTime(now), r.Part)
		klog.V(1).InfoS("prompt part received", "part", formatPart(c.Part), "peer", peer, "cleared", r.Cleared, "strikes", c.Strikes, "status", c.Status)
		if !r.Refused {
			l.publishPart(now, c.Part)
		}
	}
	if slices.ContainsFunc(changed, func(r suspect.PartReport) bool { return r.Cleared }) {
		l.publishRefused(now)
	}
	if len(changed) > 0 {
		l.updatePartGauges(now)
	}
}

func (l *Loop) updatePartGauges(now time.Duration) {
	if l.config.Scope == nil {
		return
	}
	suspected, refused := l.parts.Counts(partTime(now))
	l.config.Scope.Gauge("suspected_parts").Update(float64(suspected))
	l.config.Scope.Gauge("refused_parts").Update(float64(refused))
}
