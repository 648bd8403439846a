// Package sidecar communicates with the sidecars beside the endpoints.
package sidecar

import (
	"context"
	"sync/atomic"
	"time"

	"siskinstand.example/coord/routing"
	pb "siskinstand.example/peerpb"
)

// responseInterval is the shortest time between two notes to the control
// goroutine that an endpoint responded.
const responseInterval = time.Second

// Endpoint is a gateway's handle of one incarnation of an endpoint. It is safe
// for concurrent use. All that it knows of load is a hint.
type Endpoint struct {
	Name    string
	Zone    string
	Address string

	load       atomic.Pointer[pb.Load]
	observed   atomic.Int64
	unreported atomic.Int64
	noted      atomic.Int64
	report     atomic.Pointer[pb.ControlReport]
	lost       context.Context
	markLost   context.CancelFunc
}

// NewEndpoint returns a handle without any report.
func NewEndpoint(name, zone, address string) *Endpoint {
	ctx, cancel := context.WithCancel(context.Background())
	return &Endpoint{Name: name, Zone: zone, Address: address, lost: ctx, markLost: cancel}
}

// RecordLoad records the load in a message from the sidecar.
func (e *Endpoint) RecordLoad(load *pb.Load, now time.Time) {
	if load == nil {
		return
	}
	e.load.Store(load)
	e.observed.Store(now.UnixNano())
	e.unreported.Store(0)
}

// AddUnreportedTokens counts tokens that the latest load doesn't contain yet.
func (e *Endpoint) AddUnreportedTokens(tokens int64) { e.unreported.Add(tokens) }

// RoutingLoad returns what routing needs to know of the queue.
func (e *Endpoint) RoutingLoad(now time.Time) routing.Load {
	l := routing.Load{UnreportedTokens: e.unreported.Load()}
	reported := e.load.Load()
	if reported == nil {
		return l
	}
	l.QueuedTokens = reported.GetQueuedTokens()
	l.TokensPerSecond = reported.GetPrefillTokensPerSecond()
	// Without further reports, the engine works off what was sent since.
	age := now.Sub(time.Unix(0, e.observed.Load()))
	l.UnreportedTokens = max(0, l.UnreportedTokens-int64(age.Seconds()*float64(l.TokensPerSecond)))
	return l
}

// LastLoad returns the latest load message, or nil.
func (e *Endpoint) LastLoad() *pb.Load { return e.load.Load() }

// LastLoadAt returns the time of the latest load message, or zero.
func (e *Endpoint) LastLoadAt() time.Time {
	if n := e.observed.Load(); n != 0 {
		return time.Unix(0, n)
	}
	return time.Time{}
}

// RecordReport keeps a report for the operators' command.
func (e *Endpoint) RecordReport(r *pb.ControlReport) { e.report.Store(r) }

// LastReport returns the latest report on a control stream, or nil.
func (e *Endpoint) LastReport() *pb.ControlReport { return e.report.Load() }

// AllowResponseNotice reports whether the control goroutine should be told of a
// response, which is at most once a responseInterval.
func (e *Endpoint) AllowResponseNotice(now time.Time) bool {
	last := e.noted.Load()
	return now.UnixNano()-last >= int64(responseInterval) && e.noted.CompareAndSwap(last, now.UnixNano())
}

// MarkLost ends all attempts on the endpoint, because its sidecar is silent or
// a successor has replaced it.
func (e *Endpoint) MarkLost() { e.markLost() }
