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

// queued is the number of messages that wait for the control goroutine.
const queued = 1024

// View is what traffic goroutines read.
type View struct {
	// Catalog is nil until the configuration is known.
	Catalog *catalog.Catalog
	Proof   freshness.Proof
	// Replicas is the number of replicas known.
	Replicas int
	Draining bool
	// StoreLost is set while the store does not answer.
	StoreLost bool
}

// Peers sends this host's report to the others.
type Peers interface {
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
	// Interval and Repeat are the shortest and longest time between reports.
	Interval time.Duration
	Repeat   time.Duration
	Silence  time.Duration
	// ReportRate is the number of reports that this host sends in a second, to
	// all others together; 0 is no bound.
	ReportRate float64
	// LastWait is the time from the start of draining for which requests may
	// still wait for a replica: one that is placed later could not end in time.
	LastWait  time.Duration
	Peers     Peers
	Prober    Prober
	Placement placement.Policy
}

// Loop is the control goroutine. Its methods are safe for concurrent use.
type Loop struct {
	config   Config
	messages chan message
	view     atomic.Pointer[View]
	// configured is closed once the configuration is known.
	configured chan struct{}

	directory *directory.Table
	health    *health.Tracker
	ledger    *placement.Ledger
	suspects  *suspect.Tracker
	budgets   map[string]retry.Budget
	cold      map[string][]time.Duration
	// broken are the requests whose replica broke off and may have died.
	broken   map[string][]ended
	peers    map[string]platform.Peer
	models   map[string]placement.Model
	context  context.Context
	reported time.Duration
	// whole is the moment of the last whole report; others name changes only.
	whole time.Duration
	// drainedAt is the start of draining, or 0.
	drainedAt time.Duration
	// due is the moment of the next report.
	due      time.Duration
	lastLoss time.Duration
	// waiting are requests that wait for a replica, the oldest first.
	waiting []place
	tried   time.Duration
}

