package control

import (
	"context"
	"hash/fnv"
	"strconv"
	"time"

	"siskinstand.example/adapters/engine"
	"siskinstand.example/coord/group"
	"siskinstand.example/coord/invariant"
	"siskinstand.example/coord/memory"
	"siskinstand.example/coord/ramp"
	"siskinstand.example/coord/suspect"
	"siskinstand.example/coord/verdict"
)

const (
	// probeInterval is the time between probes while the endpoint is serving,
	// fastProbeInterval the time after a failed probe or while it is not serving.
	probeInterval     = time.Second
	fastProbeInterval = 250 * time.Millisecond
	// probeTimeout bounds one probe. A failed attempt waits for at most two: one
	// that was in flight when it failed and, if that succeeds, another.
	probeTimeout = time.Second
	// memoryReconcileInterval is the minimum time between reconciliations of the
	// ledger with the engine's memory, which follow a successful probe.
	memoryReconcileInterval = 5 * time.Second
	// probeFailuresForCrash is the number of consecutive failed probes after
	// which a serving engine counts as crashed. One lost response is not
	// sufficient evidence, unless a failed attempt is waiting for the probe.
	probeFailuresForCrash = 2
	// unknownRunsTimeout bounds the wait for unknown runs to leave the engine
	// before the endpoint starts serving, or serves again after the engine failed.
	// Such runs are left from a previous sidecar process or from attempts that
	// ended as crashed. After it the endpoint starts serving, their memory is
	// excluded from the capacity, and the sidecar keeps sending cancellations.
	unknownRunsTimeout = 10 * time.Second
	// memoryActionTimeout bounds one free or cancel call to the engine.
	memoryActionTimeout = 2 * time.Second
	maxRecentCrashes    = 1_024
)

// engineMonitor is the last known state of the engine.
type engineMonitor struct {
	incarnation         string
	model               string
	totalTokens         int64
	probeInFlight       bool
	probeFailures       int
	nextProbe           time.Time
	lastMemoryReconcile time.Time
	reconcilingSince    time.Time
	// awaitingProbe lists failed attempts that wait for the result of a probe.
	awaitingProbe []endAttemptMessage
	recentCrashes []suspect.CrashID
}

// observedCrash reports whether this sidecar has seen the crash on its own
// engine.
func (m *engineMonitor) observedCrash(id suspect.CrashID) bool {
	for _, c := range m.recentCrashes {
		if c == id {
			return true
		}
	}
	return false
}

func (l *Loop) probeIfDue(now time.Time) {
	if !l.monitor.probeInFlight && !now.Before(l.monitor.nextProbe) {
		l.probe(now)
	}
}

// probe requests the engine's state, unless a probe is already in flight.
func (l *Loop) probe(now time.Time) {
	if l.monitor.probeInFlight {
		return
	}
	l.monitor.probeInFlight = true
	needsPrefillRate := l.phase != phaseServing && l.config.PrefillRate == 0
	l.runInBackground(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		m := stateMessage{requestedAt: now}
		m.state, m.err = l.config.Engine.State(ctx)
		if m.err == nil && needsPrefillRate {
			// Without a reported rate the ramp estimates it from the time to
			// first token.
			load, _ := l.config.Engine.Load(ctx)
			m.prefillRate = float64(load.PrefillTokensPerSec)
		}
		_ = l.send(m)
	})
}

type stateMessage struct {
	requestedAt time.Time
	state       engine.State
	prefillRate float64
	err         error
}

func (m stateMessage) apply(l *Loop, now time.Time) {
	monitor := &l.monitor
	monitor.probeInFlight = false
	monitor.nextProbe = now.Add(fastProbeInterval)
	if m.err != nil {
		l.handleFailedProbe(now, m)
		return
	}
	monitor.probeFailures = 0
	if monitor.incarnation != "" && monitor.incarnation != m.state.Incarnation {
		l.handleEngineCrash(now)
	}
	monitor.incarnation, monitor.model = m.state.Incarnation, m.state.Model
	l.endFailedAttempts(now, m.requestedAt)
	switch {
	case !m.state.Ready:
		l.stopServing(phaseStarting, verdict.New(verdict.NotRun, verdict.ReasonEndpointStarting, "engine is not ready"))
	case l.phase != phaseServing:
		l.reconcileBeforeServing(now, m)
	default:
		monitor.nextProbe = now.Add(probeInterval)
		if l.servesWrongModel() {
			l.refuseUndispatched(l.endpointRefusal())
		}
		l.reconcileMemory(now, m)
	}
}

