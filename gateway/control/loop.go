package control

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/adapters/hostlist"
	"siskinstand.example/coord/config"
	"siskinstand.example/coord/invariant"
	"siskinstand.example/coord/membership"
	"siskinstand.example/gateway/sidecar"
	pb "siskinstand.example/peerpb"
	"siskinstand.example/service/logging"
)

const (
	// tickInterval is the longest delay before a due probe, an expired entry, a due
	// slice or a change of the suspects is handled.
	tickInterval = 250 * time.Millisecond
	// inboxCapacity limits the messages queued for the control goroutine.
	inboxCapacity = 4096
)

// Config configures a Loop.
type Config struct {
	GatewayID string
	// PeerAddress is the address of the gateway's own Peer service, or empty if it
	// has none.
	PeerAddress string
	// SubsetSize is the maximum number of endpoints to which this gateway keeps
	// control streams.
	SubsetSize       int
	HostPollInterval time.Duration
	Policy           membership.Policy
	Source           ConfigSource
	Hosts            HostList
	Client           *sidecar.Client
	Invariants       *invariant.Registry
	Suspects         SuspectExchange
}

// SuspectExchange exchanges with sidecars the requests suspected of crashing engines.
type SuspectExchange interface {
	// MergeReports merges suspects reported by a sidecar. The crashedEndpoint is
	// the endpoint whose engine has crashed, or empty.
	MergeReports(crashedEndpoint string, suspects []*pb.Suspect)
	// Snapshot returns the suspects to send to sidecars. The version changes when
	// a suspect is added or changed, but not when one ages or expires.
	Snapshot() (suspects []*pb.Suspect, version uint64)
	// Version returns the version that Snapshot would return.
	Version() uint64
}

// Loop is the control loop and its state.
type Loop struct {
	config Config
	inbox  chan message
	view   atomic.Pointer[View]

	// The fields below are accessed only by the control goroutine.
	snapshot    config.Snapshot
	document    *config.Document
	configured  bool
	hostsLoaded bool
	table       *membership.Table
	endpoints   map[string]*sidecar.Endpoint
	gateways    map[string]hostlist.Host
	streams     map[string]*controlStream
	slices      map[string]*pb.Slice
	// nextSliceSend is when the next delayed slice is due, or zero.
	nextSliceSend time.Time
	dirty         bool
	lastRefresh   time.Time
	// queuedSuspectVersion is the suspect version last queued for sidecars.
	queuedSuspectVersion uint64
}

// New returns a loop with an empty view.
func New(c Config) *Loop {
	l := &Loop{
		config: c, inbox: make(chan message, inboxCapacity),
		table:     membership.New(c.Policy),
		endpoints: map[string]*sidecar.Endpoint{},
		gateways:  map[string]hostlist.Host{},
		streams:   map[string]*controlStream{},
		slices:    map[string]*pb.Slice{},
	}
	l.view.Store(&View{Pools: map[string]*PoolView{}})
	return l
}

// View returns the current view.
func (l *Loop) View() *View { return l.view.Load() }

// EndpointResponded reports that an endpoint responded to a request. The report is
// dropped if the endpoint's previous one is recent or the inbox is full, because a
// later response causes another one.
func (l *Loop) EndpointResponded(e *sidecar.Endpoint) {
	if !e.AllowResponseNotice(time.Now()) {
		return
	}
	select {
	case l.inbox <- endpointResponded{e}:
	default:
	}
}

// EndpointUnreachable reports a failed dial or a broken connection.
func (l *Loop) EndpointUnreachable(ctx context.Context, e *sidecar.Endpoint) {
	l.send(ctx, endpointUnreachable{e})
}

func (l *Loop) send(ctx context.Context, m message) {
	select {
	case l.inbox <- m:
	case <-ctx.Done():
	}
}

// Run handles messages until ctx is done.
func (l *Loop) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.watchHosts(ctx)
	go l.watchConfig(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-l.inbox:
			l.handle(m, time.Now())
			l.drainInbox()
		case <-ticker.C:
			l.dirty = l.dirty || l.table.UsabilityChanged(l.lastRefresh, time.Now()) || l.suspectsChanged()
		}
		if l.dirty {
			l.dirty, l.lastRefresh = false, time.Now()
			l.refresh(ctx, l.lastRefresh)
		} else if now := time.Now(); !l.nextSliceSend.IsZero() && !now.Before(l.nextSliceSend) {
			l.updateStreams(ctx, now)
		}
	}
}

