// Package control implements the control loop of an entry host. One goroutine owns
// the control state and handles typed messages; the goroutines that serve requests
// read immutable snapshots of it.
package control

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/coord/catalog"
	"siskinstand.example/coord/directory"
	"siskinstand.example/coord/freshness"
	"siskinstand.example/coord/health"
	"siskinstand.example/coord/placement"
	"siskinstand.example/coord/retry"
	"siskinstand.example/coord/suspect"
	"siskinstand.example/edge/peer"
	"siskinstand.example/platform"
	"siskinstand.example/service/bootclock"
)

// messageQueueSize is the capacity of the control goroutine's message channel.
const messageQueueSize = 1024

// View is an immutable snapshot of the control state for request goroutines.
type View struct {
	// Catalog is nil until the configuration is known.
	Catalog *catalog.Catalog
	// Proof is the time up to which Catalog is known to be the newest valid
	// configuration.
	Proof freshness.Proof
	// ReplicaCount is the number of known replicas.
	ReplicaCount int
	Draining     bool
	// StoreUnavailable is set while reads and watches of the store fail.
	StoreUnavailable bool
}

// ReportSender sends this host's load report, crash suspects, suspected prompt parts and
// sections to other entry hosts.
type ReportSender interface {
	Send(to peer.Recipients, m peer.Message)
	// SetNeighbors replaces the addresses of the other hosts of this host's availability
	// zone, to which the sender forwards reports from other zones.
	SetNeighbors(addresses []string)
}

// RetryLimits limit the retries of all hosts together: to a share of the requests to a
// service, plus a fixed number (Slack) in the platform's time window. They can be changed
// while the process runs.
type RetryLimits struct {
	Share float64
	Slack float64
}

// Prober checks whether an address accepts connections.
type Prober interface {
	// Probe opens a connection. The error is judged by connfault.StateOf.
	Probe(ctx context.Context, address string) error
}

// Loop is the control loop. Its exported methods are safe for concurrent use.
type Loop struct {
	config   Config
	messages chan message
	view     atomic.Pointer[View]
	// configured is closed once the first configuration is known.
	configured chan struct{}

	directory *directory.Table
	// ranked caches rankedReplicas, and candidateBuffer is the array of candidates.
	ranked          rankedReplicas
	candidateBuffer []placement.Candidate
	// retainedVersion is the version of the directory at the last forgetRemovedReplicas.
	retainedVersion uint64
	// connectionsVersion is the version of the directory at the last retainConnections.
	connectionsVersion uint64

	health *health.Tracker
	ledger *placement.Ledger
	// costs is nil while predictions are off, replicaBytes without a limit.
	costs        *costs
	replicaBytes *replicaBytes
	suspects     *suspect.Tracker
	parts        *suspect.PartTracker
	// partSends holds the prompt parts of the requests that are at a replica and have received
	// no event.
	partSends      partSends
	storedParts    storedParts
	storedRequests storedRequests
	// budgets holds the retry budgets, models the placement models, by service name.
	budgets map[string]retry.Budget
	models  map[string]placement.Model
	// coldPlacements holds, by replica ID, when requests were placed at a cold replica.
	coldPlacements map[string][]time.Duration
	// brokenSends holds, by replica ID, sends that may have crashed the replica. Their
	// requests become crash suspects if the replica turns out to be dead.
	brokenSends map[string][]sendEnded
	// peers holds the other entry hosts by name.
	peers map[string]platform.Peer
	// forwarding holds which hosts forward this host's reports; lastSequences holds, by host,
	// the sequence number of the last report applied.
	forwarding    forwarding
	lastSequences map[string]uint32
	// ctx is the context of Run.
	ctx        context.Context
	lastReport time.Duration
	// slotQueue holds the short prompts that wait for a slot.
	slotQueue    placement.SlotQueue[placementMessage]
	lastSlotScan time.Duration
	// silentPeers is the last result of silentPeerCount, from the time silentPeersAt.
	silentPeers   int
	silentPeersAt time.Duration
	// waiting exchanges the lengths of slotQueue between hosts; nil if slots are not awaited.
	waiting *waitingSection
	// turnedAway exchanges which replicas turn connections away; nil without
	// Config.ConnectionLimits.
	turnedAway *turnedAwaySection
	// lastFullReport is the time of the last full report, or 0 to make the next report
	// full. Other reports contain only changed rows.
	lastFullReport time.Duration
	// drainStartedAt is the time at which draining started, or 0.
	drainStartedAt time.Duration
	// nextReport is the time at which the next report is due, or 0. If reportUnchanged is
	// not set, it is sent only if the load of a replica has changed.
	nextReport            time.Duration
	reportUnchanged       bool
	storeUnavailableSince time.Duration
	// queue holds the requests that wait for a replica, oldest first or in the order of fairOrder.
	queue         []placementMessage
	lastQueueScan time.Duration
	// accounts is nil without Config.FairShares.
	accounts *accounts
}

