package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"siskinstand.example/coord/directory"
	"siskinstand.example/coord/placement"
	"siskinstand.example/coord/replicaspeed"
	"siskinstand.example/coord/suspect"
	"siskinstand.example/edge/caller"
	"siskinstand.example/edge/config"
	"siskinstand.example/edge/control"
	"siskinstand.example/edge/peer"
	"siskinstand.example/edge/relay"
	"siskinstand.example/edge/replica"
	"siskinstand.example/edge/storewatch"
	"siskinstand.example/platform"
	"siskinstand.example/service/buildinfo"
	"siskinstand.example/service/http1"
	"siskinstand.example/service/logging"
	"siskinstand.example/service/membudget"
	"siskinstand.example/service/metrics"
	"siskinstand.example/service/rungroup"
)

const (
	// shutdownMargin is the part of the shutdown time reserved for closing connections and
	// exiting. Late requests are accepted only if they are expected to finish another
	// margin earlier.
	shutdownMargin = 400 * time.Millisecond
	// exitTime is the part of shutdownMargin for the exit of the process. The responses to
	// requests that are ended at the end of the shutdown time may take the rest.
	exitTime = 100 * time.Millisecond
	// maxDrainAcceptTime is how long after SIGTERM every request is accepted, limited to
	// 1/drainAcceptDivisor of the shutdown time. With a shutdown time of 8 s, the platform
	// does not count a request as cut off if it arrived within the first 3 s and is still
	// running at the end.
	maxDrainAcceptTime = 2 * time.Second
	drainAcceptDivisor = 4
	// followTimeout is the time limit to connect to a host that watches the store, and for
	// its responses in addition to their waiting time.
	followTimeout = 300 * time.Millisecond
	// followShare is the share of the time to apply a change, or of the drain time, after
	// which a host no longer relies on the proofs of the host that it follows. The rest is for
	// reading the store itself.
	followShare = 0.5
	// proofShare is the share of the maximum age of the proof of configuration that this
	// host tries not to exceed. It is less than the share from which package caller reports the host
	// as not ready.
	proofShare = 0.56
)

// edgeDaemon holds the components of the running daemon.
type edgeDaemon struct {
	settings    config.Settings
	reload      func() (config.Settings, error)
	metrics     *metrics.Metrics
	loop        *control.Loop
	pool        *replica.Pool
	socket      *peer.Socket
	store       *platform.Store
	parts       *storewatch.PartStore
	requests    *storewatch.PartStore
	changes     *relay.Log
	following   *relay.Client
	server      *caller.Server
	limits      resources
	memory      *membudget.Budget
	incarnation int64
}

func serve(s config.Settings, reload func() (config.Settings, error)) error {
	limits := newResources(s)
	debug.SetGCPercent(limits.gcPercent)
	debug.SetMemoryLimit(limits.goMemoryLimit)
	output, err := logging.SetupAsync(s.Log.Output(), os.Stdout)
	if err != nil {
		return eris.Wrap(err, "set up log output")
	}
	defer output.Close()
	defer klog.Flush()
	d, err := newDaemon(s, reload)
	if err != nil {
		klog.ErrorS(err, "not started")
		return err
	}
	defer d.close()
	klog.InfoS("started", append([]any{"host", s.Process.ID, "zone", s.Process.Zone, "callers", s.Callers.Address, "store", s.Store.Address, "boot", d.incarnation,
		"memory_mb", limits.memoryBytes / mebibyte, "caller_bytes", limits.budget.Limit, "caller_reserve_bytes", limits.budget.Reserve, "max_connections", limits.maxConnections, "gc_percent", limits.gcPercent},
		buildinfo.Read().LogFields()...)...)
	err = d.run()
	klog.InfoS("stopped", "err", err)
	return err
}