// endFailedAttempts ends the attempts that failed before the successful probe
// was sent. Later failures need another probe.
func (l *Loop) endFailedAttempts(now, requestedAt time.Time) {
	var remaining []endAttemptMessage
	for _, m := range l.monitor.awaitingProbe {
		if m.failedAt.After(requestedAt) {
			remaining = append(remaining, m)
			continue
		}
		l.finishAttempt(now, m, true)
		m.reply <- nil
	}
	l.monitor.awaitingProbe = remaining
	if len(remaining) > 0 {
		l.probe(now)
	}
}

// handleEngineCrash adds a strike to every running request, aborts its attempts
// and clears all state that referred to the engine's memory.
func (l *Loop) handleEngineCrash(now time.Time) {
	crashID := l.currentCrashID()
	for _, a := range l.attempts {
		if a.stage != stageRunning && a.stage != stageAwaitingProbe || a.engineCrashed {
			continue
		}
		a.engineCrashed = true
		close(a.aborted)
		l.addStrike(now, a, crashID)
	}
	failed := l.monitor.awaitingProbe
	l.monitor.awaitingProbe = nil
	reports := l.suspects.Reports(now, maxSuspectReports)
	for _, m := range failed {
		l.finishAttempt(now, m, true)
		m.reply <- reports
	}
	l.limiter.Reset(now)
	l.ledger.Clear()
	l.holds.Clear()
	l.monitor.incarnation = ""
	l.stopServing(phaseDown, verdict.New(verdict.NotRun, verdict.ReasonEngineDown, "engine is down"))
}

func (l *Loop) addStrike(now time.Time, a *Attempt, crashID suspect.CrashID) {
	if a.Offer.Fingerprint == 0 || !a.mayHaveRun {
		return
	}
	add := l.suspects.AddStrike
	if a.Offer.Isolated {
		add = l.suspects.AddIsolatedStrike
	}
	add(now, suspect.Fingerprint(a.Offer.Fingerprint), crashID)
	if !l.monitor.observedCrash(crashID) {
		l.monitor.recentCrashes = append(l.monitor.recentCrashes, crashID)
		l.monitor.recentCrashes = l.monitor.recentCrashes[max(len(l.monitor.recentCrashes)-maxRecentCrashes, 0):]
	}
}

// currentCrashID returns the identifier of a crash of the current engine
// incarnation. It is a hash of the endpoint and the incarnation, so that a crash
// that is detected twice counts one strike, also if the sidecar was restarted in
// between. If the incarnation is unknown, as for a plain service, the time makes
// the identifier unique.
func (l *Loop) currentCrashID() suspect.CrashID {
	h := fnv.New64a()
	h.Write([]byte(l.config.Endpoint + "\x00" + l.monitor.incarnation))
	if l.monitor.incarnation == "" {
		h.Write([]byte(strconv.FormatInt(time.Now().UnixNano(), 10)))
	}
	return suspect.CrashID(h.Sum64())
}

// stopServing stops admission and refuses all attempts that have not been
// dispatched.
func (l *Loop) stopServing(p phase, refusal *verdict.Error) {
	if l.phase == phaseServing {
		l.monitor.reconcilingSince = time.Time{}
	}
	l.phase = p
	l.refuseUndispatched(refusal)
}

