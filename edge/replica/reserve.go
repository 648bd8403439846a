package replica

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"siskinstand.example/platform"
)

const (
	// reservationTTL is the life of a reservation after its last renewal. It ends by
	// itself soon after a killed process, before the platform's bound of 4 s on
	// memory without a request.
	reservationTTL = 3500 * time.Millisecond
	// renewInterval leaves time for one lost renewal. Renewals are few, since one that
	// a replica carries out late sets memory aside again.
	renewInterval = 1700 * time.Millisecond
	// orderTimeout is the time limit of one order.
	orderTimeout = 800 * time.Millisecond
)

// ReservationTarget is memory to reserve at a replica.
type ReservationTarget struct {
	ID, Address string
	Tokens      int
}

// Reservation is memory set aside at replicas for one request, which owns it.
type Reservation struct {
	pool    *Pool
	ticket  string
	targets []ReservationTarget
	cancel  context.CancelFunc
	done    chan struct{}
}

// Reserve sets memory aside at all places or at none, and renews it until it is
// released.
func (p *Pool) Reserve(ctx context.Context, ticket string, places []ReservationTarget) (*Reservation, error) {
	r := &Reservation{pool: p, ticket: ticket, targets: places, done: make(chan struct{})}
	if err := r.reserveAll(ctx); err != nil {
		close(r.done)
		r.releaseAll()
		return nil, err
	}
	var renewing context.Context
	renewing, r.cancel = context.WithCancel(context.WithoutCancel(ctx))
	go r.renewLoop(renewing)
	return r, nil
}

func (r *Reservation) reserveAll(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, place := range r.targets {
		g.Go(func() error {
			call, err := platform.ReserveOrder(place.ID, r.ticket, place.Tokens, min(reservationTTL, r.pool.config.MaxReservationTTL))
			if err != nil {
				return err
			}
			return r.pool.sendOrder(ctx, place.Address, call)
		})
	}
	return g.Wait()
}

func (r *Reservation) renewLoop(ctx context.Context) {
	defer close(r.done)
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if err := r.reserveAll(ctx); err != nil && ctx.Err() == nil {
				klog.V(1).InfoS("reservation not renewed", "ticket", r.ticket, "err", err)
			}
		}
	}
}

// Release ends the reservation without waiting for the replicas.
func (r *Reservation) Release() {
	r.cancel()
	go func() {
		<-r.done // a renewal under way must not follow the release
		r.releaseAll()
	}()
}

func (r *Reservation) releaseAll() {
	for _, place := range r.targets {
		call, err := platform.ReleaseOrder(place.ID, r.ticket)
		if err == nil {
			err = r.pool.sendOrder(context.Background(), place.Address, call)
		}
		if err != nil {
			// The reservation ends by itself.
			klog.V(1).InfoS("reservation not released", "ticket", r.ticket, "replica", place.ID, "err", err)
		}
	}
}

func (p *Pool) sendOrder(ctx context.Context, address string, call platform.Call) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	a, err := p.Do(ctx, Request{Address: address, Method: call.Method, Target: call.Path, Host: address, Headers: call.Headers, Body: call.Body})
	if err != nil {
		return err
	}
	defer a.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(a, maxDiscardBytes)); err != nil {
		return eris.Wrap(err, "read answer to order")
	}
	if a.Status != http.StatusOK && a.Status != http.StatusAccepted {
		return eris.Errorf("replica answered %d to an order", a.Status)
	}
	return nil
}
