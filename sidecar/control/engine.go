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
	// probeInterval is the time between looks at a healthy engine, and
	// retryInterval between looks at one that is not known to be.
	probeInterval = time.Second
	retryInterval = 250 * time.Millisecond
	// probeTimeout bounds one look. It also bounds how long the failure of an
	// attempt waits for the engine's state.
	probeTimeout = time.Second
	// sweepInterval is the time between reconciliations of engine memory.
	sweepInterval = 5 * time.Second
	// deathProbes is the number of looks that must fail before an engine
	// without failing attempts counts as dead. One lost answer is no proof.
	deathProbes = 2
	// reconcileLimit bounds the wait for runs of a former sidecar to leave the
	// engine. After it their memory is only set aside, as the orders to cancel
	// them go on.
	reconcileLimit = 10 * time.Second
	// orderTimeout bounds one order to the engine.
	orderTimeout = 2 * time.Second
	maxDeaths    = 1_024
)

// watch is what the loop knows of its engine.
type watch struct {
	incarnation string
	model       string
	total       int64
	probing     bool
	failures    int
	nextProbe   time.Time
	lastSweep   time.Time
	since       time.Time
	// failing attempts wait for a look at the engine.
	failing []doneMessage
	deaths  []suspect.CrashID
}

func (w *watch) ownDeath(e suspect.CrashID) bool {
	for _, d := range w.deaths {
		if d == e {
			return true
		}
	}
	return false
}

func (l *Loop) watchEngine(now time.Time) {
	if !l.watch.probing && !now.Before(l.watch.nextProbe) {
		l.probe(now)
	}
}

// probe looks at the engine unless a look is under way.
func (l *Loop) probe(now time.Time) {
	if l.watch.probing {
		return
	}
	l.watch.probing = true
	needsRate := l.phase != phaseServing && l.config.PrefillRate == 0
	l.start(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		m := stateMessage{requested: now}
		m.state, m.err = l.config.Engine.State(ctx)
		if m.err == nil && needsRate {
			// Without a report the ramp learns the speed from first tokens.
			load, _ := l.config.Engine.Load(ctx)
			m.rate = float64(load.PrefillTokensPerSec)
		}
		_ = l.send(m)
	})
}

type stateMessage struct {
	requested time.Time
	state     engine.State
	rate      float64
	err       error
}

func (m stateMessage) apply(l *Loop, now time.Time) {
	w := &l.watch
	w.probing = false
	w.nextProbe = now.Add(retryInterval)
	if m.err != nil {
		w.failures++
		if l.phase != phaseServing || w.failures >= deathProbes || len(w.failing) > 0 {
			l.engineDied(now)
		}
		return
	}
	w.failures = 0
	if w.incarnation != "" && w.incarnation != m.state.Incarnation {
		l.engineDied(now)
	}
	w.incarnation, w.model = m.state.Incarnation, m.state.Model
	l.answerFailing(now, m.requested)
	switch {
	case !m.state.Ready:
		l.leaveService(phaseStarting, verdict.New(verdict.NotRun, verdict.ReasonEndpointStarting, "engine is not ready"))
	case l.phase != phaseServing:
		l.reconcile(now, m)
	default:
		w.nextProbe = now.Add(probeInterval)
		if l.wrongModel() {
			l.handBack(l.open())
		}
		l.sweep(now, m)
	}
}

// answerFailing ends the attempts that failed before the engine was seen
// alive. Later failures need another look.
func (l *Loop) answerFailing(now, requested time.Time) {
	var later []doneMessage
	for _, m := range l.watch.failing {
		if m.at.After(requested) {
			later = append(later, m)
			continue
		}
		l.finish(now, m, true)
		m.answer <- nil
	}
	l.watch.failing = later
	if len(later) > 0 {
		l.probe(now)
	}
}

// engineDied marks everything that was running as suspect and ends it.
func (l *Loop) engineDied(now time.Time) {
	event := l.deathEvent()
	for _, t := range l.attempts {
		if t.stage != stageRunning && t.stage != stageFailing || t.dead {
			continue
		}
		t.dead = true
		close(t.aborted)
		l.strike(now, t, event)
	}
	failing := l.watch.failing
	l.watch.failing = nil
	reports := l.suspects.Reports(now, maxReports)
	for _, m := range failing {
		l.finish(now, m, true)
		m.answer <- reports
	}
	l.limiter.Reset(now)
	l.ledger.Clear()
	l.holds.Clear()
	l.watch.incarnation = ""
	l.leaveService(phaseDown, verdict.New(verdict.NotRun, verdict.ReasonEngineDown, "engine is down"))
}

