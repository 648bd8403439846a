package control

import (
	"context"
	"time"

	"siskinstand.example/coord/catalog"
	"siskinstand.example/coord/health"
	"siskinstand.example/coord/placement"
	"siskinstand.example/coord/suspect"
	"siskinstand.example/platform"
)

// message is an event for the control goroutine.
type message interface{ isMessage() }

// Target is a replica that a request is sent to.
type Target struct {
	ID          string
	Address     string
	StartUnixMs int64
}

// Assignment lets one request go to a replica.
type Assignment struct {
	ID      uint64
	Target  Target
	Helpers []Target
	// HelperReservations is the memory in tokens to reserve at some helpers, by id.
	HelperReservations  map[string]int
	PredictedFirstEvent time.Duration
	// Load is what was known of the replica's load, for the log.
	Load placement.Load
}

// HelperIDs lists the helpers for the log.
func (g Assignment) HelperIDs() []string {
	var ids []string
	for _, h := range g.Helpers {
		ids = append(ids, h.ID)
	}
	return ids
}

// PlacementRequest is a request that needs a replica.
type PlacementRequest struct {
	ID      string
	Service *catalog.Service
	Request placement.Request
	// Regions that may see the request; empty allows all.
	Regions     []string
	Fingerprint suspect.Fingerprint
	// Excluded are replicas that this request has tried.
	Excluded []string
	// IsRetry marks a send after the first one, which needs the retry budget.
	IsRetry bool
}

type placementMessage struct {
	ctx     context.Context
	request PlacementRequest
	reply   chan<- decision
	// receivedAt is the boot clock at the call.
	receivedAt time.Duration
	// placeableSince is the moment since which it could be placed but for an older
	// request elsewhere; 0 if it can't.
	placeableSince time.Duration
}

type decision struct {
	assignment Assignment
	refusal    Refusal
}

// Refusal says why a request gets no replica.
type Refusal struct {
	Reason              RefusalReason
	RetryAfter          time.Duration
	PredictedFirstEvent time.Duration
	// ReplicaCount is the number of replicas that were considered.
	ReplicaCount int
	// mayQueue says that the request may be placed later.
	mayQueue bool
	// blockedByOlder says that only an older request stands before it.
	blockedByOlder bool
}

// RefusalReason is the cause of a refusal.
type RefusalReason string

// The causes of refusals beside those of placement.
const (
	RefusedNoReplica    RefusalReason = "no_replica"
	RefusedRetryBudget  RefusalReason = "retry_budget"
	RefusedCrashSuspect RefusalReason = "crash_suspect"
	// RefusedDraining is given to a request that waits at a host which is leaving.
	RefusedDraining RefusalReason = "leaving"
)

// responseStarted says that a request has begun to answer.
type responseStarted struct{ assignmentID uint64 }

// sendEnded says how a send ended.
type sendEnded struct {
	assignmentID uint64
	target       Target
	outcome      health.Outcome
	// crashed requests were running when their replica broke off.
	crashed     bool
	fingerprint suspect.Fingerprint
}

// storeUpdate come from the store. full replaces all that was known of the prefixes.
type storeUpdate struct {
	full bool
	list []platform.Change
	// proof says that the answer covers the configuration.
	proof bool
	// asOf is the moment that the answer proves.
	asOf time.Duration
}

type storeOutage struct{ err error }

type peerReport struct {
	name     string
	boot     int64
	report   placement.Report
	suspects []suspect.Report
}

// probeResult says whether a replica could be reached.
type probeResult struct {
	id  string
	err error
}

type drainStarted struct{}

type limitsUpdate struct{ limits Limits }

func (placementMessage) isMessage() {}
func (responseStarted) isMessage()  {}
func (sendEnded) isMessage()        {}
func (storeUpdate) isMessage()      {}
func (storeOutage) isMessage()      {}
func (peerReport) isMessage()       {}
func (drainStarted) isMessage()     {}
func (probeResult) isMessage()      {}
func (limitsUpdate) isMessage()     {}
