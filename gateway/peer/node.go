package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	"siskinstand.example/coord/config"
	"siskinstand.example/coord/gossip"
	"siskinstand.example/gateway/kvstore"
	"siskinstand.example/peerpb"
	"siskinstand.example/service/burnrate"
)

// Limits on calls to peers.
const (
	exchangeTimeout = time.Second
	snapshotTimeout = 10 * time.Second
	// maxExchanges is the maximum number of exchanges in flight. Further ones are
	// skipped; the next periodic exchange makes up for them.
	maxExchanges = 8
)

// SuspectTable holds requests suspected of crashing engines. Gateways send each other
// these requests in every exchange.
type SuspectTable interface {
	Reports() []*peerpb.Suspect
	Merge(reports []*peerpb.Suspect)
}

// PermitIssuer decides on requests to load model weights, or returns the name of
// the gateway that does.
type PermitIssuer interface {
	RequestPermit(ctx context.Context, r kvstore.WeightLoadRequest) (kvstore.PermitDecision, error)
}

// Config configures a Node. Alarms, Suspects, Permits, EndpointStatuses and
// BurnRecorder may be nil, and so may ClaimLog if ClaimForwarder is not used.
type Config struct {
	ID string
	// Address is the peer address in this gateway's settings. The host list may
	// have another one, for example if the gateway listens on all interfaces.
	Address      string
	Zone         string
	Incarnation  uint64
	Seed         uint64
	ActiveConfig *config.Active
	Alarms       *kvstore.Alarms
	// ListGateways returns all gateways of the host list. It is called every second.
	ListGateways func() []gossip.Peer
	// TryBecomeReader requests an attempt to become the configuration reader of
	// the availability zone. It must not block.
	TryBecomeReader func()
	// ClaimLog appends claims directly to the store.
	ClaimLog    LocalClaimLog
	DialOptions []grpc.DialOption
	Suspects    SuspectTable
	Permits     PermitIssuer
	// EndpointStatuses returns the role, state and endpoints of the Status response.
	EndpointStatuses func() *peerpb.StatusResponse
	BurnRecorder     *burnrate.Recorder
}

// Node exchanges the configuration with other gateways and implements the Peer
// service.
type Node struct {
	peerpb.UnimplementedPeerServer
	Config
	clients   *clientPool
	updates   chan peerUpdate
	callSlots chan struct{}
	inFlight  sync.WaitGroup
	peers     atomic.Pointer[map[string]gossip.Peer]
	heartbeat atomic.Pointer[observedHeartbeat]
	contacts  contactTable
	started   time.Time
	// isReader is set while this process is the zone's configuration reader.
	// readerChanged wakes the goroutine of Run after a change.
	isReader      atomic.Bool
	readerChanged chan struct{}
	unresolved    chan unresolvedClaim
	selfAddresses selfAddressSet
}

// observedHeartbeat is the last heartbeat of the zone's configuration reader, with
// its age at the time observedAt.
type observedHeartbeat struct {
	gossip.Heartbeat
	observedAt time.Time
}

// peerUpdate tells the goroutine of Run the revision and heartbeat of a peer.
type peerUpdate struct {
	from      gossip.Peer
	revision  uint64
	heartbeat gossip.Heartbeat
}

// New returns a node. Register makes it serve peers, and Run starts its exchanges.
func New(c Config) *Node {
	if c.Alarms == nil {
		c.Alarms = &kvstore.Alarms{}
	}
	n := &Node{
		Config: c, clients: newClientPool(c.DialOptions),
		updates: make(chan peerUpdate, 256), callSlots: make(chan struct{}, maxExchanges), started: time.Now(),
		readerChanged: make(chan struct{}, 1), unresolved: make(chan unresolvedClaim, maxUnresolved),
	}
	n.peers.Store(&map[string]gossip.Peer{})
	n.heartbeat.Store(&observedHeartbeat{})
	return n
}

// Register registers the Peer service with a server.
func (n *Node) Register(s grpc.ServiceRegistrar) { peerpb.RegisterPeerServer(s, n) }

