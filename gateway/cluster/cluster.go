// Package cluster connects a gateway to the key-value store and to the other
// gateways.
package cluster

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"siskinstand.example/adapters/weightstore"
	tables "siskinstand.example/coord/config"
	"siskinstand.example/coord/gossip"
	"siskinstand.example/coord/routing"
	"siskinstand.example/gateway/control"
	"siskinstand.example/gateway/daemon"
	"siskinstand.example/gateway/kvstore"
	"siskinstand.example/gateway/peer"
	pb "siskinstand.example/peerpb"
)

// peerStopTimeout is how long a shutdown waits for open calls from peers.
const peerStopTimeout = 2 * time.Second

// Open returns the dependencies of a gateway that uses a store. The listener for
// peers is open when Open returns.
func Open(b *daemon.Base, s kvstore.Store, hosts control.HostList) (daemon.Dependencies, error) {
	process := b.Settings.Process
	activeConfig := tables.NewActive(b.Invariants)
	alarms := &kvstore.Alarms{}
	claimLog := kvstore.NewClaimLog(kvstore.ClaimLogConfig{Store: s, ProcessID: process.ID, Expiry: b.Settings.Store.ClaimExpiry, Invariants: b.Invariants})
	reader := kvstore.NewReader(kvstore.ReaderConfig{
		Store: s, Zone: process.Zone, ProcessID: process.ID, ActiveConfig: activeConfig, Alarms: alarms,
	})
	permits, tasks := newWeightLoadBudget(b, s)
	node := peer.New(peer.Config{
		ID: process.ID, Address: b.Settings.Peers.Address, Zone: process.Zone, Incarnation: b.Incarnation, Seed: routing.HashName(process.ID) ^ b.Incarnation,
		ActiveConfig: activeConfig, Alarms: alarms, ClaimLog: claimLog, TryBecomeReader: reader.RequestLease,
		ListGateways:     func() []gossip.Peer { return listGateways(b) },
		DialOptions:      []grpc.DialOption{grpc.WithTransportCredentials(b.TLSKeys.PeerCredentials()), grpc.WithNoProxy(), grpc.WithStatsHandler(b.RPC)},
		Suspects:         suspectExchange{b},
		BurnRecorder:     b.Burn,
		Permits:          permits,
		EndpointStatuses: func() *pb.StatusResponse { return endpointStatuses(b) },
	})
	reader.OnReaderRole = node.SetReader
	listener, err := net.Listen("tcp", b.Settings.Peers.Address)
	if err != nil {
		return daemon.Dependencies{}, eris.Wrap(err, "listen for peers")
	}
	return daemon.Dependencies{
		Source: activeConfig, Hosts: hosts, Claims: node.ClaimForwarder(),
		PeerAddress: b.Settings.Peers.Address,
		Tasks: append(tasks, []daemon.Task{
			{Name: "claim log", Run: claimLog.Run},
			{Name: "configuration reader", Run: reader.Run},
			{Name: "peers", Run: node.Run},
			{Name: "peer listener", Run: func(ctx context.Context) error { return servePeers(ctx, b, node, listener) }},
		}...),
	}, nil
}

// newWeightLoadBudget returns the weight-load budget, which issues permits while this
// gateway holds its lease, and the task that runs it. Without a weight store, both
// are nil and the gateway issues no permits.
func newWeightLoadBudget(b *daemon.Base, s kvstore.Store) (peer.PermitIssuer, []daemon.Task) {
	address := b.Settings.Platform.WeightStore
	if address == "" {
		return nil, nil
	}
	budget := kvstore.NewWeightLoadBudget(kvstore.WeightLoadBudgetConfig{
		Store: s, Weights: weightstore.NewClient(address, weightstore.DefaultLimits()), ProcessID: b.Settings.Process.ID,
	})
	return budget, []daemon.Task{{Name: "weight-load budget", Run: budget.Run}}
}

func servePeers(ctx context.Context, b *daemon.Base, node *peer.Node, l net.Listener) error {
	options := []grpc.ServerOption{grpc.StatsHandler(b.RPC)}
	if b.TLSKeys.Peers != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(b.TLSKeys.Peers.ServerConfig())))
	}
	server := grpc.NewServer(options...)
	node.Register(server)
	stop := context.AfterFunc(ctx, func() {
		timer := time.AfterFunc(peerStopTimeout, server.Stop)
		defer timer.Stop()
		server.GracefulStop()
	})
	defer stop()
	return eris.Wrap(server.Serve(l), "serve peers")
}

func listGateways(b *daemon.Base) []gossip.Peer {
	var list []gossip.Peer
	for _, h := range b.View().Gateways {
		list = append(list, gossip.Peer{ID: h.Name, Zone: h.Zone, Address: h.Address})
	}
	return list
}

// suspectExchange exchanges suspects between the gateway's table and its peers.
type suspectExchange struct{ base *daemon.Base }

// Reports returns the suspects to send to peers.
func (e suspectExchange) Reports() []*pb.Suspect {
	list, _ := e.base.Suspects.Snapshot()
	return list
}

// Merge merges suspects received from a peer.
func (e suspectExchange) Merge(list []*pb.Suspect) { e.base.Suspects.MergeReports("", list) }

// endpointStatuses returns the status of the endpoints of all pools for the
// operators' command-line tool. An endpoint in several pools has several entries.
func endpointStatuses(b *daemon.Base) *pb.StatusResponse {
	response := &pb.StatusResponse{Role: "gateway", State: "serving"}
	now := time.Now()
	for poolName, pool := range b.View().Pools {
		for i, e := range pool.Endpoints {
			s := &pb.EndpointStatus{Endpoint: e.Name, Zone: e.Zone, Pool: poolName, State: "unknown", Load: e.LastLoad()}
			if r := e.LastReport(); r != nil {
				s.State, s.ConfigRevision = r.GetState(), r.GetSender().GetConfigRevision()
			}
			if at := e.LastLoadAt(); !at.IsZero() {
				s.ReportAgeMs = now.Sub(at).Milliseconds()
			}
			if !pool.Routing.Usable(i) && s.State == "serving" {
				s.State = "not_in_use"
			}
			response.Endpoints = append(response.Endpoints, s)
		}
	}
	return response
}
