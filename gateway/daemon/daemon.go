// Package daemon puts the parts of the gateway together.
package daemon

import (
	"context"
	"net"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	"siskinstand.example/coord/claim"
	"siskinstand.example/coord/membership"
	"siskinstand.example/coord/retry"
	"siskinstand.example/coord/routing"
	"siskinstand.example/gateway/admin"
	"siskinstand.example/gateway/control"
	"siskinstand.example/gateway/dispatch"
	"siskinstand.example/gateway/httpapi"
	"siskinstand.example/gateway/sidecar"
	"siskinstand.example/service/logging"
	"siskinstand.example/service/rungroup"
)

// Dependencies are what a gateway gets from outside this package.
type Dependencies struct {
	Source control.ConfigSource
	Hosts  control.HostList
	Claims claim.Registry
	// PeerAddress is where sidecars reach the gateway's Peer service; empty
	// without one.
	PeerAddress string
	// Tasks are further parts that run until the gateway stops.
	Tasks []Task
}

// Task is a long-running part.
type Task struct {
	Name string
	Run  func(ctx context.Context) error
}

// Daemon is one gateway.
type Daemon struct {
	*Base
	parts       Dependencies
	connections *sidecar.ConnectionPool
	loop        *control.Loop
	server      *httpapi.Server
	callers     net.Listener
	admin       net.Listener
	burn        *burnGauges
}

// New opens the listeners and builds all parts; nothing runs yet.
func New(b *Base, p Dependencies) (*Daemon, error) {
	s := b.Settings
	d := &Daemon{Base: b, parts: p, burn: newBurnGauges(b.Metrics.Scope)}
	d.connections = sidecar.NewConnectionPool(s.Sidecars.Connections, s.Sidecars.DialTimeout, b.TLSKeys.PeerCredentials(), grpc.WithStatsHandler(b.RPC))
	d.build()
	var err error
	if d.callers, err = net.Listen("tcp", s.Callers.Address); err != nil {
		return nil, eris.Wrap(err, "listen for callers")
	}
	if d.admin, err = net.Listen("tcp", s.Admin.Address); err != nil {
		d.callers.Close()
		return nil, eris.Wrap(err, "listen for admin")
	}
	return d, nil
}

func (d *Daemon) build() {
	s := d.Settings
	client := sidecar.NewClient(d.connections, d.sender)
	d.loop = control.New(control.Config{
		GatewayID: s.Process.ID, PeerAddress: d.parts.PeerAddress, SubsetSize: s.Sidecars.ControlStreams, HostInterval: s.Platform.HostInterval,
		Policy: membership.Policy{SilenceTimeout: s.Sidecars.ForgetAfter, InitialProbeDelay: s.Sidecars.ProbeAfter, MaxProbeDelay: s.Sidecars.ProbeLimit},
		Source: d.parts.Source, Hosts: d.parts.Hosts, Client: client,
		Invariants: d.Invariants, Suspects: d.Suspects,
	})
	d.Base.loop.Store(d.loop)
	dispatcher := dispatch.New(dispatch.Config{
		ProcessID: s.Process.ID, Control: d.loop, Client: client, Claims: d.parts.Claims, Suspects: d.Suspects,
		Invariants: d.Invariants, Scope: d.Metrics.Scope, Objectives: d.Burn,
		Routing:     routing.Policy{PrefixShare: s.Routing.PrefixShare, DefaultRate: s.Routing.DefaultRate, IncludeOwnPrefill: true},
		Retry:       retry.Policy{RetryRatio: s.Retry.Share, MinRetriesPerSecond: s.Retry.MinimumPerSecond, Burst: s.Retry.Burst},
		MaxAttempts: s.Retry.MaxAttempts, Backoff: s.Retry.Backoff, BackoffLimit: s.Retry.BackoffLimit,
		RetryAfter: s.Retry.RetryAfter, GroupShare: s.Routing.GroupShare,
	})
	d.server = httpapi.New(httpapi.Config{
		Limits: s.Callers, TLS: d.TLSKeys.callerTLS(), View: d.loop.View, Dispatcher: dispatcher,
		Invariants: d.Invariants, Scope: d.Metrics.Scope,
	})
}

// Run serves until SIGINT or SIGTERM, then finishes the running requests.
func (d *Daemon) Run() error {
	var g rungroup.Group
	d.addParts(&g)
	g.AddSignalHandler(d.Drain)
	return d.run(&g)
}

func (d *Daemon) run(g *rungroup.Group) error {
	defer d.close()
	klog.InfoS("gateway started", "process", d.Settings.Process.ID, logging.FieldZone, d.Settings.Process.Zone, "callers", d.callers.Addr(), "admin", d.admin.Addr())
	return g.Run()
}

func (d *Daemon) addParts(g *rungroup.Group) {
	g.Add("control", d.loop.Run)
	g.Add("callers", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { d.callers.Close() })
		defer stop()
		if err := d.server.Serve(d.callers); err != nil {
			return err
		}
		// After a drain, the group ends with the signals part.
		<-ctx.Done()
		return nil
	})
	g.Add("admin", func(ctx context.Context) error {
		return admin.Serve(ctx, d.admin, admin.Handler(admin.Config{NotReadyReason: d.NotReadyReason, Metrics: d.Metrics.Handler}))
	})
	g.Add("gauges", d.updateGauges)
	for _, keys := range d.TLSKeys.all() {
		g.Add("keys", func(ctx context.Context) error {
			keys.Watch(ctx, d.Settings.TLS.Reload)
			return nil
		})
	}
	for _, p := range d.parts.Tasks {
		g.Add(p.Name, p.Run)
	}
}

// Drain refuses new requests and waits for the running ones.
func (d *Daemon) Drain(ctx context.Context) {
	klog.InfoS("shutdown begins", "process", d.Settings.Process.ID)
	ctx, cancel := context.WithTimeout(ctx, d.Settings.Shutdown.Limit)
	defer cancel()
	d.server.Shutdown(ctx, d.Settings.Shutdown.Notice)
}

// NotReadyReason returns an empty text, or the reason why the gateway is not ready.
func (d *Daemon) NotReadyReason() string {
	v := d.loop.View()
	switch {
	case d.server.Draining():
		return "shutting down"
	case !v.Configured:
		return "no configuration"
	case !v.HostsLoaded:
		return "no host list"
	}
	return ""
}

// CallerAddress returns the address that callers connect to.
func (d *Daemon) CallerAddress() string { return d.callers.Addr().String() }

// AdminAddress returns the address of the admin listener.
func (d *Daemon) AdminAddress() string { return d.admin.Addr().String() }

func (d *Daemon) close() {
	d.connections.Close()
	if err := d.Metrics.Close(); err != nil {
		klog.ErrorS(err, "close metrics")
	}
}