// New returns a loop; Run starts it.
func New(c Config) *Loop {
	l := &Loop{
		config: c, messages: make(chan message, messageQueueSize), configured: make(chan struct{}),
		directory: directory.New(c.Directory), health: health.New(health.DefaultPolicy()),
		ledger: placement.NewLedger(c.PeerTimeout), suspects: suspect.New(suspect.DefaultConfig()),
		parts: suspect.NewPartTracker(suspect.DefaultPartConfig(c.Name)), partSends: newPartSends(), storedParts: newStoredParts(),
		budgets: map[string]retry.Budget{}, coldPlacements: map[string][]time.Duration{}, brokenSends: map[string][]sendEnded{},
		storedRequests: newStoredRequests(), peers: map[string]platform.Peer{}, lastSequences: map[string]uint32{}, models: map[string]placement.Model{},
	}
	if c.Placement.WaitForSlots {
		l.waiting = newWaitingSection()
		l.config.Sections = append(slices.Clone(c.Sections), l.waiting)
	}
	if c.ConnectionLimits != nil {
		l.turnedAway = newTurnedAwaySection(l)
		l.config.Sections = append(slices.Clone(l.config.Sections), l.turnedAway)
	}
	if c.CostPrediction {
		l.enableCostPrediction()
	}
	if c.FairShares {
		l.accounts = newAccounts()
		l.config.Sections = append(slices.Clone(l.config.Sections), l.accounts)
	}
	if l.replicaBytes = newReplicaBytes(c); l.replicaBytes != nil {
		l.config.Sections = append(slices.Clip(l.config.Sections), l.replicaBytes)
	}
	l.view.Store(&View{})
	return l
}

// View returns the current view.
func (l *Loop) View() *View { return l.view.Load() }

// Configured returns a channel that is closed once the first configuration and
// list of replicas have been applied.
func (l *Loop) Configured() <-chan struct{} { return l.configured }

// Place assigns a replica to a request or refuses the request. A large prompt may first
// wait until replicas are free. If the returned Refusal has a Reason, there is no
// assignment. The error is that of ctx.
func (l *Loop) Place(ctx context.Context, req PlacementRequest) (Assignment, Refusal, error) {
	reply := make(chan decision, 1)
	if err := l.post(ctx, placementMessage{ctx: ctx, request: req, reply: reply, receivedAt: bootclock.Now()}); err != nil {
		return Assignment{}, Refusal{}, err
	}
	select {
	case d := <-reply:
		if d.assignment.ID == 0 && d.refusal.Reason == "" {
			return Assignment{}, Refusal{}, ctx.Err() // the context ended while the request was queued
		}
		return d.assignment, d.refusal, nil
	case <-ctx.Done():
		// The caller no longer waits, so a late assignment is released.
		go func() {
			if d := <-reply; d.assignment.ID != 0 {
				l.messages <- sendEnded{assignmentID: d.assignment.ID, target: d.assignment.Target, result: SendResult{Outcome: health.Served}}
			}
		}()
		return Assignment{}, Refusal{}, ctx.Err()
	}
}

