package control

import (
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/coord/suspect"
	"siskinstand.example/platform"
)

// RequestStore keeps refused requests for hosts that start later: reports hold only the latest
// suspects, and all hosts may restart. Publish must not block.
type RequestStore interface {
	Publish(p platform.CrashPart)
}

// storedRequests is what this host knows of the refused requests in the store.
type storedRequests struct {
	// expiry holds when the entries that are in the store, or that this host has published,
	// expire.
	expiry map[suspect.Fingerprint]time.Duration
	// ownCrashes holds the crashes that this host has seen itself.
	ownCrashes crashLog
}

func newStoredRequests() storedRequests {
	return storedRequests{expiry: map[suspect.Fingerprint]time.Duration{}}
}

// requestExpiry is the time after its last strike for which a request is refused.
var requestExpiry = suspect.DefaultConfig().Expiry

// publishRefusedRequests stores the refused requests of which this host has seen a crash, so
// that few hosts write the same entry. Requests with a refused part are not stored.
func (l *Loop) publishRefusedRequests(now time.Duration) {
	if l.config.RequestStore == nil {
		return
	}
	s := &l.storedRequests
	maps.DeleteFunc(s.expiry, func(_ suspect.Fingerprint, at time.Duration) bool { return now >= at })
	for _, r := range l.suspects.Refused(time.Now()) {
		_, isStored := s.expiry[r.Fingerprint]
		isOwn := slices.ContainsFunc(r.Crashes, func(c suspect.CrashID) bool { return slices.Contains(s.ownCrashes, c) })
		if isStored || !isOwn || l.isExplainedByPart(now, r.Fingerprint) {
			continue
		}
		s.expiry[r.Fingerprint] = now + requestExpiry - r.Age
		entry := platform.CrashPart{Part: uint64(r.Fingerprint), RefusedAt: time.Now().Add(-r.Age).UnixMilli()}
		for _, c := range r.Crashes {
			entry.Crashes = append(entry.Crashes, uint64(c))
		}
		l.config.RequestStore.Publish(entry)
	}
}

// applyCrashRequest applies the entry of a refused request. Its removal does not lift the
// refusal at hosts that know it.
func (l *Loop) applyCrashRequest(now time.Duration, c platform.Change) {
	f := suspect.Fingerprint(c.CrashPart.Part)
	if c.Deleted {
		delete(l.storedRequests.expiry, f)
		return
	}
	// The clock of the host that wrote the entry may be ahead.
	age := max(0, time.Since(time.UnixMilli(c.CrashPart.RefusedAt)))
	if age >= requestExpiry {
		klog.V(1).InfoS("expired request in the store ignored", "fingerprint", uint64(f), "age_s", int64(age.Seconds()), "store_revision", c.Revision)
		return
	}
	l.storedRequests.expiry[f] = now + requestExpiry - age
	report := suspect.Report{Fingerprint: f, Strikes: suspect.RefuseStrikes, Age: age}
	for _, id := range c.CrashPart.Crashes {
		report.Crashes = append(report.Crashes, suspect.CrashID(id))
	}
	changed := l.suspects.Merge(time.Now(), []suspect.Report{report})
	klog.V(1).InfoS("crash suspect read from the store", "fingerprint", uint64(f), "changed", changed > 0, "status", l.suspects.Status(time.Now(), f), "store_revision", c.Revision)
}
