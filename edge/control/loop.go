// Package control is the control state of an entry host: one goroutine owns it
// and receives typed messages; traffic goroutines read immutable views.
package control

import (
	"context"
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
	"siskinstand.example/platform"
	"siskinstand.example/service/bootclock"
)

// messageQueueSize is the number of messages that wait for the control goroutine.
const messageQueueSize = 1024

// View is what traffic goroutines read.
type View struct {
	// Catalog is nil until the configuration is known.
	Catalog *catalog.Catalog
	Proof   freshness.Proof
	// ReplicaCount is the number of replicas known.
	ReplicaCount int
	Draining     bool
	// StoreUnavailable is set while the store does not answer.
	StoreUnavailable bool
}

// ReportSender sends this host's report to the others.
type ReportSender interface {
	Send(addresses []string, r placement.Report, suspects []suspect.Report)
}

// Limits are the bounds that may change while the process runs.
type Limits struct {
	// RetryShare and RetrySlack bound repeated sends over all hosts: a share of
	// the requests to a service, and sends beyond it in the platform's window.
	RetryShare float64
	RetrySlack float64
}

// Prober finds out whether an address can be reached.
type Prober interface {
	Probe(ctx context.Context, address string) error
}

// Config holds what the loop needs.
type Config struct {
	Name    string
	Regions map[string]string
	Limits  Limits
	// MinReportInterval and Repeat are the shortest and longest time between reports.
	MinReportInterval  time.Duration
	FullReportInterval time.Duration
	PeerTimeout        time.Duration
	// MaxReportsPerSecond is the number of reports that this host sends in a second, to
	// all others together; 0 is no bound.
	MaxReportsPerSecond float64
	// DrainQueueTime is the time from the start of draining for which requests may
	// still wait for a replica: one that is placed later could not end in time.
	DrainQueueTime time.Duration
	Reports        ReportSender
	Prober         Prober
	Placement      placement.Policy
}

// Loop is the control goroutine. Its methods are safe for concurrent use.
type Loop struct {
	config   Config
	messages chan message
	view     atomic.Pointer[View]
	// configured is closed once the configuration is known.
	configured chan struct{}

	directory  *directory.Table
	health     *health.Tracker
	ledger     *placement.Ledger
	suspects   *suspect.Tracker
	budgets    map[string]retry.Budget
	coldStarts map[string][]time.Duration
	// brokenSends are the requests whose replica broke off and may have died.
	brokenSends map[string][]sendEnded
	peers       map[string]platform.Peer
	models      map[string]placement.Model
	ctx         context.Context
	lastReport  time.Duration
	// lastFullReport is the moment of the last whole report; others name changes only.
	lastFullReport time.Duration
	// drainStartedAt is the start of draining, or 0.
	drainStartedAt time.Duration
	// nextReport is the moment of the next report.
	nextReport  time.Duration
	storeLostAt time.Duration
	// queue are requests that wait for a replica, the oldest first.
	queue         []placementMessage
	lastQueueScan time.Duration
}

// New returns a loop that is not running yet.
func New(c Config) *Loop {
	l := &Loop{
		config: c, messages: make(chan message, messageQueueSize), configured: make(chan struct{}),
		directory: directory.New(directory.DefaultPolicy()), health: health.New(health.DefaultPolicy()),
		ledger: placement.NewLedger(c.PeerTimeout), suspects: suspect.New(suspect.DefaultConfig()),
		budgets: map[string]retry.Budget{}, coldStarts: map[string][]time.Duration{}, brokenSends: map[string][]sendEnded{},
		peers: map[string]platform.Peer{}, models: map[string]placement.Model{},
	}
	l.view.Store(&View{})
	return l
}

// View returns the newest view.
func (l *Loop) View() *View { return l.view.Load() }

// Configured returns a channel that is closed once the configuration and the
// replicas are known for the first time.
func (l *Loop) Configured() <-chan struct{} { return l.configured }

// Place asks for a replica. A refusal has a reason.
func (l *Loop) Place(ctx context.Context, a PlacementRequest) (Assignment, Refusal, error) {
	reply := make(chan decision, 1)
	if err := l.post(ctx, placementMessage{ctx: ctx, request: a, reply: reply, receivedAt: bootclock.Now()}); err != nil {
		return Assignment{}, Refusal{}, err
	}
	select {
	case d := <-reply:
		if d.assignment.ID == 0 && d.refusal.Reason == "" {
			return Assignment{}, Refusal{}, ctx.Err() // it ended while the request waited
		}
		return d.assignment, d.refusal, nil
	case <-ctx.Done():
		// A grant that nobody waits for is given back.
		go func() {
			if d := <-reply; d.assignment.ID != 0 {
				l.messages <- sendEnded{assignmentID: d.assignment.ID, target: d.assignment.Target, outcome: health.Served}
			}
		}()
		return Assignment{}, Refusal{}, ctx.Err()
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

// ResponseStarted records that a request has begun to answer.
func (l *Loop) ResponseStarted(g Assignment) { l.messages <- responseStarted{g.ID} }

// SendEnded records the end of a send. A crashed request was running when its
// replica broke off.
func (l *Loop) SendEnded(g Assignment, o health.Outcome, crashed bool, f suspect.Fingerprint) {
	l.messages <- sendEnded{assignmentID: g.ID, target: g.Target, outcome: o, crashed: crashed, fingerprint: f}
}

// StoreChanged passes on what the store answered to a call sent at a moment. asOf is
// the moment whose newest configuration the answer proves, if proof is set.
func (l *Loop) StoreChanged(ctx context.Context, full bool, list []platform.Change, proof bool, asOf time.Duration) error {
	return l.post(ctx, storeUpdate{full: full, list: list, proof: proof, asOf: asOf})
}

// StoreUnavailable records that the store does not answer.
func (l *Loop) StoreUnavailable(ctx context.Context, err error) error {
	return l.post(ctx, storeOutage{err})
}

// PeerReport records what another host runs.
func (l *Loop) ReceiveReport(name string, boot int64, r placement.Report, s []suspect.Report) {
	select {
	case l.messages <- peerReport{name, boot, r, s}:
	default: // a report that is left out is replaced by the next one
	}
}

// SetLimits changes the bounds.
func (l *Loop) SetLimits(ctx context.Context, n Limits) error { return l.post(ctx, limitsUpdate{n}) }

// Drain makes the host unready.
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
		l.sendReportIfDue(now, timer)
	}
}

