// Package daemon composes the gateway from its components.
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
	"siskinstand.example/service/buildinfo"
	"siskinstand.example/service/logging"
	"siskinstand.example/service/rungroup"
)

// Dependencies are the components that are passed to New.
type Dependencies struct {
	Source control.ConfigSource
	Hosts  control.HostList
	Claims claim.Registry
	// PeerAddress is the address at which sidecars reach the gateway's Peer
	// service, or empty if there is none.
	PeerAddress string
	// Tasks are additional tasks that run until the gateway stops.
	Tasks []Task
}

// Task is a background task. Run returns when ctx is cancelled.
type Task struct {
	Name string
	Run  func(ctx context.Context) error
}

// Daemon is a gateway process.
type Daemon struct {
	*Base
	deps           Dependencies
	connections    *sidecar.ConnectionPool
	loop           *control.Loop
	dispatcher     *dispatch.Dispatcher
	callerServer   *httpapi.Server
	callerListener net.Listener
	adminListener  net.Listener
	burnGauges     *burnGauges
}

// New opens the listeners and builds all components. Nothing runs until Run.
func New(b *Base, deps Dependencies) (*Daemon, error) {
	s := b.Settings
	d := &Daemon{Base: b, deps: deps, burnGauges: newBurnGauges(b.Metrics.Scope)}
	d.connections = sidecar.NewConnectionPool(s.Sidecars.Connections, s.Sidecars.DialTimeout, b.TLSKeys.PeerCredentials(), grpc.WithStatsHandler(b.RPC))
	d.buildComponents()
	var err error
	if d.callerListener, err = net.Listen("tcp", s.Callers.Address); err != nil {
		return nil, eris.Wrap(err, "listen for callers")
	}
	if d.adminListener, err = net.Listen("tcp", s.Admin.Address); err != nil {
		d.callerListener.Close()
		return nil, eris.Wrap(err, "open admin listener")
	}
	return d, nil
}

func (d *Daemon) buildComponents() {
	s := d.Settings
	client := sidecar.NewClient(d.connections, d.sender)
	d.loop = control.New(control.Config{
		GatewayID: s.Process.ID, PeerAddress: d.deps.PeerAddress, SubsetSize: s.Sidecars.ControlStreams, HostPollInterval: s.Platform.HostInterval,
		Policy: membership.Policy{SilenceTimeout: s.Sidecars.ForgetAfter, InitialProbeDelay: s.Sidecars.ProbeAfter, MaxProbeDelay: s.Sidecars.ProbeLimit},
		Source: d.deps.Source, Hosts: d.deps.Hosts, Client: client,
		Invariants: d.Invariants, Suspects: d.Suspects,
	})
	d.Base.loop.Store(d.loop)
	d.dispatcher = dispatch.New(dispatch.Config{
		ProcessID: s.Process.ID, Control: d.loop, Client: client, Claims: d.deps.Claims, Suspects: d.Suspects,
		Invariants: d.Invariants, Scope: d.Metrics.Scope, Objectives: d.Burn,
		Routing:     routing.Policy{PrefixShare: s.Routing.PrefixShare, DefaultRate: s.Routing.DefaultRate, IncludeOwnPrefill: true},
		Retry:       retry.Policy{RetryRatio: s.Retry.Share, MinRetriesPerSecond: s.Retry.MinimumPerSecond, Burst: s.Retry.Burst},
		MaxAttempts: s.Retry.MaxAttempts, Backoff: s.Retry.Backoff, BackoffLimit: s.Retry.BackoffLimit,
		RetryAfter: s.Retry.RetryAfter, GroupShare: s.Routing.GroupShare,
	})
	d.callerServer = httpapi.New(httpapi.Config{
		Limits: s.Callers, TLS: d.TLSKeys.callerTLS(), View: d.loop.View, Dispatcher: d.dispatcher,
		Invariants: d.Invariants, Scope: d.Metrics.Scope,
	})
}

// Run serves until SIGINT or SIGTERM, then waits for the running requests.
func (d *Daemon) Run() error {
	var g rungroup.Group
	d.addTasks(&g)
	g.AddSignalHandler(d.Drain)
	return d.run(&g)
}

func (d *Daemon) run(g *rungroup.Group) error {
	defer d.close()
	klog.InfoS("gateway started", append([]any{"process", d.Settings.Process.ID, logging.FieldZone, d.Settings.Process.Zone, "callers", d.callerListener.Addr(), "admin", d.adminListener.Addr()}, buildinfo.Read().LogFields()...)...)
	return g.Run()
}

func (d *Daemon) addTasks(g *rungroup.Group) {
	g.Add("control", d.loop.Run)
	g.Add("callers", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { d.callerListener.Close() })
		defer stop()
		if err := d.callerServer.Serve(d.callerListener); err != nil {
			return err
		}
		// After a drain, the group is ended by its signal handler.
		<-ctx.Done()
		return nil
	})
	g.Add("admin", func(ctx context.Context) error {
		return admin.Serve(ctx, d.adminListener, admin.Handler(admin.Config{NotReadyReason: d.NotReadyReason, Metrics: d.Metrics.Handler}))
	})
	g.Add("gauges", d.updateGauges)
	for _, keys := range d.TLSKeys.enabled() {
		g.Add("keys", func(ctx context.Context) error {
			keys.Watch(ctx, d.Settings.TLS.ReloadInterval)
			return nil
		})
	}
	for _, task := range d.deps.Tasks {
		g.Add(task.Name, task.Run)
	}
}

// Drain refuses new requests and waits for the running ones and the updates of their
// claims, up to the shutdown limit.
func (d *Daemon) Drain(ctx context.Context) {
	klog.InfoS("gateway shutting down", "process", d.Settings.Process.ID)
	ctx, cancel := context.WithTimeout(ctx, d.Settings.Shutdown.Timeout)
	defer cancel()
	d.callerServer.Shutdown(ctx, d.Settings.Shutdown.Notice)
	d.dispatcher.AwaitClaimUpdates(ctx)
}

// NotReadyReason returns the reason why the gateway is not ready, or an empty
// string if it is.
func (d *Daemon) NotReadyReason() string {
	v := d.loop.View()
	switch {
	case d.callerServer.Draining():
		return "shutting down"
	case !v.Configured:
		return "no configuration"
	case !v.HostsLoaded:
		return "no host list"
	}
	return ""
}

// CallerAddress returns the address of the listener for callers.
func (d *Daemon) CallerAddress() string { return d.callerListener.Addr().String() }

// AdminAddress returns the address of the admin listener.
func (d *Daemon) AdminAddress() string { return d.adminListener.Addr().String() }

func (d *Daemon) close() {
	d.connections.Close()
	if err := d.Metrics.Close(); err != nil {
		klog.ErrorS(err, "failed to close metrics")
	}
}
