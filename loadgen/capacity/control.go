package capacity

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	fakestore "siskinstand.example/fakes/kvstore"
	"siskinstand.example/peerpb"
)

// Times of one site.
const (
	settleTime = 6 * time.Second
	idleTime   = 10 * time.Second
	burstTime  = 5 * time.Second
	// slowTime is that of 8 changes at the rate of a day.
	slowTime = 8 * secondsPerDay * time.Second / designChangesPerDay
	// flushTime is longer than the interval at which processes publish counts;
	// without it the bytes of one phase count for the next.
	flushTime = 2 * time.Second
	// siteAccounts keeps the tables of a site small: section Tables measures
	// the cost of large ones.
	siteAccounts = 100
	// pollInterval bounds the error of the time until a change is in force.
	pollInterval = 20 * time.Millisecond
	inForceLimit = 30 * time.Second
)

// usage is what the processes of one role used for one process and second.
type usage struct{ cpu, memory, bytes float64 }

// siteFigures are the measurements of one site.
type siteFigures struct {
	gateways, sidecars, zones int
	gateway, sidecar          usage
	// burstGateway is the use in a burst, burstReached its changes a second.
	burstGateway usage
	burstReached float64
	// burstMean includes the time after the burst until counts are published.
	burstMean float64
	// slow usage holds bytes at the rate of a day; its processor time includes
	// the answers to this run's polls and is not used.
	slowGateway, slowSidecar usage
	// store is the calls a second without changes.
	store    fakestore.Counters
	perStore float64
	slow     []float64
	burst    []float64
}

// measureUsage returns the use over an interval in which action runs.
func measureUsage(ctx context.Context, roles [][]*daemon, action func() error) ([]usage, error) {
	if err := pause(ctx, flushTime); err != nil {
		return nil, err
	}
	before, err := totals(ctx, roles)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	if err := action(); err != nil {
		return nil, err
	}
	after, err := totals(ctx, roles)
	if err != nil {
		return nil, err
	}
	seconds := time.Since(began).Seconds()
	var list []usage
	for i, role := range roles {
		n := float64(len(role))
		list = append(list, usage{
			cpu:    (after[i].cpu - before[i].cpu) / seconds / n * 100,
			bytes:  (after[i].bytes - before[i].bytes) / seconds / n / kilobyte,
			memory: after[i].memory / n / megabyte,
		})
	}
	return list, nil
}

// totals sums seconds of processor time, bytes of memory and of control.
func totals(ctx context.Context, roles [][]*daemon) ([]usage, error) {
	var list []usage
	for _, role := range roles {
		var sum usage
		for _, d := range role {
			cpu, err := processorTime(d.pid)
			if err != nil {
				return nil, err
			}
			memory, err := residentBytes(d.pid)
			if err != nil {
				return nil, err
			}
			bytes, err := controlBytes(ctx, d.admin)
			if err != nil {
				return nil, err
			}
			sum.cpu, sum.memory, sum.bytes = sum.cpu+cpu.Seconds(), sum.memory+memory, sum.bytes+bytes
		}
		list = append(list, sum)
	}
	return list, nil
}

// measureSite runs a site of n processes in all, one fifth of them gateways.
func measureSite(ctx context.Context, c Config, n int) (f siteFigures, err error) {
	f.gateways = n / 5
	f.sidecars = n - f.gateways - standIns
	s, err := newSite(c.Binaries, c.path(fmt.Sprintf("site-%d", n)), f.gateways, f.sidecars)
	if err != nil {
		return f, err
	}
	f.zones = s.zones
	defer func() {
		if stopError := s.stop(); err == nil {
			err = stopError
		}
	}()
	w, err := s.start(ctx, c.Seed, siteAccounts)
	if err != nil {
		return f, err
	}
	if _, err := w.change(ctx); err != nil {
		return f, err
	}
	if err := pause(ctx, settleTime); err != nil {
		return f, err
	}
	if err := f.measureIdle(ctx, s); err != nil {
		return f, err
	}
	return f, f.measureChanges(ctx, s, w)
}