func (l *Loop) handle(now time.Duration, m message) {
	switch m := m.(type) {
	case placementMessage:
		l.placeOrQueue(now, m)
	case responseStarted:
		if l.ledger.MarkPrefillDone(m.assignmentID) {
			l.scheduleReport(reportNow)
		} else {
			l.scheduleReport(reportLater)
		}
	case sendEnded:
		l.handleSendEnded(now, m)
	case storeUpdate:
		l.applyStoreUpdate(now, m)
	case storeOutage:
		l.markStoreUnavailable(now, m.err)
	case peerReport:
		l.mergePeerReport(now, m)
	case limitsUpdate:
		l.config.Limits = m.limits
	case probeResult:
		l.handleProbeResult(now, m)
	case drainStarted:
		l.drainStartedAt = now
		l.updateView(func(v *View) { v.Draining = true })
	}
}

// update publishes a changed view.
func (l *Loop) updateView(change func(*View)) {
	v := *l.view.Load()
	change(&v)
	l.view.Store(&v)
}

// urgency is how soon other hosts must hear of a change.
type reportUrgency int

// A prompt that several replicas read takes and frees them at once; starts of
// short ones share a report; what has ended can be known a little later.
const (
	reportNow reportUrgency = iota
	reportSoon
	reportLater
)

var reportDelays = map[reportUrgency]time.Duration{reportSoon: 25 * time.Millisecond, reportLater: 100 * time.Millisecond}

// changed makes the next report due.
func (l *Loop) scheduleReport(u reportUrgency) {
	at := max(bootclock.Now()+reportDelays[u], l.lastReport+l.reportInterval())
	if l.nextReport == 0 || at < l.nextReport {
		l.nextReport = at
	}
}

// interval is the shortest time between two reports. Each goes to all other
// hosts, so without a bound the reports would grow with the square of the hosts.
func (l *Loop) reportInterval() time.Duration {
	if l.config.MaxReportsPerSecond <= 0 {
		return l.config.MinReportInterval
	}
	return max(l.config.MinReportInterval, time.Duration(float64(len(l.peers))/l.config.MaxReportsPerSecond*float64(time.Second)))
}

// report sends this host's load if it is due.
func (l *Loop) sendReportIfDue(now time.Duration, timer *time.Timer) {
	repeat := max(l.lastFullReport+l.config.FullReportInterval, l.lastReport+l.reportInterval())
	if l.nextReport == 0 || l.nextReport > repeat {
		l.nextReport = repeat
	}
	if wait := l.nextReport - now; wait > 0 {
		timer.Reset(wait)
		return
	}
	l.nextReport, l.lastReport = 0, now
	timer.Reset(min(l.config.FullReportInterval, max(l.lastFullReport+l.config.FullReportInterval-now, l.reportInterval())))
	addresses := make([]string, 0, len(l.peers))
	for _, p := range l.peers {
		addresses = append(addresses, p.Address)
	}
	if len(addresses) == 0 || l.config.Reports == nil {
		return
	}
	report := l.ledger.Report(now, l.oldestQueuedAge(now), l.queuedPrefillTime(), l.unreachableReplicas(now))
	if now-l.lastFullReport < max(l.config.FullReportInterval, l.reportInterval()) {
		report = l.ledger.DeltaReport(report)
	} else {
		report, l.lastFullReport = l.ledger.FullReport(report), now
	}
	l.config.Reports.Send(addresses, report, l.suspects.Reports(time.Now(), maxReportedSuspects))
}

// reportedSuspects is the number of suspects in a report; at 40 bytes each they
// leave room for the loads in one datagram.
const maxReportedSuspects = 8

func (l *Loop) mergePeerReport(now time.Duration, m peerReport) {
	p, ok := l.peers[m.name]
	if !ok || p.Boot != m.boot {
		return
	}
	m.report.At = now
	l.ledger.ApplyPeerReport(m.name, m.report)
	l.checkReportedReplicas(now, m)
	if n := l.suspects.Merge(time.Now(), m.suspects); n > 0 {
		klog.V(1).InfoS("crash suspects learnt", "peer", m.name, "changed", n)
	}
}