// newDaemon creates the components. It binds the UDP address for peers; everything else
// starts in runUntil.
func newDaemon(s config.Settings, reload func() (config.Settings, error)) (*edgeDaemon, error) {
	regions, err := s.Process.RegionTable()
	if err != nil {
		return nil, err
	}
	d := &edgeDaemon{settings: s, reload: reload, incarnation: time.Now().UnixNano()}
	if d.metrics, err = metrics.New(metrics.Config{Prefix: "siskin_edge", ProcessID: s.Process.ID, Zone: s.Process.Zone}); err != nil {
		return nil, eris.Wrap(err, "set up metrics")
	}
	if d.socket, err = peer.Listen(peer.Config{Name: s.Process.ID, Incarnation: d.incarnation, Address: s.Peers.Address}); err != nil {
		return nil, err
	}
	d.changes, d.following = relay.NewLog(), relay.NewClient(relay.ClientConfig{Timeout: followTimeout})
	d.store = platform.NewStore(platform.StoreConfig{Address: s.Store.Address, Timeout: s.Store.Timeout})
	d.requests = storewatch.NewPartStore(storewatch.PartStoreConfig{Store: d.store, Kind: platform.ChangeCrashRequest, Expiry: suspect.DefaultConfig().Expiry})
	d.parts = storewatch.NewPartStore(storewatch.PartStoreConfig{Store: d.store, Kind: platform.ChangeCrashPart, Expiry: suspect.DefaultPartConfig(s.Process.ID).Expiry})
	d.pool = replica.NewPool(replica.Config{ConnectTimeout: s.Replicas.ConnectTimeout, IdleTimeout: s.Replicas.IdleTimeout, MaxIdle: s.Replicas.MaxIdle, MaxReservationTTL: s.Bounds.HoldMax, Scope: d.metrics.Scope})
	drainAcceptTime := min(maxDrainAcceptTime, s.Bounds.Shutdown/drainAcceptDivisor)
	var connections control.Connections
	if s.Placement.ZoneDelays {
		connections = d.pool
	}
	var speeds *replicaspeed.Tracker
	var sections []control.ReportSection
	if s.Placement.LearnedSpeeds {
		speeds = replicaspeed.New(replicaspeed.DefaultConfig())
		sections = append(sections, control.SpeedSection{Tracker: speeds})
	}
	d.loop = control.New(control.Config{
		Name: s.Process.ID, Zone: s.Process.Zone, Regions: regions,
		RetryLimits:       retryLimits(s),
		MaxReplicaBytes:   maxReplicaBytes(s),
		ConfirmMemory:     s.Placement.ReplicaMemory,
		MinReportInterval: s.Peers.Interval, FullReportInterval: s.Peers.Repeat, PeerTimeout: s.Peers.Silence, MaxReportsPerSecond: s.Peers.ReportsPerSecond,
		DrainQueueTime: drainAcceptTime, Directory: directory.DefaultPolicy().WithDrainTime(s.Bounds.DrainTime),
		ReportSender: d.socket, PartStore: d.parts, RequestStore: d.requests, Prober: d.pool, Placement: placementPolicy(s), CostPrediction: s.Placement.CostPrediction, Scope: d.metrics.Scope,
		ZoneDelays: s.Placement.ZoneDelays, Connections: connections, ConnectionLimits: d.pool, Speeds: speeds, Sections: sections,
		FairShares: s.Placement.FairShares,
	})
	d.limits = newResources(s)
	d.memory = membudget.New(d.limits.budget, d.metrics.Scope)
	d.server = caller.New(caller.Config{
		Loop: d.loop, Pool: d.pool, MaxBodyBytes: s.Callers.MaxBodyBytes, MaxRequests: s.Callers.MaxRequests,
		MaxAnswerBytes: s.Callers.MaxAnswerBytes, BodyTimeout: s.Callers.BodyTimeout,
		Timeouts:       http1.Timeouts{Header: s.Callers.HeaderTimeout, Idle: s.Callers.IdleTimeout},
		MaxUnreadBytes: int(s.Callers.MaxUnreadBytes), ReadTimeout: s.Callers.ReadTimeout, Unread: caller.NewByteBudget(unreadLimit(s, d.limits.memoryBytes)),
		DrainAcceptTime: drainAcceptTime, DrainNotice: s.Bounds.Notice, DrainDeadline: s.Bounds.Shutdown - 2*shutdownMargin, Scope: d.metrics.Scope,
		Memory: d.memory,
	})
	d.server.SetMaxProofAge(s.Bounds.KeyAge)
	return d, nil
}

func placementPolicy(s config.Settings) placement.Policy {
	p := placement.DefaultPolicy()
	p.WaitForSlots = s.Placement.BurstAdmission
	return p
}

func (d *edgeDaemon) close() {
	d.pool.Close()
	d.store.Close()
	d.following.Close()
	if err := d.metrics.Close(); err != nil {
		klog.ErrorS(err, "failed to close metrics")
	}
}

// run serves until a signal terminates the process.
func (d *edgeDaemon) run() error { return d.runUntil(context.Background()) }

