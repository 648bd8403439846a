package main

import (
	"context"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
	"k8s.io/klog/v2"

	"siskinstand.example/adapters/engine"
	"siskinstand.example/coord/budget"
	"siskinstand.example/coord/invariant"
	"siskinstand.example/peerpb"
	"siskinstand.example/service/logging"
	"siskinstand.example/service/metrics"
	"siskinstand.example/service/rpcstats"
	"siskinstand.example/service/rungroup"
	"siskinstand.example/sidecar/admin"
	"siskinstand.example/sidecar/config"
	"siskinstand.example/sidecar/control"
	"siskinstand.example/sidecar/grpcserver"
	"siskinstand.example/sidecar/modelload"
	"siskinstand.example/sidecar/peerclient"
)

const (
	kindPlain = "plain"
	// keepaliveTime and keepaliveTimeout bound how long the attempts of a
	// gateway that vanished without closing its connection go on.
	keepaliveTime    = 5 * time.Second
	keepaliveTimeout = 5 * time.Second
	// minPingInterval accepts gateways that check the connection as often.
	minPingInterval = time.Second
	// stopLimit bounds the end of control streams after the drain.
	stopLimit = time.Second
)

// identity is what the process sends with every message.
type identity struct {
	processID   string
	incarnation uint64
}

func newIdentity(endpoint string) identity {
	now := time.Now().UnixNano()
	return identity{processID: endpoint + "/" + strconv.Itoa(os.Getpid()), incarnation: uint64(now)}
}

func run(s config.Settings) error {
	id := newIdentity(s.Endpoint.Name)
	keys, err := loadKeys(s.TLS)
	if err != nil {
		return err
	}
	m, err := metrics.New(metrics.Config{Prefix: "sidecar", ProcessID: id.processID, Zone: s.Endpoint.Zone})
	if err != nil {
		return err
	}
	defer func() { _ = m.Close() }()
	invariants := newInvariants(s.Endpoint.Name, m)
	model := newEngine(s)
	loop := control.New(loopConfig(s, id, model, invariants, m))
	members := peerclient.NewConnectionPool(&peerpb.Sender{ProcessId: id.processID, Incarnation: id.incarnation, Zone: s.Endpoint.Zone}, keys.client())
	defer members.Close()
	service := grpcserver.New(grpcserver.Config{
		Loop: loop, Engine: model, GroupMembers: members, Invariants: invariants,
		Endpoint: s.Endpoint.Name, EngineAddress: s.Engine.Address, Zone: s.Endpoint.Zone,
		ProcessID: id.processID, Incarnation: id.incarnation, MaxBodyBytes: s.Listen.MaxBodyBytes,
	})
	runner := modelload.New(modelload.Config{
		Loop: loop, Engine: model, Incarnation: id.incarnation, FenceMode: s.Engine.FenceMode(), Scope: m.Scope,
		Permits: modelload.GatewayPermitSource{GatewayAddresses: service.GatewayAddresses, RequestFrom: func(ctx context.Context, address, model string) (budget.Permit, error) {
			return members.RequestLoadPermit(ctx, address, s.Endpoint.Name, model)
		}},
	})
	return serve(s, parts{loop: loop, server: newServer(s, m, keys, service), orders: runner, keys: keys, metrics: m})
}

func newInvariants(endpoint string, m *metrics.Metrics) *invariant.Registry {
	return invariant.NewRegistry(func(name invariant.Name, message string) {
		m.Scope.Tagged(map[string]string{"name": string(name)}).Counter("invariant_violations").Inc(1)
		klog.ErrorS(nil, "invariant violated", logging.FieldInvariant, name, logging.FieldEndpoint, endpoint, "detail", message)
	})
}

// parts are the running parts of a sidecar.
type parts struct {
	loop    *control.Loop
	server  *grpc.Server
	orders  *modelload.Runner
	keys    transportKeys
	metrics *metrics.Metrics
}

func serve(s config.Settings, p parts) error {
	peers, err := net.Listen("tcp", s.Listen.Address)
	if err != nil {
		return eris.Wrap(err, "listen for gateways")
	}
	probes, err := net.Listen("tcp", s.Admin.Address)
	if err != nil {
		peers.Close()
		return eris.Wrap(err, "listen for probes")
	}
	klog.InfoS("sidecar starts", logging.FieldEndpoint, s.Endpoint.Name, logging.FieldZone, s.Endpoint.Zone, "address", peers.Addr(), "admin", probes.Addr())
	var group rungroup.Group
	group.Add("control", p.loop.Run)
	group.Add("orders", p.orders.Run)
	group.Add("keys", p.keys.watch)
	group.Add("gateways", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, p.server.Stop)
		defer stop()
		return p.server.Serve(peers)
	})
	group.Add("admin", func(ctx context.Context) error {
		return admin.Serve(ctx, probes, admin.NewHandler(p.loop, p.metrics.Handler))
	})
	group.AddSignalHandler(func(ctx context.Context) { drain(ctx, s.Shutdown.DrainTimeout, p.loop, p.server) })
	err = group.Run()
	klog.Flush()
	return err
}

// drain returns when every stream has ended, the limit has passed or the
// context has ended.
func drain(ctx context.Context, limit time.Duration, loop *control.Loop, server *grpc.Server) {
	klog.InfoS("sidecar drains")
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	select {
	case <-loop.Drain():
	case <-ctx.Done():
		klog.ErrorS(ctx.Err(), "streams are cut off by the shutdown")
		return
	}
	stopped := make(chan struct{})
	go func() {
		server.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(stopLimit):
	case <-ctx.Done():
	}
}

func newEngine(s config.Settings) control.Engine {
	limits := engine.DefaultLimits()
	limits.DialTimeout, limits.CallTimeout, limits.StallTimeout = s.Engine.DialTimeout, s.Engine.CallTimeout, s.Engine.StallTimeout
	if s.Endpoint.Kind == kindPlain {
		return engine.NewPlainClient(s.Engine.Address, limits)
	}
	return engine.NewModelClient(s.Engine.Address, limits)
}

func loopConfig(s config.Settings, id identity, e control.Engine, invariants *invariant.Registry, m *metrics.Metrics) control.Config {
	c := control.DefaultConfig()
	c.Endpoint, c.Zone, c.ProcessID, c.Incarnation = s.Endpoint.Name, s.Endpoint.Zone, id.processID, id.incarnation
	c.Engine, c.Invariants, c.Scope = e, invariants, m.Scope
	c.Admission, c.Memory, c.Suspect = s.Admission.Config(), s.Memory.Config(), s.Suspects.Config()
	c.TotalTokens, c.PrefillRate, c.RampEnabled = s.Engine.TotalTokens, s.Engine.PrefillRate, s.Endpoint.Kind != kindPlain
	return c
}

func newServer(s config.Settings, m *metrics.Metrics, keys transportKeys, service *grpcserver.Server) *grpc.Server {
	server := grpc.NewServer(
		grpc.Creds(keys.server()),
		grpc.MaxConcurrentStreams(uint32(s.Listen.MaxStreams)),
		grpc.StatsHandler(rpcstats.New(m.Scope, &peerpb.Sidecar_ServiceDesc, &peerpb.Peer_ServiceDesc)),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}),
	)
	peerpb.RegisterSidecarServer(server, service)
	peerpb.RegisterPeerServer(server, service)
	return server
}