// New returns a loop that is not running yet.
func New(c Config) *Loop {
	l := &Loop{
		config: c, messages: make(chan message, queued), configured: make(chan struct{}),
		directory: directory.New(directory.DefaultPolicy()), health: health.New(health.DefaultPolicy()),
		ledger: placement.NewLedger(c.Silence), suspects: suspect.New(suspect.DefaultConfig()),
		budgets: map[string]retry.Budget{}, cold: map[string][]time.Duration{}, broken: map[string][]ended{},
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
func (l *Loop) Place(ctx context.Context, a Ask) (Grant, Refusal, error) {
	reply := make(chan decision, 1)
	if err := l.post(ctx, place{ctx: ctx, ask: a, reply: reply, asked: bootclock.Now()}); err != nil {
		return Grant{}, Refusal{}, err
	}
	select {
	case d := <-reply:
		if d.grant.Number == 0 && d.refusal.Reason == "" {
			return Grant{}, Refusal{}, ctx.Err() // it ended while the request waited
		}
		return d.grant, d.refusal, nil
	case <-ctx.Done():
		// A grant that nobody waits for is given back.
		go func() {
			if d := <-reply; d.grant.Number != 0 {
				l.messages <- ended{number: d.grant.Number, target: d.grant.Target, outcome: health.Served}
			}
		}()
		return Grant{}, Refusal{}, ctx.Err()
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

// FirstEvent records that a request has begun to answer.
func (l *Loop) FirstEvent(g Grant) { l.messages <- firstEvent{g.Number} }

// Ended records the end of a send. A crashed request was running when its
// replica broke off.
func (l *Loop) Ended(g Grant, o health.Outcome, crashed bool, f suspect.Fingerprint) {
	l.messages <- ended{number: g.Number, target: g.Target, outcome: o, crashed: crashed, fingerprint: f}
}

// Changed passes on what the store answered to a call sent at a moment. asOf is
// the moment whose newest configuration the answer proves, if proof is set.
func (l *Loop) Changed(ctx context.Context, full bool, list []platform.Change, proof bool, asOf time.Duration) error {
	return l.post(ctx, changes{full: full, list: list, proof: proof, asOf: asOf})
}

// StoreLost records that the store does not answer.
func (l *Loop) StoreLost(ctx context.Context, err error) error { return l.post(ctx, outage{err}) }

// PeerReport records what another host runs.
func (l *Loop) PeerReport(name string, boot int64, r placement.Report, s []suspect.Report) {
	select {
	case l.messages <- peerReport{name, boot, r, s}:
	default: // a report that is left out is replaced by the next one
	}
}

// SetLimits changes the bounds.
func (l *Loop) SetLimits(ctx context.Context, n Limits) error { return l.post(ctx, newLimits{n}) }

// Drain makes the host unready.
func (l *Loop) Drain(ctx context.Context) error { return l.post(ctx, draining{}) }

// Run handles messages until the context ends.
func (l *Loop) Run(ctx context.Context) error {
	l.context = ctx
	timer := time.NewTimer(l.config.Repeat)
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
		l.placeWaiting(now)
		l.report(now, timer)
	}
}

func (l *Loop) handle(now time.Duration, m message) {
	switch m := m.(type) {
	case place:
		l.placeOrWait(now, m)
	case firstEvent:
		if l.ledger.MarkPrefillDone(m.number) {
			l.changed(urgent)
		} else {
			l.changed(later)
		}
	case ended:
		l.end(now, m)
	case changes:
		l.apply(now, m)
	case outage:
		l.lose(now, m.err)
	case peerReport:
		l.hear(now, m)
	case newLimits:
		l.config.Limits = m.limits
	case probed:
		l.probed(now, m)
	case draining:
		l.drainedAt = now
		l.update(func(v *View) { v.Draining = true })
	}
}

// update publishes a changed view.
func (l *Loop) update(change func(*View)) {
	v := *l.view.Load()
	change(&v)
	l.view.Store(&v)
}

// urgency is how soon other hosts must hear of a change.
type urgency int

// A prompt that several replicas read takes and frees them at once; starts of
// short ones share a report; what has ended can be known a little later.
const (
	urgent urgency = iota
	soon
	later
)

var delays = map[urgency]time.Duration{soon: 25 * time.Millisecond, later: 100 * time.Millisecond}

// changed makes the next report due.
func (l *Loop) changed(u urgency) {
	at := max(bootclock.Now()+delays[u], l.reported+l.interval())
	if l.due == 0 || at < l.due {
		l.due = at
	}
}

// interval is the shortest time between two reports. Each goes to all other
// hosts, so without a bound the reports would grow with the square of the hosts.
func (l *Loop) interval() time.Duration {
	if l.config.ReportRate <= 0 {
		return l.config.Interval
	}
	return max(l.config.Interval, time.Duration(float64(len(l.peers))/l.config.ReportRate*float64(time.Second)))
}

// report sends this host's load if it is due.
func (l *Loop) report(now time.Duration, timer *time.Timer) {
	repeat := max(l.whole+l.config.Repeat, l.reported+l.interval())
	if l.due == 0 || l.due > repeat {
		l.due = repeat
	}
	if wait := l.due - now; wait > 0 {
		timer.Reset(wait)
		return
	}
	l.due, l.reported = 0, now
	timer.Reset(min(l.config.Repeat, max(l.whole+l.config.Repeat-now, l.interval())))
	addresses := make([]string, 0, len(l.peers))
	for _, p := range l.peers {
		addresses = append(addresses, p.Address)
	}
	if len(addresses) == 0 || l.config.Peers == nil {
		return
	}
	report := l.ledger.Report(now, l.oldestWait(now), l.waitRead(), l.unreachable(now))
	if now-l.whole < max(l.config.Repeat, l.interval()) {
		report = l.ledger.DeltaReport(report)
	} else {
		report, l.whole = l.ledger.FullReport(report), now
	}
	l.config.Peers.Send(addresses, report, l.suspects.Reports(time.Now(), reportedSuspects))
}

// reportedSuspects is the number of suspects in a report; at 40 bytes each they
// leave room for the loads in one datagram.
const reportedSuspects = 8

func (l *Loop) hear(now time.Duration, m peerReport) {
	p, ok := l.peers[m.name]
	if !ok || p.Boot != m.boot {
		return
	}
	m.report.At = now
	l.ledger.ApplyPeerReport(m.name, m.report)
	l.hearDown(now, m)
	if n := l.suspects.Merge(time.Now(), m.suspects); n > 0 {
		klog.V(1).InfoS("crash suspects learnt", "peer", m.name, "changed", n)
	}
}
