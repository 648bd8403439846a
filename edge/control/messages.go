package control

import (
	"context"
	"time"

	"siskinstand.example/coord/catalog"
	"siskinstand.example/coord/connlimit"
	"siskinstand.example/coord/health"
	"siskinstand.example/coord/placement"
	"siskinstand.example/coord/suspect"
	"siskinstand.example/edge/peer"
	"siskinstand.example/platform"
)

// message is an event handled by the control goroutine.
type message interface{ isMessage() }

// Target identifies a replica that runs a request or helps with its prefill.
type Target struct {
	ID          string
	Address     string
	StartUnixMs int64 // start time of the replica's process
}

// Assignment is the permission to send one request to a replica.
type Assignment struct {
	ID      uint64
	Target  Target
	Helpers []Target
	// HelperReservations is the memory to reserve at helpers, in tokens by replica ID.
	HelperReservations  map[string]int
	PredictedFirstEvent time.Duration
	// Connections bounds the connections to the replica.
	Connections connlimit.Bounds
	// TriesParts is set if a part of the prompt is not known good, so that the first event is
	// to be reported with RecordAnswerBegun.
	TriesParts bool
	// Measured is set if the first event is to be reported with RecordFirstEvent.
	Measured bool
	// AccountShare is the part of all used replica time that the request's account has used, for
	// the log.
	AccountShare float64
	// Load is the replica's load as known at the time of placement, for the log.
	Load placement.Load
	// Cost is the predicted cost, for the log; empty while predictions are off.
	Cost CostEstimate
}

// HelperIDs returns the replica IDs of the helpers, for the log.
func (a Assignment) HelperIDs() []string {
	var ids []string
	for _, h := range a.Helpers {
		ids = append(ids, h.ID)
	}
	return ids
}

// PlacementRequest describes a request that needs a replica.
type PlacementRequest struct {
	ID      string
	Service *catalog.Service
	Request placement.Request
	// Route and Account are the names of the route and of the client account, which is empty
	// for public routes. OutputHint is the caller's estimate of the output length, or 0.
	Route      string
	Account    string
	OutputHint int
	// Regions are the regions in which the request may run; empty allows all.
	Regions     []string
	Fingerprint suspect.Fingerprint
	// Parts are the parts of the prompt that other requests may share.
	Parts []suspect.Part
	// Excluded holds the IDs of replicas that this request has already tried.
	Excluded []string
	// BodyBytes is the size of the request's body.
	BodyBytes int64
	// IsRetry is set if a replica may already have received the request. Retries use the
	// retry budget.
	IsRetry bool
	// isReplaced is set if the request was placed before and that placement was given up. It
	// has been counted in the retry budget.
	isReplaced bool
}

// placementMessage asks the control goroutine to place a request.
type placementMessage struct {
	ctx     context.Context
	request PlacementRequest
	reply   chan<- decision
	// receivedAt is the boot clock reading when the request was submitted.
	receivedAt time.Duration
	// placeableSince is the time since which only an older request at another host has
	// prevented the placement, or 0.
	placeableSince time.Duration
	// placements is the number of placements that were not confirmed.
	placements int
}

// usableQuestion asks whether a replica may still get new requests.
type usableQuestion struct {
	service string
	target  Target
	reply   chan<- bool
}

// decision is the result of a placement: an assignment or a refusal.
type decision struct {
	assignment Assignment
	refusal    Refusal
}

// Refusal explains why no replica was assigned to a request.
type Refusal struct {
	Reason              RefusalReason
	RetryAfter          time.Duration
	PredictedFirstEvent time.Duration
	// ReplicaCount is the number of replicas that were considered.
	ReplicaCount int
	// Part is the part of the prompt because of which the request was refused, or 0.
	Part suspect.Part
	// AccountShare is the part of all used replica time that the request's account has used, for
	// the log.
	AccountShare float64
	// mayQueue is set if the request can wait for a replica.
	mayQueue bool
	// blockedByOlder is set if the request could be placed but for an older request.
	blockedByOlder bool
	// waitsForSlot is set if the request can wait for a slot of a replica.
	waitsForSlot bool
}

