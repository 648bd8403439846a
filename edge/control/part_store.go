package control

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/coord/suspect"
	"siskinstand.example/platform"
)

// PartStore keeps refused prompt parts for hosts that start later or that no report reaches.
// Its methods must not block.
type PartStore interface {
	Publish(p platform.CrashPart)
	Withdraw(part uint64)
}

// maxOwnCrashes is the maximum number of crashes that are kept as seen by this host.
const maxOwnCrashes = 64

// storedParts is what this host knows of the refused parts in the store.
type storedParts struct {
	entries map[suspect.Part]storedPart
	// ownCrashes holds the crashes that this host has seen itself.
	ownCrashes crashLog
	expiry     time.Duration
}

type storedPart struct {
	crashes   []suspect.CrashID
	expiresAt time.Duration
}

func newStoredParts() storedParts {
	return storedParts{entries: map[suspect.Part]storedPart{}, expiry: suspect.DefaultPartConfig("").Expiry}
}

// crashLog holds the last maxOwnCrashes crashes, oldest first.
type crashLog []suspect.CrashID

func (c *crashLog) add(crash suspect.CrashID) {
	if slices.Contains(*c, crash) {
		return
	}
	*c = append(*c, crash)
	if excess := len(*c) - maxOwnCrashes; excess > 0 {
		*c = slices.Delete(*c, 0, excess)
	}
}

// publishRefused stores the refused parts that are not in the store yet, ambiguous ones
// included: a host that starts later refuses requests with both of two parts that came
// together in all crashes, and tries requests with one of them.
func (l *Loop) publishRefused(now time.Duration) {
	if l.config.PartStore == nil {
		return
	}
	refused := l.parts.Refused(partTime(now))
	for _, r := range refused {
		if _, isStored := l.storedParts.entries[r.Part]; !isStored {
			l.publish(r, refused)
		}
	}
}

// publishPart stores a part if it is refused.
func (l *Loop) publishPart(now time.Duration, p suspect.Part) {
	if l.config.PartStore == nil {
		return
	}
	refused := l.parts.Refused(partTime(now))
	if i := slices.IndexFunc(refused, func(r suspect.PartReport) bool { return r.Part == p }); i >= 0 {
		l.publish(refused[i], refused)
	}
}

// publish stores a refused part of which this host has seen a crash. The other hosts leave it
// to the ones that have, so that few write the same entry. A part is not stored while another
// one is the more likely cause: without its later crashes, the entry of the other one would
// no longer explain the ones of the part.
func (l *Loop) publish(r suspect.PartReport, refused []suspect.PartReport) {
	isOwn := func(id suspect.CrashID) bool { return slices.Contains(l.storedParts.ownCrashes, id) }
	if !slices.ContainsFunc(r.Crashes, isOwn) || hasMoreLikelyCause(r, refused) {
		return
	}
	entry := platform.CrashPart{Part: uint64(r.Part), RefusedAt: time.Now().Add(-r.Age).UnixMilli()}
	for _, id := range r.Crashes {
		entry.Crashes = append(entry.Crashes, uint64(id))
	}
	l.config.PartStore.Publish(entry)
}

// hasMoreLikelyCause reports whether another refused part explains all crashes of a part and
// has further ones.
func hasMoreLikelyCause(r suspect.PartReport, refused []suspect.PartReport) bool {
	return slices.ContainsFunc(refused, func(o suspect.PartReport) bool {
		return len(o.Crashes) > len(r.Crashes) &&
			!slices.ContainsFunc(r.Crashes, func(id suspect.CrashID) bool { return !slices.Contains(o.Crashes, id) })
	})
}

// partsToWithdraw returns those of the parts that are in the store or that hosts may be about
// to store.
func (l *Loop) partsToWithdraw(now time.Duration, parts []suspect.Part) []suspect.Part {
	var list []suspect.Part
	for _, p := range parts {
		if _, isStored := l.storedParts.entries[p]; isStored || l.isRefusedOrAmbiguous(now, p) {
			list = append(list, p)
		}
	}
	return list
}

func (l *Loop) isRefusedOrAmbiguous(now time.Duration, p suspect.Part) bool {
	switch l.parts.Status(partTime(now), p) {
	case suspect.StatusRefuse:
		return true
	case suspect.StatusIsolate:
		return slices.ContainsFunc(l.parts.Refused(partTime(now)), func(r suspect.PartReport) bool { return r.Part == p })
	default:
		return false
	}
}

// withdrawParts removes the entries of parts that a finished request has cleared.
func (l *Loop) withdrawParts(parts []suspect.Part, changes []suspect.PartChange) {
	if l.config.PartStore == nil {
		return
	}
	for _, c := range changes {
		if c.Status != suspect.StatusRefuse && slices.Contains(parts, c.Part) {
			l.config.PartStore.Withdraw(uint64(c.Part))
		}
	}
}

// applyCrashPart applies the entry of a refused part, or its removal.
func (l *Loop) applyCrashPart(now time.Duration, c platform.Change) {
	part := suspect.Part(c.CrashPart.Part)
	if c.Deleted {
		l.removeStoredPart(now, part)
		return
	}
	// The clock of the host that wrote the entry may be ahead.
	age := max(0, time.Since(time.UnixMilli(c.CrashPart.RefusedAt)))
	if age >= l.storedParts.expiry {
		delete(l.storedParts.entries, part)
		klog.V(1).InfoS("expired prompt part in the store ignored", "part", formatPart(part), "age_s", int64(age.Seconds()), "store_revision", c.Revision)
		return
	}
	report := suspect.PartReport{Part: part, Refused: true, Age: age}
	for _, id := range c.CrashPart.Crashes {
		report.Crashes = append(report.Crashes, suspect.CrashID(id))
	}
	l.storedParts.entries[part] = storedPart{crashes: report.Crashes, expiresAt: now + l.storedParts.expiry - age}
	_, isChanged := l.parts.Apply(partTime(now), report)
	klog.V(1).InfoS("prompt part read from the store", "part", formatPart(part), "changed", isChanged, "status", l.parts.Status(partTime(now), part), "store_revision", c.Revision)
	if isChanged {
		l.updatePartGauges(now)
	}
}

// removeStoredPart clears a part whose entry was withdrawn. The removal of an expired entry
// says nothing about the part.
func (l *Loop) removeStoredPart(now time.Duration, part suspect.Part) {
	stored, ok := l.storedParts.entries[part]
	if !ok {
		return
	}
	delete(l.storedParts.entries, part)
	isExpired := now >= stored.expiresAt
	if !isExpired {
		l.parts.Apply(partTime(now), suspect.PartReport{Part: part, Crashes: stored.crashes, Cleared: true})
		l.updatePartGauges(now)
	}
	klog.V(1).InfoS("prompt part removed from the store", "part", formatPart(part), "expired", isExpired, "status", l.parts.Status(partTime(now), part))
}

// removeMissingParts handles the parts whose entries are missing from a complete list.
func (l *Loop) removeMissingParts(now time.Duration, list []platform.Change) {
	exists := map[suspect.Part]bool{}
	for _, c := range list {
		if c.Kind == platform.ChangeCrashPart {
			exists[suspect.Part(c.CrashPart.Part)] = true
		}
	}
	for part := range l.storedParts.entries {
		if !exists[part] {
			l.removeStoredPart(now, part)
		}
	}
}