// IsUsable reports whether a replica that was assigned to a request may still get new
// requests: its entry exists, does not drain and is in no evacuated zone.
func (l *Loop) IsUsable(ctx context.Context, service string, t Target) (bool, error) {
	reply := make(chan bool, 1)
	if err := l.post(ctx, usableQuestion{service, t, reply}); err != nil {
		return false, err
	}
	select {
	case usable := <-reply:
		return usable, nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

func (l *Loop) post(ctx context.Context, m message) error {
	select {
	case l.messages <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// RecordResponseStart records that the replica has started to send a stream, which means
// that the prompt is prefilled.
func (l *Loop) RecordResponseStart(a Assignment) { l.messages <- responseStarted{a.ID} }

// RecordAnswerBegun records that the first event of a stream has arrived.
func (l *Loop) RecordAnswerBegun(a Assignment) { l.messages <- answerBegun{a.ID, a.Target} }

// RecordLeaving records that a replica has said in a response that it leaves. It gets no new
// requests from this host.
func (l *Loop) RecordLeaving(t Target, requestID string) { l.messages <- replicaLeaving{t, requestID} }

// RecordPause records that a replica wants no requests from this host for the given time.
func (l *Loop) RecordPause(t Target, length time.Duration, requestID string) {
	l.messages <- replicaPaused{t, length, requestID}
}

// RecordSendEnd records the end of a send of the request with the given fingerprint.
func (l *Loop) RecordSendEnd(a Assignment, r SendResult, f suspect.Fingerprint) {
	l.messages <- sendEnded{assignmentID: a.ID, target: a.Target, result: r, fingerprint: f}
}

// ApplySnapshot applies the complete list of the store's entries; see removeMissing for
// known entries that are missing from it. The configuration known after that is proven to
// have been the newest at asOf, a reading of the boot clock.
func (l *Loop) ApplySnapshot(ctx context.Context, list []platform.Change, asOf time.Duration) error {
	return l.post(ctx, storeUpdate{full: true, list: list, asOf: asOf})
}

// ApplyChanges applies changes of the store. The configuration known after that is proven
// to have been the newest at asOf.
func (l *Loop) ApplyChanges(ctx context.Context, list []platform.Change, asOf time.Duration) error {
	return l.post(ctx, storeUpdate{list: list, asOf: asOf})
}

// RecordStoreFailure records that a read or watch of the store failed.
func (l *Loop) RecordStoreFailure(ctx context.Context, err error) error {
	return l.post(ctx, storeOutage{err})
}

// ReceiveReport applies the load report and the suspects of another host, or drops them if the message queue is full.
func (l *Loop) ReceiveReport(m peer.Message) {
	select {
	case l.messages <- peerReport{m.Name, m.Incarnation, m.Sequence, m.Report, m.Suspects, m.Parts, m.Sections}:
	default: // the next full report makes up for a dropped one
	}
}

// SetRetryLimits replaces the retry limits.
func (l *Loop) SetRetryLimits(ctx context.Context, n RetryLimits) error {
	return l.post(ctx, retryLimitsUpdate{n})
}

// Drain marks the host as draining, so that it reports itself as not ready and queues no
// requests after DrainQueueTime.
func (l *Loop) Drain(ctx context.Context) error { return l.post(ctx, drainStarted{}) }

// Run handles messages until the context ends.
func (l *Loop) Run(ctx context.Context) error {
	l.ctx = ctx
	timer := time.NewTimer(l.config.FullReportInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-l.messages:
			l.handle(bootclock.Now(), m)
		case <-timer.C:
		}
		now := bootclock.Now()
		l.placeQueued(now)
		l.placeWaitingForSlot(now)
		l.endContention(now)
		l.sendReportIfDue(now, timer)
	}
}

func (l *Loop) handle(now time.Duration, m message) {
	switch m := m.(type) {
	case placementMessage:
		l.placeOrQueue(now, m)
	case confirmationDue:
		l.confirm(now, m)
	case usableQuestion:
		m.reply <- slices.ContainsFunc(l.directory.Usable(now, m.service), func(r directory.Replica) bool { return target(r) == m.target })
	case responseStarted:
		l.startCost(now, m.assignmentID)
		// Without helpers, the load that other hosts know of does not change.
		if l.ledger.MarkPrefillDone(m.assignmentID) {
			l.scheduleReport(reportNow)
		}
	case replicaLeaving:
		if l.directory.MarkLeaving(now, m.target.ID, m.target.Address, m.target.StartUnixMs) {
			klog.V(1).InfoS("replica is leaving", "replica", m.target.ID, "address", m.target.Address, "request_id", m.requestID)
			l.updateReplicaGauges(now)
			l.retainConnections(now)
		}
	case replicaPaused:
		l.directory.Pause(now, now+m.length, m.target.ID, m.target.Address, m.target.StartUnixMs)
		klog.V(1).InfoS("replica asks for a pause", "replica", m.target.ID, "pause_ms", m.length.Milliseconds(), "request_id", m.requestID)
		l.updateReplicaGauges(now)
	case answerBegun:
		l.handleAnswerBegun(now, m)
	case firstEvent:
		l.observeSpeed(now, m)
	case sendEnded:
		l.handleSendEnded(now, m)
	case storeUpdate:
		l.applyStoreUpdate(now, m)
	case storeOutage:
		l.markStoreUnavailable(now, m.err)
	case peerReport:
		l.mergePeerReport(now, m)
	case retryLimitsUpdate:
		l.config.RetryLimits = m.limits
	case probeResult:
		l.handleProbeResult(now, m)
	case drainStarted:
		l.drainStartedAt = now
		l.updateView(func(v *View) { v.Draining = true })
	}
}

// updateView publishes a modified copy of the view.
func (l *Loop) updateView(change func(*View)) {
	v := *l.view.Load()
	change(&v)
	l.view.Store(&v)
}

func (l *Loop) mergePeerReport(now time.Duration, m peerReport) {
	p, ok := l.peers[m.name]
	if !ok || p.Incarnation != m.incarnation {
		return
	}
	if last, ok := l.lastSequences[m.name]; ok && int32(m.sequence-last) <= 0 && m.sequence != 0 {
		return // overtaken by a later report
	}
	l.lastSequences[m.name] = m.sequence
	m.report.At = now
	l.ledger.ApplyPeerReport(m.name, m.report)
	l.checkReportedReplicas(now, m)
	if n := l.suspects.Merge(time.Now(), m.suspects); n > 0 {
		klog.V(1).InfoS("crash suspects received", "peer", m.name, "changed", n)
		l.publishRefusedRequests(now)
	}
	l.mergePartReports(now, m.name, m.parts)
	l.mergeSections(now, m.name, m.sections)
}
