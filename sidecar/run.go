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
	"siskinstand.example/service/buildinfo"
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
	kindPlainService = "plain"
	// keepaliveInterval and keepaliveTimeout bound how long the attempts of a
	// gateway continue after it has vanished without closing its connection.
	keepaliveInterval = 5 * time.Second
	keepaliveTimeout  = 5 * time.Second
	// minClientPingInterval is the shortest interval at which gateways may ping
	// the connection.
	minClientPingInterval = time.Second
)

// identity identifies this process in every message that it sends.
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
	keys, err := loadTLSKeys(s.TLS)
	if err != nil {
		return err
	}
	m, err := metrics.New(metrics.Config{Prefix: "sidecar", ProcessID: id.processID, Zone: s.Endpoint.Zone})
	if err != nil {
		return err
	}
	defer func() { _ = m.Close() }()
	invariants := newInvariants(s.Endpoint.Name, m)
	engineClient := newEngineClient(s)
	loop := control.New(loopConfig(s, id, engineClient, invariants, m))
	peers := peerclient.NewConnectionPool(&peerpb.Sender{ProcessId: id.processID, Incarnation: id.incarnation, Zone: s.Endpoint.Zone}, keys.clientCredentials())
	defer peers.Close()
	rpcService := grpcserver.New(grpcserver.Config{
		Loop: loop, Engine: engineClient, MemberClient: peers, Invariants: invariants,
		Endpoint: s.Endpoint.Name, EngineAddress: s.Engine.Address, Zone: s.Endpoint.Zone,
		ProcessID: id.processID, Incarnation: id.incarnation, MaxBodyBytes: s.Listen.MaxBodyBytes,
	})
	loader := modelload.New(modelload.Config{
		Loop: loop, Engine: engineClient, Incarnation: id.incarnation, FenceMode: s.Engine.FenceMode(), Scope: m.Scope,
		Permits: modelload.GatewayPermitSource{GatewayAddresses: rpcService.GatewayAddresses, RequestFrom: func(ctx context.Context, address, model string) (budget.Permit, error) {
			return peers.RequestLoadPermit(ctx, address, s.Endpoint.Name, model)
		}},
	})
	return serve(s, components{loop: loop, server: newServer(s, m, keys, rpcService), endControlStreams: rpcService.EndControlStreams, modelLoader: loader, keys: keys, metrics: m})
}

func newInvariants(endpoint string, m *metrics.Metrics) *invariant.Registry {
	return invariant.NewRegistry(func(name invariant.Name, message string) {
		m.Scope.Tagged(map[string]string{"name": string(name)}).Counter("invariant_violations").Inc(1)
		klog.ErrorS(nil, "invariant violated", logging.FieldInvariant, name, logging.FieldEndpoint, endpoint, "detail", message)
	})
}

// components are the long-running parts of a sidecar.
type components struct {
	loop   *control.Loop
	server *grpc.Server
	// endControlStreams ends the control streams of all gateways.
	endControlStreams func()
	modelLoader       *modelload.Loader
	keys              tlsKeys
	metrics           *metrics.Metrics
}

func serve(s config.Settings, c components) error {
	gatewayListener, err := net.Listen("tcp", s.Listen.Address)
	if err != nil {
		return eris.Wrap(err, "open gRPC listener")
	}
	adminListener, err := net.Listen("tcp", s.Admin.Address)
	if err != nil {
		gatewayListener.Close()
		return eris.Wrap(err, "open admin listener")
	}
	klog.InfoS("sidecar starts", append([]any{logging.FieldEndpoint, s.Endpoint.Name, logging.FieldZone, s.Endpoint.Zone, "address", gatewayListener.Addr(), "admin", adminListener.Addr()}, buildinfo.Read().LogFields()...)...)
	var group rungroup.Group
	group.Add("control", c.loop.Run)
	group.Add("orders", c.modelLoader.Run)
	group.Add("keys", c.keys.watch)
	group.Add("gateways", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, c.server.Stop)
		defer stop()
		return c.server.Serve(gatewayListener)
	})
	group.Add("admin", func(ctx context.Context) error {
		return admin.Serve(ctx, adminListener, admin.NewHandler(c.loop, c.metrics.Handler))
	})
	group.AddSignalHandler(func(ctx context.Context) { drain(ctx, s.Shutdown.DrainTimeout, c) })
	err = group.Run()
	klog.Flush()
	return err
}

// drain waits until all attempts have ended, no group holds memory of the engine and the
// gateways have read all responses. It returns early when the timeout has passed or the
// context has ended.
func drain(ctx context.Context, timeout time.Duration, c components) {
	klog.InfoS("draining streams before shutdown")
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case <-c.loop.Drain():
	case <-ctx.Done():
		klog.ErrorS(ctx.Err(), "drain ended before all streams had finished; closing the remaining streams")
		return
	}
	stopped := make(chan struct{})
	go func() {
		c.server.GracefulStop()
		close(stopped)
	}()
	// Control streams have no end of their own, and the graceful stop waits for them too.
	c.endControlStreams()
	select {
	case <-stopped:
	case <-ctx.Done():
		klog.ErrorS(ctx.Err(), "drain ended before all responses had been read; closing the remaining streams")
	}
}

func newEngineClient(s config.Settings) control.Engine {
	limits := engine.DefaultLimits()
	limits.DialTimeout, limits.CallTimeout, limits.StallTimeout = s.Engine.DialTimeout, s.Engine.CallTimeout, s.Engine.StallTimeout
	if s.Endpoint.Kind == kindPlainService {
		return engine.NewPlainClient(s.Engine.Address, limits)
	}
	return engine.NewModelClient(s.Engine.Address, limits)
}

func loopConfig(s config.Settings, id identity, e control.Engine, invariants *invariant.Registry, m *metrics.Metrics) control.Config {
	c := control.DefaultConfig()
	c.Endpoint, c.Zone, c.ProcessID, c.Incarnation = s.Endpoint.Name, s.Endpoint.Zone, id.processID, id.incarnation
	c.Engine, c.Invariants, c.Scope = e, invariants, m.Scope
	c.Admission, c.Memory, c.Suspect = s.Admission.Config(), s.Memory.Config(), s.Suspects.Config()
	c.TotalTokens, c.PrefillRate, c.RampEnabled = s.Engine.TotalTokens, s.Engine.PrefillRate, s.Endpoint.Kind != kindPlainService
	return c
}

func newServer(s config.Settings, m *metrics.Metrics, keys tlsKeys, service *grpcserver.Server) *grpc.Server {
	server := grpc.NewServer(
		grpc.Creds(keys.serverCredentials()),
		grpc.MaxConcurrentStreams(uint32(s.Listen.MaxStreams)),
		grpc.StatsHandler(rpcstats.New(m.Scope, &peerpb.Sidecar_ServiceDesc, &peerpb.Peer_ServiceDesc)),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minClientPingInterval, PermitWithoutStream: true}),
	)
	peerpb.RegisterSidecarServer(server, service)
	peerpb.RegisterPeerServer(server, service)
	return server
}
