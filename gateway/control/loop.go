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
	// tickInterval bounds the time until a due probe or an expiry is noticed.
	tickInterval = 250 * time.Millisecond
	// inboxMessages bounds the messages that wait for the control goroutine.
	inboxMessages = 4096
)

// Config constructs a Loop.
type Config struct {
	GatewayID string
	// PeerAddress is the gateway's own Peer service, empty without one.
	PeerAddress string
	// SubsetSize is the number of endpoints with a control stream.
	SubsetSize   int
	HostInterval time.Duration
	Policy       membership.Policy
	Source       ConfigSource
	Hosts        HostList
	Client       *sidecar.Client
	Invariants   *invariant.Registry
	Suspects     SuspectExchange
}

// SuspectExchange passes suspects from and to sidecars.
type SuspectExchange interface {
	// MergeReports takes suspects that a sidecar reported. Endpoint names the one
	// whose engine has died, or is empty.
	MergeReports(endpoint string, suspects []*pb.Suspect)
	// Snapshot lists the suspects to send to sidecars. The version changes with
	// the list, but not with the suspects' age.
	Snapshot() (suspects []*pb.Suspect, version uint64)
	// Version returns the version of Known.
	Version() uint64
}

// Loop is the control goroutine with its state.
type Loop struct {
	config Config
	inbox  chan message
	view   atomic.Pointer[View]

	// The control goroutine owns what follows.
	snapshot   config.Snapshot
	document   *config.Document
	configured bool
	listed     bool
	table      *membership.Table
	endpoints  map[string]*sidecar.Endpoint
	gateways   map[string]hostlist.Host
	streams    map[string]*controlStream
	slices     map[string]*pb.Slice
	// slicesDue is the time of the next slice that waits, or zero.
	slicesDue time.Time
	dirty     bool
	refreshed time.Time
	// suspectVersion is that of the latest requests to sidecars.
	suspectVersion uint64
}

// New returns a loop with an empty view.
func New(c Config) *Loop {
	l := &Loop{
		config: c, inbox: make(chan message, inboxMessages),
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

// EndpointResponded notes that an endpoint answered traffic. The note is dropped when
// the control goroutine is busy; the next answer brings another one.
func (l *Loop) EndpointResponded(e *sidecar.Endpoint) {
	if !e.AllowResponseNotice(time.Now()) {
		return
	}
	select {
	case l.inbox <- responded{e}:
	default:
	}
}

// EndpointUnreachable notes a failed dial or a broken connection.
func (l *Loop) EndpointUnreachable(ctx context.Context, e *sidecar.Endpoint) {
	l.send(ctx, unreachable{e})
}

func (l *Loop) send(ctx context.Context, m message) {
	select {
	case l.inbox <- m:
	case <-ctx.Done():
	}
}

// Run handles messages until ctx ends.
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
			l.handleWaiting()
		case <-ticker.C:
			l.dirty = l.dirty || l.table.UsabilityChanged(l.refreshed, time.Now()) || l.suspectsChanged()
		}
		if l.dirty {
			l.dirty, l.refreshed = false, time.Now()
			l.refresh(ctx, l.refreshed)
		} else if now := time.Now(); !l.slicesDue.IsZero() && !now.Before(l.slicesDue) {
			l.updateStreams(ctx, now)
		}
	}
}

// handleWaiting takes what has piled up, so that the view is rebuilt once.
func (l *Loop) handleWaiting() {
	for range inboxMessages {
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
	case reported:
		if l.current(m.endpoint) {
			before, _ := l.table.Get(m.endpoint.Name)
			l.table.ApplyReport(m.endpoint.Name, m.process, m.state, now)
			l.dirty = l.dirty || before.State != m.state || before.ProcessID != m.process
		}
	case responded:
		if l.current(m.endpoint) {
			l.dirty = l.table.RecordResponse(m.endpoint.Name, now) || l.dirty
		}
	case unreachable:
		if l.current(m.endpoint) {
			l.table.RecordFailure(m.endpoint.Name, now)
			l.dirty = true
		}
	case streamEnded:
		l.endStream(m, now)
	}
}

// current tells whether a message is about the endpoint's present incarnation.
func (l *Loop) current(e *sidecar.Endpoint) bool { return l.endpoints[e.Name] == e }

func (l *Loop) suspectsChanged() bool { return l.config.Suspects.Version() != l.suspectVersion }

func (l *Loop) applyHosts(u hostlist.Update) {
	var rows []membership.Host
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
		rows = append(rows, membership.Host{
			Name: h.Name, Zone: h.Zone, Service: h.Service, Address: h.Address,
			Incarnation: h.Incarnation, Leaving: h.State == hostlist.StateLeaving,
		})
	}
	l.table.ApplyHostList(rows, u.Full)
	l.table.RemoveFromHostList(u.Removed)
	l.listed, l.dirty = true, true
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
	if !l.current(m.endpoint) || errors.Is(m.err, context.Canceled) {
		return
	}
	klog.InfoS("control stream ended", logging.FieldEndpoint, m.endpoint.Name, "err", m.err)
	if errors.Is(m.err, sidecar.ErrReportTimeout) && l.table.IsSilent(m.endpoint.Name, now) {
		m.endpoint.MarkLost()
		delete(l.endpoints, m.endpoint.Name)
	}
	l.table.RecordFailure(m.endpoint.Name, now)
}