func (f *siteFigures) measureIdle(ctx context.Context, s *site) error {
	before, err := s.counters(ctx)
	if err != nil {
		return err
	}
	began := time.Now()
	used, err := measureUsage(ctx, [][]*daemon{s.gateways, s.sidecars}, func() error { return pause(ctx, idleTime) })
	if err != nil {
		return err
	}
	after, err := s.counters(ctx)
	f.gateway, f.sidecar = used[0], used[1]
	f.perStore = time.Since(began).Seconds()
	f.store = fakestore.Counters{
		Ranges: after.Ranges - before.Ranges, Txns: after.Txns - before.Txns, Grants: after.Grants - before.Grants,
		KeepAlives: after.KeepAlives - before.KeepAlives, Watches: after.Watches - before.Watches, MaxWatches: after.MaxWatches,
	}
	return err
}

// measureChanges measures the time until changes are in force at both rates, the
// bytes at the slow one, and the use at the burst rate without polling.
func (f *siteFigures) measureChanges(ctx context.Context, s *site, w *writer) error {
	p, err := newPoller(s)
	if err != nil {
		return err
	}
	defer p.close()
	roles := [][]*daemon{s.gateways, s.sidecars}
	used, err := measureUsage(ctx, roles, func() error {
		var err error
		f.slow, err = p.during(ctx, w, changeRate, slowTime, 1)
		return err
	})
	if err != nil {
		return err
	}
	f.slowGateway, f.slowSidecar = used[0], used[1]
	edits := w.edits
	var took time.Duration
	used, err = measureUsage(ctx, roles, func() error {
		began := time.Now()
		if err := w.keepChanging(ctx, burstRate, burstTime, nil); err != nil {
			return err
		}
		took = time.Since(began)
		return pause(ctx, flushTime)
	})
	if err != nil {
		return err
	}
	count := float64(w.edits - edits)
	f.burstGateway, f.burstReached = used[0], count/took.Seconds()
	f.burstMean = count / (took + flushTime).Seconds()
	f.burst, err = p.during(ctx, w, burstRate, burstTime, int(burstRate)/2)
	return err
}

// keepChanging makes changes at a rate and passes each revision to made.
func (w *writer) keepChanging(ctx context.Context, rate float64, duration time.Duration, made func(uint64)) error {
	began := time.Now()
	count := int(math.Round(rate * duration.Seconds()))
	for i := range count {
		due := began.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		if err := pause(ctx, time.Until(due)); err != nil {
			return err
		}
		revision, err := w.change(ctx)
		if err != nil {
			return err
		}
		if made != nil {
			made(revision)
		}
	}
	return pause(ctx, time.Until(began.Add(duration)))
}

// poller asks every process for its revision.
type poller struct {
	conns   []*grpc.ClientConn
	clients []peerpb.PeerClient
}

func newPoller(s *site) (*poller, error) {
	p := &poller{}
	for _, list := range [][]*daemon{s.gateways, s.sidecars} {
		for _, d := range list {
			conn, err := grpc.NewClient("passthrough:///"+d.peers, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy())
			if err != nil {
				p.close()
				return nil, err
			}
			p.conns, p.clients = append(p.conns, conn), append(p.clients, peerpb.NewPeerClient(conn))
		}
	}
	return p, nil
}

func (p *poller) close() {
	for _, c := range p.conns {
		c.Close()
	}
}

// during makes changes and returns, for every sampled one, the seconds until
// all processes have its revision or a higher one.
func (p *poller) during(ctx context.Context, w *writer, rate float64, duration time.Duration, every int) ([]float64, error) {
	var mu sync.Mutex
	var times []float64
	var first error
	var waits sync.WaitGroup
	count := 0
	err := w.keepChanging(ctx, rate, duration, func(revision uint64) {
		count++
		if count%every != 0 {
			return
		}
		began := time.Now()
		waits.Go(func() {
			err := p.await(ctx, revision)
			mu.Lock()
			defer mu.Unlock()
			times = append(times, time.Since(began).Seconds())
			if err != nil && first == nil {
				first = err
			}
		})
	})
	waits.Wait()
	if err == nil {
		err = first
	}
	return times, err
}

// await returns when all processes have the revision.
func (p *poller) await(ctx context.Context, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, inForceLimit)
	defer cancel()
	for _, client := range p.clients {
		for {
			answer, err := client.Status(ctx, &peerpb.StatusRequest{})
			if err != nil {
				return fmt.Errorf("revision %d is not in force everywhere: %w", revision, err)
			}
			if answer.GetSender().GetConfigRevision() >= revision {
				break
			}
			if err := pause(ctx, pollInterval); err != nil {
				return err
			}
		}
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(max(0, d)):
		return nil
	}
}
