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

// Limits of one call to a peer.
const (
	exchangeTimeout = time.Second
	snapshotTimeout = 10 * time.Second
	// maxCalls bounds the calls in flight. A call left out is made up for by
	// the next periodic exchange.
	maxCalls = 8
)

// SuspectTable connects the exchanges to the gateway's suspects.
type SuspectTable interface {
	Reports() []*peerpb.Suspect
	Merge(reports []*peerpb.Suspect)
}

// PermitIssuer decides on weight loads, or names the gateway that does.
type PermitIssuer interface {
	RequestPermit(ctx context.Context, r kvstore.WeightLoadRequest) (kvstore.PermitDecision, error)
}

// Config names the process and its parts. Suspects, Permits, Status and Burn
// may be nil.
type Config struct {
	ID string
	// Address is the own one in the host list.
	Address     string
	Zone        string
	Incarnation uint64
	Seed        uint64
	InForce     *config.Active
	Alarms      *kvstore.Alarms
	// Peers returns the gateways of the host list; it is called every second.
	Peers func() []gossip.Peer
	// TryBecomeReader asks for an attempt to become the zone's configuration reader.
	TryBecomeReader func()
	// ClaimLog appends claims directly to the store.
	ClaimLog    LocalClaimLog
	DialOptions []grpc.DialOption
	Suspects    SuspectTable
	Permits     PermitIssuer
	Status      func() *peerpb.StatusResponse
	Burn        *burnrate.Recorder
}

// Node exchanges the configuration with other gateways and serves Peer.
type Node struct {
	peerpb.UnimplementedPeerServer
	Config
	clients   *clients
	events    chan heard
	calls     chan struct{}
	running   sync.WaitGroup
	peers     atomic.Pointer[map[string]gossip.Peer]
	heartbeat atomic.Pointer[heartbeat]
	seen      sightings
	started   time.Time
	// reading is the reader role; readingSet wakes the control goroutine.
	reading    atomic.Bool
	readingSet chan struct{}
	abandoned  chan abandoned
	own        ownAddresses
}

// heartbeat is the reader's last heartbeat as of a time.
type heartbeat struct {
	gossip.Heartbeat
	at time.Time
}

// heard is a message to the control goroutine: what a peer has said.
type heard struct {
	from      gossip.Peer
	revision  uint64
	heartbeat gossip.Heartbeat
}

// New returns a node; Register and Run start it.
func New(c Config) *Node {
	if c.Alarms == nil {
		c.Alarms = &kvstore.Alarms{}
	}
	n := &Node{
		Config: c, clients: newClients(c.DialOptions),
		events: make(chan heard, 256), calls: make(chan struct{}, maxCalls), started: time.Now(),
		readingSet: make(chan struct{}, 1), abandoned: make(chan abandoned, maxAbandoned),
	}
	n.peers.Store(&map[string]gossip.Peer{})
	n.heartbeat.Store(&heartbeat{})
	return n
}

// Register adds the Peer service to a server.
func (n *Node) Register(s grpc.ServiceRegistrar) { peerpb.RegisterPeerServer(s, n) }

// Current returns the configuration in force; revision 0 means none.
func (n *Node) Current() config.Snapshot { return n.InForce.Current() }

// Changed returns a channel that is closed when Current next changes.
func (n *Node) Changed() <-chan struct{} { return n.InForce.Changed() }

// SetReader tells the node whether this process is the zone's reader.
func (n *Node) SetReader(reading bool) {
	n.reading.Store(reading)
	select {
	case n.readingSet <- struct{}{}:
	default:
	}
}

// post drops a message when the control goroutine lags; exchanges recur.
func (n *Node) post(h heard) {
	select {
	case n.events <- h:
	default:
	}
}

// Run is the control goroutine. It ends with the context, after its calls.
func (n *Node) Run(ctx context.Context) error {
	state := gossip.New(gossip.Config{ID: n.ID, Zone: n.Zone, Seed: n.Seed}, time.Now())
	refresh := time.NewTicker(gossip.ExchangeInterval)
	defer refresh.Stop()
	defer n.clients.keep(nil)
	defer n.running.Wait()
	n.running.Go(func() { n.releaseAbandoned(ctx) })
	n.refreshPeers(state)
	for {
		changed := n.Changed()
		state.SetRevision(time.Now(), n.Current().Revision)
		n.run(ctx, state.Tick(time.Now()))
		n.heartbeat.Store(&heartbeat{Heartbeat: state.Heartbeat(time.Now()), at: time.Now()})
		timer := time.NewTimer(time.Until(state.NextTick()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case h := <-n.events:
			n.seen.note(h.from.ID, h.revision)
			state.SetRevision(time.Now(), n.Current().Revision)
			n.run(ctx, state.HandleMessage(time.Now(), h.from, h.revision, h.heartbeat))
		case <-n.readingSet:
			n.setReading(state)
		case <-refresh.C:
			n.refreshPeers(state)
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (n *Node) setReading(state *gossip.State) {
	if n.reading.Load() {
		state.ConfirmLease(time.Now())
		return
	}
	state.ClearLease(time.Now())
}

func (n *Node) refreshPeers(state *gossip.State) {
	known := map[string]gossip.Peer{}
	var list []gossip.Peer
	for _, p := range n.others(n.Peers()) {
		known[p.ID] = p
		list = append(list, p)
	}
	n.peers.Store(&known)
	n.seen.keep(func(id string) bool { _, ok := known[id]; return ok })
	state.SetPeers(list)
	n.clients.keep(list)
}

func (n *Node) run(ctx context.Context, actions []gossip.Action) {
	for _, a := range actions {
		if a.Kind == gossip.ActionTryLease {
			n.TryBecomeReader()
			continue
		}
		select {
		case n.calls <- struct{}{}:
		default:
			continue
		}
		n.running.Go(func() {
			defer func() { <-n.calls }()
			if err := n.exchange(ctx, a.Peer); err != nil {
				klog.V(2).InfoS("exchange failed", "peer", a.Peer.ID, "err", err)
			}
		})
	}
}

func (n *Node) sender() *peerpb.Sender {
	return &peerpb.Sender{ProcessId: n.ID, Incarnation: n.Incarnation, Zone: n.Zone, ConfigRevision: n.Current().Revision}
}

// currentHeartbeat returns the reader's heartbeat with its age as of now.
func (n *Node) currentHeartbeat() (string, int64) {
	b := n.heartbeat.Load()
	return b.Reader, (b.Age + time.Since(b.at)).Milliseconds()
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