func (l *Loop) strike(now time.Time, t *Attempt, event suspect.CrashID) {
	if t.Offer.Fingerprint == 0 || !t.ran {
		return
	}
	mark := l.suspects.AddStrike
	if t.Offer.Isolated {
		mark = l.suspects.AddIsolatedStrike
	}
	mark(now, suspect.Fingerprint(t.Offer.Fingerprint), event)
	if !l.watch.ownDeath(event) {
		l.watch.deaths = append(l.watch.deaths, event)
		l.watch.deaths = l.watch.deaths[max(len(l.watch.deaths)-maxDeaths, 0):]
	}
}

// deathEvent names the death of the present engine for all processes alike.
func (l *Loop) deathEvent() suspect.CrashID {
	h := fnv.New64a()
	h.Write([]byte(l.config.Endpoint + "\x00" + l.watch.incarnation))
	if l.watch.incarnation == "" {
		h.Write([]byte(strconv.FormatInt(time.Now().UnixNano(), 10)))
	}
	return suspect.CrashID(h.Sum64())
}

// leaveService returns the queue and stops admission.
func (l *Loop) leaveService(p phase, why *verdict.Error) {
	if l.phase == phaseServing {
		l.watch.since = time.Time{}
	}
	l.phase = p
	l.handBack(why)
}

// reconcile adopts or cancels what the engine holds and then opens the
// endpoint.
func (l *Loop) reconcile(now time.Time, m stateMessage) {
	if l.watch.since.IsZero() {
		l.watch.since = now
	}
	unknown := 0
	for _, p := range m.state.Allocations {
		switch {
		case p.Kind == engine.AllocationRunning && !l.accounted(p):
			unknown++
			l.seen.add(now, p.Owner)
			l.order(memory.Action{Kind: memory.ActionCancel, Allocation: pieceOf(p)})
		case p.Kind == engine.AllocationHold:
			l.adoptHold(now, p)
		}
	}
	if unknown > 0 && now.Sub(l.watch.since) < reconcileLimit {
		return
	}
	total := m.state.TotalTokens
	if total == 0 {
		total = l.config.TotalTokens
	}
	rate := l.config.PrefillRate
	if rate == 0 {
		rate = m.rate
	}
	l.openService(now, total, rate)
	l.sweep(now, m)
}

func (l *Loop) openService(now time.Time, total int64, rate float64) {
	c := ramp.DefaultConfig(total, rate)
	if !l.config.RampEnabled {
		c.FloorTokens = total
	}
	l.watch.total = total
	l.limiter = ramp.New(now, c)
	l.phase = phaseServing
}

// accounted reports whether a running piece belongs to an attempt of this
// process.
func (l *Loop) accounted(p engine.Allocation) bool {
	for _, id := range []string{p.Owner, p.ID} {
		if t := l.attempts[id]; t != nil && t.ran && !t.dead {
			return true
		}
	}
	return false
}

func (l *Loop) adoptHold(now time.Time, p engine.Allocation) {
	hold := group.Hold{ID: p.ID, Tokens: p.Tokens}
	if l.holds.Acquire(now, hold, group.MaxTimeToLive, p.Tokens).OK() {
		l.ledger.Put(now, memory.Entry{ID: p.ID, Kind: memory.KindHold, Owner: p.Owner, Tokens: p.Tokens, Expires: now.Add(group.MaxTimeToLive)})
	}
}

// sweep reconciles the ledger with the engine's memory.
func (l *Loop) sweep(now time.Time, m stateMessage) {
	if now.Sub(l.watch.lastSweep) < sweepInterval {
		return
	}
	l.watch.lastSweep = now
	pieces := make([]memory.Allocation, 0, len(m.state.Allocations))
	for _, p := range m.state.Allocations {
		pieces = append(pieces, pieceOf(p))
	}
	for _, a := range l.ledger.Reconcile(now, m.requested, pieces) {
		l.order(a)
	}
	l.config.Invariants.Check(l.ledger.LeakedTokens() == 0, invariant.MemoryOwner,
		"%d tokens of engine memory have no owner", l.ledger.LeakedTokens())
}

func pieceOf(p engine.Allocation) memory.Allocation {
	return memory.Allocation{ID: p.ID, Kind: memory.Kind(p.Kind), Owner: p.Owner, Tokens: p.Tokens}
}

// order gives one piece back. A failed order is repeated by the next sweep.
func (l *Loop) order(a memory.Action) {
	l.metrics.freed.Inc(1)
	l.start(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
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