// runUntil serves until a signal arrives or the context ends.
func (d *edgeDaemon) runUntil(ctx context.Context) error {
	s := d.settings
	callerServer := http1.New(http1.Config{
		Handler: d.server, MaxHeaderBytes: s.Callers.MaxHeaderBytes, Timeouts: d.server.Timeouts, OnReject: d.server.RecordRejection,
		ErrorLog: klog.NewStandardLogger("WARNING"), MaxConnections: d.limits.maxConnections, Memory: d.memory,
	})
	readyMux := http.NewServeMux()
	readyMux.HandleFunc("GET "+platform.ReadyPath, d.server.ServeReady)
	watcher := storewatch.New(storewatch.Config{
		Store: d.store, Sink: d.loop, MaxWatchWait: s.Store.WatchWait, ReadsPerSecond: s.Store.ReadsPerSecond, Name: s.Process.ID, LeaseTime: s.Store.LeaseTime,
		Peer:        platform.Peer{Address: s.Peers.Address, Incarnation: d.incarnation, Zone: s.Process.Zone, Cores: s.Process.Cores},
		MaxProofAge: time.Duration(proofShare * float64(s.Bounds.KeyAge)),
		Parts:       d.parts, Requests: d.requests,
		Following: storewatch.Following{
			Log: d.changes, Client: d.following, Watchers: s.Store.Watchers, MaxProofAge: time.Duration(followShare * float64(min(s.Bounds.ApplyTime, s.Bounds.DrainTime))),
		},
	})
	var g rungroup.Group
	g.Add("control", d.loop.Run)
	g.Add("peers", func(ctx context.Context) error { return d.socket.Run(ctx, d.loop) })
	g.Add("store", watcher.Run)
	g.Add("relay", listenAndServe(&net.ListenConfig{}, s.Peers.Address, &http.Server{Handler: relay.NewHandler(d.changes), ReadHeaderTimeout: s.Callers.HeaderTimeout}))
	g.Add("settings", d.watchSettings)
	g.Add("ready", listenAndServe(&net.ListenConfig{}, s.Callers.ReadyAddress, &http.Server{Handler: readyMux, ReadHeaderTimeout: s.Callers.HeaderTimeout}))
	g.Add("callers", listenAndServe(caller.ListenConfig(s.Callers.ReadTimeout, s.Callers.SendBuffer), s.Callers.Address, callerServer))
	if s.Admin.Address != "" {
		adminMux := http.NewServeMux()
		adminMux.Handle("GET /metrics", d.metrics.Handler)
		g.Add("admin", listenAndServe(&net.ListenConfig{}, s.Admin.Address, &http.Server{Handler: adminMux, ReadHeaderTimeout: s.Callers.HeaderTimeout}))
	}
	g.Add("context", func(stopped context.Context) error {
		select {
		case <-ctx.Done():
			d.drain(stopped, callerServer)
		case <-stopped.Done():
		}
		return nil
	})
	g.AddSignalHandler(func(ctx context.Context) { d.drain(ctx, callerServer) })
	return g.Run()
}

// drain shuts the server down gracefully: it reports the host as not ready, gives the
// load balancer time to notice, and then waits for running requests.
func (d *edgeDaemon) drain(ctx context.Context, callerServer *http1.Server) {
	klog.InfoS("stopping", "requests", d.server.InFlight())
	end := time.Now().Add(d.settings.Bounds.Shutdown)
	ctx, cancel := context.WithDeadline(ctx, end.Add(-shutdownMargin))
	defer cancel()
	if d.loop.Drain(ctx) != nil {
		return
	}
	d.server.Drain()
	notice := time.NewTimer(d.settings.Bounds.Notice)
	defer notice.Stop()
	select {
	case <-ctx.Done():
	case <-notice.C:
	}
	if err := callerServer.Shutdown(ctx); err == nil {
		return
	}
	klog.InfoS("shutdown time is over, running requests are ended", "requests", d.server.InFlight())
	d.server.EndRequests()
	endCtx, cancelEnd := context.WithDeadline(context.Background(), end.Add(-exitTime))
	defer cancelEnd()
	if err := callerServer.Shutdown(endCtx); err != nil {
		klog.InfoS("connections closed without a response", "requests", d.server.InFlight(), "err", err)
	}
}

// httpServer is implemented by the servers of net/http and http1.
type httpServer interface {
	Serve(l net.Listener) error
	Close() error
}

// listenAndServe returns a function that listens on an address and serves until the
// context ends.
func listenAndServe(config *net.ListenConfig, address string, server httpServer) func(context.Context) error {
	return func(ctx context.Context) error {
		l, err := config.Listen(ctx, "tcp4", address)
		if err != nil {
			return eris.Wrap(err, "listen")
		}
		stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // Serve below returns in any case
		defer stop()
		if err := server.Serve(tolerantListener{l}); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve")
		}
		<-ctx.Done()
		return nil
	}
}
