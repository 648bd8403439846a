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

	"siskinstand.example/coord/placement"
	"siskinstand.example/edge/caller"
	"siskinstand.example/edge/config"
	"siskinstand.example/edge/control"
	"siskinstand.example/edge/peer"
	"siskinstand.example/edge/replica"
	"siskinstand.example/edge/storewatch"
	"siskinstand.example/platform"
	"siskinstand.example/service/http1"
	"siskinstand.example/service/logging"
	"siskinstand.example/service/metrics"
	"siskinstand.example/service/rungroup"
)

const (
	// memoryLimit is the heap size at which the collector works harder; entry
	// hosts have 184 MB or more.
	memoryLimit = 120 << 20
	// gcPercent lets the heap grow to four times what is live, which is a few
	// MB, because processor time is dearer than memory on entry hosts.
	gcPercent = 300
	// exitMargin is left of the shutdown time for closing.
	exitMargin = 400 * time.Millisecond
	// lastStart is the time after SIGTERM until which every request is accepted,
	// or a quarter of the shutdown time if that is less: the platform does not
	// count a request as cut that comes within 3 s of 8 s and is still at work
	// at the end.
	lastStart      = 2 * time.Second
	lastStartParts = 4
)

// daemonParts is the running process.
type daemonParts struct {
	settings config.Settings
	reload   func() (config.Settings, error)
	metrics  *metrics.Metrics
	loop     *control.Loop
	pool     *replica.Pool
	socket   *peer.Socket
	store    *platform.Store
	server   *caller.Server
	boot     int64
}

func serve(s config.Settings, reload func() (config.Settings, error)) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
	output, err := logging.SetupAsync(s.Log.Output(), os.Stdout)
	if err != nil {
		return eris.Wrap(err, "set up the log")
	}
	defer output.Close()
	defer klog.Flush()
	d, err := open(s, reload)
	if err != nil {
		klog.ErrorS(err, "not started")
		return err
	}
	defer d.close()
	klog.InfoS("started", "host", s.Process.ID, "zone", s.Process.Zone, "callers", s.Callers.Address, "store", s.Store.Address, "boot", d.boot)
	err = d.run()
	klog.InfoS("stopped", "err", err)
	return err
}

func open(s config.Settings, reload func() (config.Settings, error)) (*daemonParts, error) {
	regions, err := s.Process.RegionTable()
	if err != nil {
		return nil, err
	}
	d := &daemonParts{settings: s, reload: reload, boot: time.Now().UnixNano()}
	if d.metrics, err = metrics.New(metrics.Config{Prefix: "siskin_edge", ProcessID: s.Process.ID, Zone: s.Process.Zone}); err != nil {
		return nil, eris.Wrap(err, "open metrics")
	}
	if d.socket, err = peer.Open(peer.Config{Name: s.Process.ID, Boot: d.boot, Address: s.Peers.Address}); err != nil {
		return nil, err
	}
	d.store = platform.NewStore(platform.StoreConfig{Address: s.Store.Address, Timeout: s.Store.Timeout})
	d.pool = replica.NewPool(replica.Config{ConnectTimeout: s.Replicas.ConnectTimeout, IdleTimeout: s.Replicas.IdleTimeout, MaxIdle: s.Replicas.MaxIdle, MaxHold: s.Bounds.HoldMax})
	acceptAll := min(lastStart, s.Bounds.Shutdown/lastStartParts)
	d.loop = control.New(control.Config{
		Name: s.Process.ID, Regions: regions,
		Limits:   loopLimits(s),
		Interval: s.Peers.Interval, Repeat: s.Peers.Repeat, Silence: s.Peers.Silence, ReportRate: s.Peers.ReportsPerSecond,
		LastWait: acceptAll,
		Peers:    d.socket, Prober: d.pool, Placement: placement.DefaultPolicy(),
	})
	d.server = caller.New(caller.Config{
		Loop: d.loop, Pool: d.pool, MaxBodyBytes: s.Callers.MaxBodyBytes, MaxRequests: s.Callers.MaxRequests,
		MaxAnswerBytes: s.Callers.MaxAnswerBytes, BodyTimeout: s.Callers.BodyTimeout,
		Timeouts:  http1.Timeouts{Header: s.Callers.HeaderTimeout, Idle: s.Callers.IdleTimeout},
		LastStart: acceptAll, LastEnd: s.Bounds.Shutdown - 2*exitMargin, Scope: d.metrics.Scope,
	})
	d.server.SetKeyAge(s.Bounds.KeyAge)
	return d, nil
}

