package replica

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"siskinstand.example/platform"
)

const (
	// reservationTTL is the time to live of a reservation after its last renewal. If this
	// process is killed, its reservations expire within the platform's limit of 4 s for
	// memory reserved without a request.
	reservationTTL = 3500 * time.Millisecond
	// renewInterval allows for one lost renewal. It is not shorter because a renewal that
	// a replica executes late, after the release, reserves the memory again.
	renewInterval = 1700 * time.Millisecond
	// orderTimeout is the timeout of one reserve or release order.
	orderTimeout = 800 * time.Millisecond
)

// ReservationTarget is an amount of memory to reserve at one replica.
type ReservationTarget struct {
	ID, Address string
	Tokens      int
	// OnLeaving is called when the replica says in a response that it leaves, and OnPause when
	// it wants no requests for a while. They may be nil.
	OnLeaving func()
	OnPause   func(time.Duration)
}

// Reservation is memory reserved at replicas for one request.
type Reservation struct {
	pool    *Pool
	id      string
	targets []ReservationTarget
	cancel  context.CancelFunc
	done    chan struct{}
}

// Reserve reserves memory at all targets or at none, and renews the reservation until it
// is released.
func (p *Pool) Reserve(ctx context.Context, id string, targets []ReservationTarget) (*Reservation, error) {
	r := &Reservation{pool: p, id: id, targets: targets, done: make(chan struct{})}
	if err := r.reserveAll(ctx); err != nil {
		close(r.done)
		r.releaseAll()
		return nil, err
	}
	var renewCtx context.Context
	renewCtx, r.cancel = context.WithCancel(context.WithoutCancel(ctx))
	go r.renewLoop(renewCtx)
	return r, nil
}

// reserveAll reserves the memory at all targets, or renews it.
func (r *Reservation) reserveAll(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, target := range r.targets {
		g.Go(func() error {
			order, err := platform.NewReserveOrder(target.ID, r.id, target.Tokens, min(reservationTTL, r.pool.config.MaxReservationTTL))
			if err != nil {
				return err
			}
			return r.pool.sendOrder(ctx, target, order)
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
				klog.V(1).InfoS("memory reservation not renewed", "ticket", r.id, "err", err)
			}
		}
	}
}

// Release ends the reservation. It does not wait for the replicas.
func (r *Reservation) Release() {
	r.cancel()
	go func() {
		<-r.done // a renewal in progress must not arrive after the release
		r.releaseAll()
	}()
}

func (r *Reservation) releaseAll() {
	for _, target := range r.targets {
		order, err := platform.NewReleaseOrder(target.ID, r.id)
		if err == nil {
			err = r.pool.sendOrder(context.Background(), target, order)
		}
		if err != nil {
			// The reservation expires without a renewal.
			klog.V(1).InfoS("memory reservation not released, it will expire", "ticket", r.id, "replica", target.ID, "err", err)
		}
	}
}

// sendOrder sends a reserve or release order to a replica.
func (p *Pool) sendOrder(ctx context.Context, target ReservationTarget, order platform.OrderRequest) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	resp, err := p.Do(ctx, Request{Address: target.Address, Method: order.Method, Target: order.Path, Host: target.Address, Headers: order.Headers, Body: order.Body, MaxConnectionWait: orderTimeout / 2})
	if err != nil {
		return err
	}
	defer resp.Close()
	if resp.Info.Leaving && !resp.Info.WrongReplica && target.OnLeaving != nil {
		target.OnLeaving()
	}
	if resp.Info.Pause > 0 && target.OnPause != nil {
		target.OnPause(resp.Info.Pause)
	}
	if err := discardToEnd(resp); err != nil {
		return eris.Wrap(err, "read response to memory order")
	}
	if resp.Status != http.StatusOK && resp.Status != http.StatusAccepted {
		return eris.Errorf("replica responded to memory order with status %d", resp.Status)
	}
	return nil
}
