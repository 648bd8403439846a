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

// stopTimeout bounds the calls of peers that are open at the end.
const stopTimeout = 2 * time.Second

// Open returns the parts of a gateway with a store. The listener for peers is
// open when it returns.
func Open(b *daemon.Base, s kvstore.Store, hosts control.HostList) (daemon.Dependencies, error) {
	process := b.Settings.Process
	inForce := tables.NewActive(b.Invariants)
	alarms := &kvstore.Alarms{}
	book := kvstore.NewClaimLog(kvstore.ClaimLogConfig{Store: s, ProcessID: process.ID, Expiry: b.Settings.Store.ClaimExpiry, Invariants: b.Invariants})
	reader := kvstore.NewReader(kvstore.ReaderConfig{
		Store: s, Zone: process.Zone, ProcessID: process.ID, InForce: inForce, Alarms: alarms,
	})
	permits, parts := weightBudget(b, s)
	node := peer.New(peer.Config{
		ID: process.ID, Address: b.Settings.Peers.Address, Zone: process.Zone, Incarnation: b.Incarnation, Seed: routing.HashName(process.ID) ^ b.Incarnation,
		InForce: inForce, Alarms: alarms, ClaimLog: book, TryBecomeReader: reader.TryAcquire,
		Peers:       func() []gossip.Peer { return peers(b) },
		DialOptions: []grpc.DialOption{grpc.WithTransportCredentials(b.TLSKeys.PeerCredentials()), grpc.WithNoProxy(), grpc.WithStatsHandler(b.RPC)},
		Suspects:    exchange{b},
		Burn:        b.Burn,
		Permits:     permits,
		Status:      func() *pb.StatusResponse { return status(b) },
	})
	reader.OnReaderRole = node.SetReader
	listener, err := net.Listen("tcp", b.Settings.Peers.Address)
	if err != nil {
		return daemon.Dependencies{}, eris.Wrap(err, "listen for peers")
	}
	return daemon.Dependencies{
		Source: inForce, Hosts: hosts, Claims: node.ClaimForwarder(),
		PeerAddress: b.Settings.Peers.Address,
		Tasks: append(parts, []daemon.Task{
			{Name: "claim book", Run: book.Run},
			{Name: "configuration reader", Run: reader.Run},
			{Name: "peers", Run: node.Run},
			{Name: "peer listener", Run: func(ctx context.Context) error { return serve(ctx, b, node, listener) }},
		}...),
	}, nil
}

// weightBudget returns the leased role of the weight-load budget. Without a
// weight store the gateway only knows no permits.
func weightBudget(b *daemon.Base, s kvstore.Store) (peer.PermitIssuer, []daemon.Task) {
	address := b.Settings.Platform.WeightStore
	if address == "" {
		return nil, nil
	}
	budget := kvstore.NewWeightLoadBudget(kvstore.WeightLoadBudgetConfig{
		Store: s, Weights: weightstore.NewClient(address, weightstore.DefaultLimits()), ProcessID: b.Settings.Process.ID,
	})
	return budget, []daemon.Task{{Name: "weight-load budget", Run: budget.Run}}
}

func serve(ctx context.Context, b *daemon.Base, node *peer.Node, l net.Listener) error {
	options := []grpc.ServerOption{grpc.StatsHandler(b.RPC)}
	if b.TLSKeys.Peers != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(b.TLSKeys.Peers.ServerConfig())))
	}
	server := grpc.NewServer(options...)
	node.Register(server)
	stop := context.AfterFunc(ctx, func() {
		timer := time.AfterFunc(stopTimeout, server.Stop)
		defer timer.Stop()
		server.GracefulStop()
	})
	defer stop()
	return eris.Wrap(server.Serve(l), "serve peers")
}

func peers(b *daemon.Base) []gossip.Peer {
	var list []gossip.Peer
	for _, h := range b.View().Gateways {
		list = append(list, gossip.Peer{ID: h.Name, Zone: h.Zone, Address: h.Address})
	}
	return list
}

// exchange passes suspects between the gateway's book and its peers.
type exchange struct{ base *daemon.Base }

// Reports lists the suspects to send.
func (e exchange) Reports() []*pb.Suspect {
	list, _ := e.base.Suspects.Snapshot()
	return list
}

// Merge takes over what a peer sent.
func (e exchange) Merge(list []*pb.Suspect) { e.base.Suspects.MergeReports("", list) }

// status lists the endpoints for the operators' command.
func status(b *daemon.Base) *pb.StatusResponse {
	response := &pb.StatusResponse{Role: "gateway", State: "serving"}
	now := time.Now()
	for name, pool := range b.View().Pools {
		for i, e := range pool.Endpoints {
			s := &pb.EndpointStatus{Endpoint: e.Name, Zone: e.Zone, Pool: name, State: "unknown", Load: e.LastLoad()}
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
