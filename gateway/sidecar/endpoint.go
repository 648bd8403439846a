// Package sidecar implements the gateway's client for the sidecars of endpoints.
package sidecar

import (
	"context"
	"sync/atomic"
	"time"

	"siskinstand.example/coord/routing"
	pb "siskinstand.example/peerpb"
)

// responseNoticeInterval is the minimum time between two notices to the control
// goroutine that an endpoint has responded.
const responseNoticeInterval = time.Second

// Endpoint is a gateway's handle for an endpoint at one address. It is safe for
// concurrent use. Its load data can be outdated.
type Endpoint struct {
	Name    string
	Zone    string
	Address string

	load             atomic.Pointer[pb.Load]
	lastLoadNanos    atomic.Int64
	unreportedTokens atomic.Int64
	lastNoticeNanos  atomic.Int64
	report           atomic.Pointer[pb.ControlReport]
	lost             context.Context
	markLost         context.CancelFunc
}

// NewEndpoint returns a handle without load data.
func NewEndpoint(name, zone, address string) *Endpoint {
	ctx, cancel := context.WithCancel(context.Background())
	return &Endpoint{Name: name, Zone: zone, Address: address, lost: ctx, markLost: cancel}
}

// RecordLoad stores the load reported in a message from the sidecar.
func (e *Endpoint) RecordLoad(load *pb.Load, now time.Time) {
	if load == nil {
		return
	}
	e.load.Store(load)
	e.lastLoadNanos.Store(now.UnixNano())
	e.unreportedTokens.Store(0)
}

// AddUnreportedTokens adds tokens of a request that the latest load does not
// include yet.
func (e *Endpoint) AddUnreportedTokens(tokens int64) { e.unreportedTokens.Add(tokens) }

// RoutingLoad returns the estimated load of the endpoint's queue for routing.
func (e *Endpoint) RoutingLoad(now time.Time) routing.Load {
	l := routing.Load{UnreportedTokens: e.unreportedTokens.Load()}
	reported := e.load.Load()
	if reported == nil {
		return l
	}
	l.QueuedTokens = reported.GetQueuedTokens()
	l.TokensPerSecond = reported.GetPrefillTokensPerSecond()
	// Assume that the engine has processed tokens at the reported rate since the
	// last report.
	age := now.Sub(time.Unix(0, e.lastLoadNanos.Load()))
	l.UnreportedTokens = max(0, l.UnreportedTokens-int64(age.Seconds()*float64(l.TokensPerSecond)))
	return l
}

// LastLoad returns the latest load message, or nil.
func (e *Endpoint) LastLoad() *pb.Load { return e.load.Load() }

// LastLoadAt returns the time of the latest load message, or zero.
func (e *Endpoint) LastLoadAt() time.Time {
	if n := e.lastLoadNanos.Load(); n != 0 {
		return time.Unix(0, n)
	}
	return time.Time{}
}

// RecordReport stores a control report for status output.
func (e *Endpoint) RecordReport(r *pb.ControlReport) { e.report.Store(r) }

// LastReport returns the latest report on a control stream, or nil.
func (e *Endpoint) LastReport() *pb.ControlReport { return e.report.Load() }

// AllowResponseNotice reports whether the control goroutine should be notified of
// a response. It returns true at most once per responseNoticeInterval.
func (e *Endpoint) AllowResponseNotice(now time.Time) bool {
	last := e.lastNoticeNanos.Load()
	return now.UnixNano()-last >= int64(responseNoticeInterval) && e.lastNoticeNanos.CompareAndSwap(last, now.UnixNano())
}

// MarkLost cancels all attempts on the endpoint, because its sidecar has stopped
// reporting and responding.
func (e *Endpoint) MarkLost() { e.markLost() }