// RefusalReason is the reason for a refusal.
type RefusalReason string

// Reasons for refusals, in addition to those of package placement.
const (
	RefusedNoReplica    RefusalReason = "no_replica"
	RefusedRetryBudget  RefusalReason = "retry_budget"
	RefusedCrashSuspect RefusalReason = "crash_suspect"
	// RefusedSuspectedPart means that a part of the prompt is suspected of crashing replicas
	// and that this host may not try it now.
	RefusedSuspectedPart RefusalReason = "suspected_part"
	// RefusedUnresolvedCrash means that replicas may have crashed while they ran the request,
	// often enough to refuse it, and that a probe has yet to show whether they did.
	RefusedUnresolvedCrash RefusalReason = "unresolved_crash"
	// RefusedReplicaBytes means that the body might exceed the limit of every usable replica.
	RefusedReplicaBytes RefusalReason = "replica_bytes"
	// RefusedDraining means that the request would have to wait at a draining host.
	RefusedDraining RefusalReason = "leaving"
)

// responseStarted reports that a replica has started to send a stream.
type responseStarted struct{ assignmentID uint64 }

// answerBegun reports that the first event of a stream has arrived.
type answerBegun struct {
	assignmentID uint64
	target       Target
}

// SendResult describes how a send ended.
type SendResult struct {
	// Outcome is what the send revealed about the replica.
	Outcome health.Outcome
	// ConnectionErr is the error of a send that got no connection or no response, or nil.
	ConnectionErr error
	// MayHaveCrashed is set if the replica may have crashed while it ran the request.
	MayHaveCrashed bool
	// Aborted is set if this host closed the connection because of an invalid response. The
	// replica was still alive then.
	Aborted bool
	// Began is set if the replica had begun to write an answer.
	Began bool
	// Finished is set if the replica has run the request to its end without an error.
	Finished bool
	// Events is the number of events of a stream that have arrived.
	Events int
}

// replicaLeaving reports that a replica has said in a response that it leaves.
type replicaLeaving struct {
	target    Target
	requestID string
}

// replicaPaused reports that a replica wants no requests from this host for a while.
type replicaPaused struct {
	target    Target
	length    time.Duration
	requestID string
}

// sendEnded reports the end of a send.
type sendEnded struct {
	assignmentID uint64
	target       Target
	result       SendResult
	fingerprint  suspect.Fingerprint
	// parts is set when the control goroutine handles the message.
	parts []suspect.Part
	// probeAt is the earliest start of a probe that can show that the replica has not crashed.
	probeAt time.Duration
}

// storeUpdate holds changes read from the store.
type storeUpdate struct {
	// full means that list is complete; removeMissing handles entries missing from it.
	full bool
	list []platform.Change
	// asOf is the time at which the configuration is proven to have been the newest.
	asOf time.Duration
}

type storeOutage struct{ err error }

type peerReport struct {
	name        string
	incarnation int64
	// sequence is the sequence number of the report, or 0 if unknown.
	sequence uint32
	report   placement.Report
	suspects []suspect.Report
	parts    []suspect.PartReport
	sections []peer.Section
}

// probeResult reports whether a replica accepts connections.
type probeResult struct {
	id  string
	err error
	// startedAt is the boot clock reading when the probe started.
	startedAt time.Duration
}

type drainStarted struct{}

type retryLimitsUpdate struct{ limits RetryLimits }

func (placementMessage) isMessage()  {}
func (usableQuestion) isMessage()    {}
func (replicaLeaving) isMessage()    {}
func (replicaPaused) isMessage()     {}
func (responseStarted) isMessage()   {}
func (answerBegun) isMessage()       {}
func (sendEnded) isMessage()         {}
func (storeUpdate) isMessage()       {}
func (storeOutage) isMessage()       {}
func (peerReport) isMessage()        {}
func (drainStarted) isMessage()      {}
func (probeResult) isMessage()       {}
func (retryLimitsUpdate) isMessage() {}