// drainInbox handles all queued messages, so that the view is rebuilt only once.
func (l *Loop) drainInbox() {
	for range inboxCapacity {
		select {
		case m := <-l.inbox:
			l.handle(m, time.Now())
		default:
			return
		}
	}
}

func (l *Loop) handle(m message, now time.Time) {
	switch m := m.(type) {
	case hostsChanged:
		l.applyHosts(m.update)
	case configChanged:
		l.applyConfig()
	case reportReceived:
		if l.isCurrent(m.endpoint) {
			before, _ := l.table.Get(m.endpoint.Name)
			l.table.ApplyReport(m.endpoint.Name, m.incarnation, m.state, now)
			l.dirty = l.dirty || before.State != m.state || before.ProcessIncarnation != m.incarnation
		}
	case endpointResponded:
		if l.isCurrent(m.endpoint) {
			l.dirty = l.table.RecordResponse(m.endpoint.Name, now) || l.dirty
		}
	case endpointUnreachable:
		if l.isCurrent(m.endpoint) {
			l.table.RecordFailure(m.endpoint.Name, now)
			l.dirty = true
		}
	case streamEnded:
		l.endStream(m, now)
	}
}

// isCurrent reports whether e is the current handle of its endpoint. Reports,
// responses and failures of replaced handles are ignored.
func (l *Loop) isCurrent(e *sidecar.Endpoint) bool { return l.endpoints[e.Name] == e }

func (l *Loop) suspectsChanged() bool { return l.config.Suspects.Version() != l.queuedSuspectVersion }

func (l *Loop) applyHosts(u hostlist.Update) {
	var endpoints []membership.Host
	if u.Full {
		clear(l.gateways)
	}
	for _, name := range u.Removed {
		delete(l.gateways, name)
	}
	for _, h := range u.Hosts {
		if h.Role == hostlist.RoleGateway {
			l.gateways[h.Name] = h
		}
		if h.Role != hostlist.RoleEndpoint {
			continue
		}
		endpoints = append(endpoints, membership.Host{
			Name: h.Name, Zone: h.Zone, Service: h.Service, Address: h.Address,
			Incarnation: h.Incarnation, Leaving: h.State == hostlist.StateLeaving,
		})
	}
	if u.Full {
		l.table.ReplaceHostList(endpoints)
	} else {
		l.table.UpdateHostList(endpoints)
	}
	l.table.RemoveFromHostList(u.Removed)
	l.hostsLoaded, l.dirty = true, true
}

func (l *Loop) applyConfig() {
	s := l.config.Source.Current()
	var document *config.Document
	if source, ok := l.config.Source.(documentSource); ok {
		document = source.Document()
		s = document.Snapshot()
	}
	if s.Revision == 0 {
		return
	}
	if l.configured && s.Revision < l.snapshot.Revision {
		l.config.Invariants.Check(false, invariant.ConfigMonotonic, "revision %d follows %d", s.Revision, l.snapshot.Revision)
		return
	}
	l.snapshot, l.document, l.configured, l.dirty = s, document, true, true
	klog.InfoS("configuration in force", logging.FieldConfigRevision, s.Revision)
}

func (l *Loop) endStream(m streamEnded, now time.Time) {
	if s, ok := l.streams[m.endpoint.Name]; ok && s.endpoint == m.endpoint {
		delete(l.streams, m.endpoint.Name)
	}
	l.dirty = true
	if !l.isCurrent(m.endpoint) || errors.Is(m.err, context.Canceled) {
		return
	}
	klog.InfoS("control stream ended", logging.FieldEndpoint, m.endpoint.Name, "err", m.err)
	if errors.Is(m.err, sidecar.ErrReportTimeout) && l.table.IsSilent(m.endpoint.Name, now) {
		m.endpoint.MarkLost()
		delete(l.endpoints, m.endpoint.Name)
	}
	l.table.RecordFailure(m.endpoint.Name, now)
}