func (d *daemonParts) close() {
	d.pool.Close()
	d.store.Close()
	if err := d.metrics.Close(); err != nil {
		klog.ErrorS(err, "metrics not closed")
	}
}

// run serves until a signal ends the process.
func (d *daemonParts) run() error { return d.runUntil(context.Background()) }

// runUntil serves until a signal comes or the context ends.
func (d *daemonParts) runUntil(ctx context.Context) error {
	s := d.settings
	callers := http1.New(http1.Config{
		Handler: d.server, MaxHeaderBytes: s.Callers.MaxHeaderBytes, Timeouts: d.server.Timeouts, OnReject: d.server.Rejected,
		ErrorLog: klog.NewStandardLogger("WARNING"),
	})
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.ReadyPath, d.server.Ready)
	follower := storewatch.New(storewatch.Config{
		Store: d.store, Sink: d.loop, Wait: s.Store.WatchWait, CallRate: s.Store.ReadsPerSecond, Name: s.Process.ID, LeaseTime: s.Store.LeaseTime,
		Peer: platform.Peer{Address: s.Peers.Address, Boot: d.boot},
	})
	var g rungroup.Group
	g.Add("control", d.loop.Run)
	g.Add("peers", func(ctx context.Context) error { return d.socket.Run(ctx, d.loop) })
	g.Add("store", follower.Run)
	g.Add("settings", d.watchSettings)
	g.Add("ready", listen(s.Callers.ReadyAddress, &http.Server{Handler: ready, ReadHeaderTimeout: s.Callers.HeaderTimeout}))
	g.Add("callers", listen(s.Callers.Address, callers))
	if s.Admin.Address != "" {
		admin := http.NewServeMux()
		admin.Handle("GET /metrics", d.metrics.Handler)
		g.Add("admin", listen(s.Admin.Address, &http.Server{Handler: admin, ReadHeaderTimeout: s.Callers.HeaderTimeout}))
	}
	g.Add("context", func(stopped context.Context) error {
		select {
		case <-ctx.Done():
			d.drain(stopped, callers)
		case <-stopped.Done():
		}
		return nil
	})
	g.AddSignalHandler(func(ctx context.Context) { d.drain(ctx, callers) })
	return g.Run()
}

// drain ends the process without cutting requests: first the balancer notices,
// then running requests finish.
func (d *daemonParts) drain(ctx context.Context, callers *http1.Server) {
	klog.InfoS("stopping", "requests", d.server.Running())
	ctx, cancel := context.WithTimeout(ctx, d.settings.Bounds.Shutdown-exitMargin)
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
	if err := callers.Shutdown(ctx); err != nil {
		klog.InfoS("requests cut at the end of the shutdown time", "requests", d.server.Running(), "err", err)
	}
}

// httpServer is a server of net/http or of http1.
type httpServer interface {
	Serve(l net.Listener) error
	Close() error
}

// listen serves until the context ends.
func listen(address string, server httpServer) func(context.Context) error {
	return func(ctx context.Context) error {
		l, err := net.Listen("tcp4", address)
		if err != nil {
			return eris.Wrap(err, "listen")
		}
		stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // Serve below ends either way
		defer stop()
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve")
		}
		<-ctx.Done()
		return nil
	}
}
