package control

import (
	"time"

	"siskinstand.example/coord/admission"
	"siskinstand.example/coord/suspect"
)

// State is the state of the endpoint that is reported to gateways.
type State string

// The states of an endpoint. StateDraining means that it takes no new work
// because the sidecar is stopping, the zone is out of service or the host is
// leaving.
const (
	StateStarting   State = "starting"
	StateServing    State = "serving"
	StateDraining   State = "draining"
	StateEngineDown State = "engine_down"
)

// significantLoadChange is a share of the endpoint's memory. If the load or the
// concurrency limit has changed by more than that, gateways get a report at once
// instead of with the next periodic report.
const significantLoadChange = 0.1

// suspectRefreshInterval is the time after which the published suspects are
// collected again, so that their ages stay accurate.
const suspectRefreshInterval = time.Second

// Snapshot is an immutable copy of the loop's state for other goroutines.
type Snapshot struct {
	State    State
	Load     admission.Load
	Capacity admission.Capacity
	// TotalTokens is the engine's memory, HeldTokens the part reserved by
	// holds.
	TotalTokens int64
	HeldTokens  int64
	// Model is the model that the engine serves, ModelToLoad the one that it must
	// be ordered to load now, or empty.
	Model       string
	ModelToLoad string
	ConfigSlice ConfigSlice
	Suspects    []suspect.Report
	// Changed is closed when a snapshot is published that differs significantly
	// from the first snapshot with the same channel.
	Changed chan struct{}

	suspectsAt time.Time
}

// Snapshot returns the latest snapshot.
func (l *Loop) Snapshot() *Snapshot { return l.snapshot.Load() }

func (l *Loop) state() State {
	switch {
	case l.phase == phaseDown:
		return StateEngineDown
	case l.draining || l.configSlice.ZoneOut || l.configSlice.HostLeaving:
		return StateDraining
	case l.phase == phaseStarting || l.servesWrongModel():
		return StateStarting
	default:
		return StateServing
	}
}

func (l *Loop) publish() {
	now := time.Now()
	old := l.snapshot.Load()
	next := &Snapshot{
		State: l.state(), Load: l.queue.Load(), TotalTokens: l.monitor.totalTokens, HeldTokens: l.holds.Tokens(), Model: l.monitor.model,
		ConfigSlice: l.configSlice, Changed: old.Changed, Suspects: old.Suspects, suspectsAt: old.suspectsAt,
		Capacity: l.capacity(), ModelToLoad: l.modelToLoad(),
	}
	if now.Sub(old.suspectsAt) >= suspectRefreshInterval || len(old.Suspects) != min(l.suspects.Len(), maxSuspectReports) || next.State != old.State {
		next.Suspects = l.suspects.Reports(now, maxSuspectReports)
		next.suspectsAt = now
	}
	if next.differsSignificantly(l.lastReported) {
		next.Changed = make(chan struct{})
		l.lastReported = next
		defer close(old.Changed)
	}
	l.snapshot.Store(next)
	l.metrics.updateGauges(next)
}

// differsSignificantly reports whether the snapshot must be reported to
// gateways at once. A new revision alone is sent with the next periodic report,
// because gateways only show it in their status.
func (s *Snapshot) differsSignificantly(old *Snapshot) bool {
	if old == nil || s.State != old.State || s.ConfigSlice.WithRevision(0) != old.ConfigSlice.WithRevision(0) || s.Model != old.Model || s.ModelToLoad != old.ModelToLoad || len(s.Suspects) != len(old.Suspects) {
		return true
	}
	tokens := func(l admission.Load) int64 { return l.QueuedTokens + l.ReservedTokens }
	loadChange := max(tokens(s.Load)-tokens(old.Load), tokens(old.Load)-tokens(s.Load))
	limitChange := max(s.Capacity.LimitTokens-old.Capacity.LimitTokens, old.Capacity.LimitTokens-s.Capacity.LimitTokens)
	return float64(max(loadChange, limitChange)) > significantLoadChange*float64(s.TotalTokens)
}
