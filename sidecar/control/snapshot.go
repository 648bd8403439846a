package control

import (
	"time"

	"siskinstand.example/coord/admission"
	"siskinstand.example/coord/suspect"
)

// State is the state of the endpoint as gateways see it.
type State string

// The states of an endpoint. A draining one takes no new work because the
// sidecar stops, the zone is out or the host is leaving.
const (
	StateStarting   State = "starting"
	StateServing    State = "serving"
	StateDraining   State = "draining"
	StateEngineDown State = "engine_down"
)

// significantShare is the change of load, as a share of the endpoint's memory,
// that gateways hear of before the next regular report.
const significantShare = 0.1

// suspectRefresh is the time after which published suspects are collected
// again, so that their ages stay right.
const suspectRefresh = time.Second

// Snapshot is what traffic goroutines may know of the loop.
type Snapshot struct {
	State    State
	Load     admission.Load
	Capacity admission.Capacity
	// TotalTokens is the engine's memory, HeldTokens the part held for groups.
	TotalTokens int64
	HeldTokens  int64
	Model       string
	// ModelToLoad is the model that the engine has to be ordered to load now.
	ModelToLoad string
	ConfigSlice ConfigSlice
	Suspects    []suspect.Report
	// Changed is closed when a snapshot that differs significantly from this
	// one follows.
	Changed chan struct{}

	suspectsAt time.Time
}

// Snapshot returns the latest snapshot.
func (l *Loop) Snapshot() *Snapshot { return l.snapshot.Load() }

func (l *Loop) state() State {
	switch {
	case l.phase == phaseDown:
		return StateEngineDown
	case l.draining || l.slice.ZoneOut || l.slice.HostLeaving:
		return StateDraining
	case l.phase == phaseStarting || l.wrongModel():
		return StateStarting
	default:
		return StateServing
	}
}

func (l *Loop) publish() {
	now := time.Now()
	old := l.snapshot.Load()
	next := &Snapshot{
		State: l.state(), Load: l.queue.Load(), TotalTokens: l.watch.total, HeldTokens: l.holds.Tokens(), Model: l.watch.model,
		ConfigSlice: l.slice, Changed: old.Changed, Suspects: old.Suspects, suspectsAt: old.suspectsAt,
		Capacity: l.capacity(), ModelToLoad: l.modelToLoad(),
	}
	if now.Sub(old.suspectsAt) >= suspectRefresh || len(old.Suspects) != min(l.suspects.Len(), maxReports) || next.State != old.State {
		next.Suspects = l.suspects.Reports(now, maxReports)
		next.suspectsAt = now
	}
	if next.differs(l.reported) {
		next.Changed = make(chan struct{})
		l.reported = next
		defer close(old.Changed)
	}
	l.snapshot.Store(next)
	l.metrics.gauges(next)
}

// differs reports whether gateways should hear of a snapshot at once. A mere
// revision goes with the next report, because gateways need it for status only.
func (s *Snapshot) differs(old *Snapshot) bool {
	if old == nil || s.State != old.State || s.ConfigSlice.WithRevision(0) != old.ConfigSlice.WithRevision(0) || s.Model != old.Model || s.ModelToLoad != old.ModelToLoad || len(s.Suspects) != len(old.Suspects) {
		return true
	}
	tokens := func(l admission.Load) int64 { return l.QueuedTokens + l.ReservedTokens }
	change := max(tokens(s.Load)-tokens(old.Load), tokens(old.Load)-tokens(s.Load))
	limit := max(s.Capacity.LimitTokens-old.Capacity.LimitTokens, old.Capacity.LimitTokens-s.Capacity.LimitTokens)
	return float64(max(change, limit)) > significantShare*float64(s.TotalTokens)
}