// Current returns the configuration in force. Revision 0 means that there is none.
func (n *Node) Current() config.Snapshot { return n.ActiveConfig.Current() }

// Changed returns a channel that is closed at the next change of Current.
func (n *Node) Changed() <-chan struct{} { return n.ActiveConfig.Changed() }

// SetReader sets whether this process is the configuration reader of its zone.
func (n *Node) SetReader(isReader bool) {
	n.isReader.Store(isReader)
	select {
	case n.readerChanged <- struct{}{}:
	default:
	}
}

// postUpdate sends an update to the goroutine of Run. It drops the update if the
// queue is full, since exchanges are periodic.
func (n *Node) postUpdate(u peerUpdate) {
	select {
	case n.updates <- u:
	default:
	}
}

// Run schedules exchanges with other gateways and releases unresolved claims until
// the context is cancelled. It returns after the calls in flight have ended.
func (n *Node) Run(ctx context.Context) error {
	state := gossip.New(gossip.Config{ID: n.ID, Zone: n.Zone, Seed: n.Seed}, time.Now())
	refresh := time.NewTicker(gossip.ExchangeInterval)
	defer refresh.Stop()
	defer n.clients.closeExcept(nil)
	defer n.inFlight.Wait()
	n.inFlight.Go(func() { n.releaseUnresolved(ctx) })
	n.refreshPeers(state)
	for {
		changed := n.Changed()
		state.SetRevision(time.Now(), n.Current().Revision)
		n.runActions(ctx, state.Tick(time.Now()))
		n.heartbeat.Store(&observedHeartbeat{Heartbeat: state.Heartbeat(time.Now()), observedAt: time.Now()})
		timer := time.NewTimer(time.Until(state.NextTick()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case u := <-n.updates:
			n.contacts.record(u.from.ID, u.revision)
			state.SetRevision(time.Now(), n.Current().Revision)
			n.runActions(ctx, state.HandleMessage(time.Now(), u.from, u.revision, u.heartbeat))
		case <-n.readerChanged:
			n.updateReaderRole(state)
		case <-refresh.C:
			n.refreshPeers(state)
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (n *Node) updateReaderRole(state *gossip.State) {
	if n.isReader.Load() {
		state.ConfirmLease(time.Now())
		return
	}
	state.ClearLease(time.Now())
}

func (n *Node) refreshPeers(state *gossip.State) {
	known := map[string]gossip.Peer{}
	var list []gossip.Peer
	for _, p := range n.otherGateways(n.ListGateways()) {
		known[p.ID] = p
		list = append(list, p)
	}
	n.peers.Store(&known)
	n.contacts.retain(func(id string) bool { _, ok := known[id]; return ok })
	state.SetPeers(list)
	n.clients.closeExcept(list)
}

func (n *Node) runActions(ctx context.Context, actions []gossip.Action) {
	for _, a := range actions {
		if a.Kind == gossip.ActionTryLease {
			n.TryBecomeReader()
			continue
		}
		select {
		case n.callSlots <- struct{}{}:
		default:
			continue
		}
		n.inFlight.Go(func() {
			defer func() { <-n.callSlots }()
			if err := n.exchange(ctx, a.Peer); err != nil {
				klog.V(2).InfoS("configuration exchange failed", "peer", a.Peer.ID, "err", err)
			}
		})
	}
}

func (n *Node) sender() *peerpb.Sender {
	return &peerpb.Sender{ProcessId: n.ID, Incarnation: n.Incarnation, Zone: n.Zone, ConfigRevision: n.Current().Revision}
}

// currentHeartbeat returns the process ID of the zone's configuration reader and
// the age of its last heartbeat in milliseconds.
func (n *Node) currentHeartbeat() (string, int64) {
	h := n.heartbeat.Load()
	return h.Reader, (h.Age + time.Since(h.observedAt)).Milliseconds()
}

func (n *Node) suspects() []*peerpb.Suspect {
	if n.Suspects == nil {
		return nil
	}
	return n.Suspects.Reports()
}

func (n *Node) mergeSuspects(reports []*peerpb.Suspect) {
	if n.Suspects != nil && len(reports) > 0 {
		n.Suspects.Merge(reports)
	}
}