// reconcileBeforeServing adopts the holds and cancels the unknown runs found in
// the engine. It also records these runs as dispatched, so that their attempts are
// refused as duplicates if a gateway offers them again. It starts serving once the
// runs have left the engine or unknownRunsTimeout has passed.
func (l *Loop) reconcileBeforeServing(now time.Time, m stateMessage) {
	if l.monitor.reconcilingSince.IsZero() {
		l.monitor.reconcilingSince = now
	}
	unknownRuns := 0
	for _, alloc := range m.state.Allocations {
		switch {
		case alloc.Kind == engine.AllocationRunning && !l.ownsRunningAllocation(alloc):
			unknownRuns++
			l.dispatches.add(now, alloc.Owner)
			l.applyMemoryAction(memory.Action{Kind: memory.ActionCancel, Allocation: toMemoryAllocation(alloc)})
		case alloc.Kind == engine.AllocationHold:
			l.adoptHold(now, alloc)
		}
	}
	if unknownRuns > 0 && now.Sub(l.monitor.reconcilingSince) < unknownRunsTimeout {
		return
	}
	total := m.state.TotalTokens
	if total == 0 {
		total = l.config.TotalTokens
	}
	rate := l.config.PrefillRate
	if rate == 0 {
		rate = m.prefillRate
	}
	l.startServing(now, total, rate)
	l.reconcileMemory(now, m)
}

func (l *Loop) startServing(now time.Time, total int64, rate float64) {
	c := ramp.DefaultConfig(total, rate)
	if !l.config.RampEnabled {
		c.FloorTokens = total
	}
	l.monitor.totalTokens = total
	l.limiter = ramp.New(now, c)
	l.phase = phaseServing
}

// ownsRunningAllocation reports whether the memory of a run belongs to an
// attempt of this process.
func (l *Loop) ownsRunningAllocation(alloc engine.Allocation) bool {
	for _, id := range []string{alloc.Owner, alloc.ID} {
		if a := l.attempts[id]; a != nil && a.mayHaveRun && !a.engineCrashed {
			return true
		}
	}
	return false
}

func (l *Loop) adoptHold(now time.Time, alloc engine.Allocation) {
	hold := group.Hold{ID: alloc.ID, Tokens: alloc.Tokens}
	if l.holds.Acquire(now, hold, group.MaxTimeToLive, alloc.Tokens).OK() {
		l.ledger.Put(now, memory.Entry{ID: alloc.ID, Kind: memory.KindHold, Owner: alloc.Owner, Tokens: alloc.Tokens, Expires: now.Add(group.MaxTimeToLive)})
	}
}

// reconcileMemory compares the ledger with the engine's memory and frees or
// cancels what has no owner.
func (l *Loop) reconcileMemory(now time.Time, m stateMessage) {
	if now.Sub(l.monitor.lastMemoryReconcile) < memoryReconcileInterval {
		return
	}
	l.monitor.lastMemoryReconcile = now
	allocations := make([]memory.Allocation, 0, len(m.state.Allocations))
	for _, alloc := range m.state.Allocations {
		allocations = append(allocations, toMemoryAllocation(alloc))
	}
	for _, a := range l.ledger.Reconcile(now, m.requestedAt, allocations) {
		l.applyMemoryAction(a)
	}
	l.config.Invariants.Check(l.ledger.LeakedTokens() == 0, invariant.MemoryOwner,
		"%d tokens of engine memory have no owner", l.ledger.LeakedTokens())
}

func toMemoryAllocation(alloc engine.Allocation) memory.Allocation {
	return memory.Allocation{ID: alloc.ID, Kind: memory.Kind(alloc.Kind), Owner: alloc.Owner, Tokens: alloc.Tokens}
}

// applyMemoryAction frees an allocation or cancels its run in the background.
// A failed call is repeated by a later reconciliation, which may first wait for
// the ledger's grace period.
func (l *Loop) applyMemoryAction(a memory.Action) {
	l.metrics.memoryActions.Inc(1)
	l.runInBackground(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, memoryActionTimeout)
		defer cancel()
		if a.Kind == memory.ActionFree {
			_ = l.config.Engine.Free(ctx, a.Allocation.ID)
			return
		}
		id := a.Allocation.Owner
		if id == "" {
			id = a.Allocation.ID
		}
		_ = l.config.Engine.Cancel(ctx, id)
	})
}
