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

// Durations of the phases of a site measurement.
const (
	settleTime = 6 * time.Second
	idleTime   = 10 * time.Second
	burstTime  = 5 * time.Second
	// dailyRateTime is long enough for 8 changes at the daily mean rate.
	dailyRateTime = 8 * secondsPerDay * time.Second / designChangesPerDay
	// flushTime is longer than the interval at which processes publish their
	// counters. Without it, bytes of one phase are counted in the next.
	flushTime = 2 * time.Second
	// siteAccounts keeps the tables of a site small, because the Tables section
	// measures the cost of large ones.
	siteAccounts = 100
	// pollInterval limits the error in the measured time until a change is in
	// force.
	pollInterval   = 20 * time.Millisecond
	inForceTimeout = 30 * time.Second
)

// usage is the mean resource usage per process of one role. The CPU usage is in
// percent of a core.
type usage struct{ cpuPercent, memoryMB, controlKBPerSecond float64 }

// usageTotals are sums over all processes of one role: CPU time and control traffic
// since their start, and their present memory.
type usageTotals struct{ cpuSeconds, memoryBytes, controlBytes float64 }

// siteMeasurements are the measurements of one site.
type siteMeasurements struct {
	gateways, sidecars, zones int
	idleGateway, idleSidecar  usage
	// burstGateway is the usage during a burst, achievedBurstRate its rate in
	// changes per second.
	burstGateway      usage
	achievedBurstRate float64
	// burstMeanRate is the rate averaged over the burst and the time after it
	// until the counters are published.
	burstMeanRate float64
	// Only the bytes of the usage at the daily rate are evaluated: its processor
	// time includes the responses to this program's polling.
	dailyRateGateway, dailyRateSidecar usage
	// storeCalls counts the store calls during storeSeconds without configuration
	// changes. Its MaxWatches is the maximum since the start of the store.
	storeCalls       fakestore.Counters
	storeSeconds     float64
	dailyRateInForce []float64
	burstInForce     []float64
}

// measureUsage returns the usage of each role while action runs.
func measureUsage(ctx context.Context, roles [][]*daemon, action func() error) ([]usage, error) {
	if err := sleep(ctx, flushTime); err != nil {
		return nil, err
	}
	before, err := totalUsage(ctx, roles)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	if err := action(); err != nil {
		return nil, err
	}
	after, err := totalUsage(ctx, roles)
	if err != nil {
		return nil, err
	}
	seconds := time.Since(start).Seconds()
	var list []usage
	for i, role := range roles {
		n := float64(len(role))
		list = append(list, usage{
			cpuPercent:         (after[i].cpuSeconds - before[i].cpuSeconds) / seconds / n * 100,
			controlKBPerSecond: (after[i].controlBytes - before[i].controlBytes) / seconds / n / kilobyte,
			memoryMB:           after[i].memoryBytes / n / megabyte,
		})
	}
	return list, nil
}

// totalUsage returns the totals of each role.
func totalUsage(ctx context.Context, roles [][]*daemon) ([]usageTotals, error) {
	var list []usageTotals
	for _, role := range roles {
		var sum usageTotals
		for _, d := range role {
			cpu, err := cpuTime(d.pid)
			if err != nil {
				return nil, err
			}
			memory, err := residentBytes(d.pid)
			if err != nil {
				return nil, err
			}
			bytes, err := controlBytes(ctx, d.adminAddress)
			if err != nil {
				return nil, err
			}
			sum.cpuSeconds, sum.memoryBytes, sum.controlBytes = sum.cpuSeconds+cpu.Seconds(), sum.memoryBytes+memory, sum.controlBytes+bytes
		}
		list = append(list, sum)
	}
	return list, nil
}

// measureSite measures a site of n processes in total, one fifth of them
// gateways.
func measureSite(ctx context.Context, c Config, n int) (m siteMeasurements, err error) {
	m.gateways = n / 5
	m.sidecars = n - m.gateways - fakeProcesses
	s, err := newSite(c.Binaries, c.path(fmt.Sprintf("site-%d", n)), m.gateways, m.sidecars)
	if err != nil {
		return m, err
	}
	m.zones = s.zones
	defer func() {
		if stopError := s.stop(); err == nil {
			err = stopError
		}
	}()
	w, err := s.start(ctx, c.Seed, siteAccounts)
	if err != nil {
		return m, err
	}
	if _, err := w.changeWeight(ctx); err != nil {
		return m, err
	}
	if err := sleep(ctx, settleTime); err != nil {
		return m, err
	}
	if err := m.measureIdle(ctx, s); err != nil {
		return m, err
	}
	return m, m.measureChanges(ctx, s, w)
}

func (m *siteMeasurements) measureIdle(ctx context.Context, s *site) error {
	before, err := s.storeCounters(ctx)
	if err != nil {
		return err
	}
	start := time.Now()
	used, err := measureUsage(ctx, [][]*daemon{s.gateways, s.sidecars}, func() error { return sleep(ctx, idleTime) })
	if err != nil {
		return err
	}
	after, err := s.storeCounters(ctx)
	m.idleGateway, m.idleSidecar = used[0], used[1]
	m.storeSeconds = time.Since(start).Seconds()
	m.storeCalls = fakestore.Counters{
		Ranges: after.Ranges - before.Ranges, Txns: after.Txns - before.Txns, Grants: after.Grants - before.Grants,
		KeepAlives: after.KeepAlives - before.KeepAlives, Watches: after.Watches - before.Watches, MaxWatches: after.MaxWatches,
	}
	return err
}

// measureChanges measures the time until changes are in force at both rates, the
// bytes at the daily rate, and the usage at the burst rate without polling.
func (m *siteMeasurements) measureChanges(ctx context.Context, s *site, w *configWriter) error {
	p, err := newPoller(s)
	if err != nil {
		return err
	}
	defer p.close()
	roles := [][]*daemon{s.gateways, s.sidecars}
	used, err := measureUsage(ctx, roles, func() error {
		var err error
		m.dailyRateInForce, err = p.measureInForce(ctx, w, meanChangesPerSecond, dailyRateTime, 1)
		return err
	})
	if err != nil {
		return err
	}
	m.dailyRateGateway, m.dailyRateSidecar = used[0], used[1]
	editsBefore := w.editCount
	var took time.Duration
	used, err = measureUsage(ctx, roles, func() error {
		start := time.Now()
		if err := w.makeChanges(ctx, burstChangesPerSecond, burstTime, nil); err != nil {
			return err
		}
		took = time.Since(start)
		return sleep(ctx, flushTime)
	})
	if err != nil {
		return err
	}
	count := float64(w.editCount - editsBefore)
	m.burstGateway, m.achievedBurstRate = used[0], count/took.Seconds()
	m.burstMeanRate = count / (took + flushTime).Seconds()
	m.burstInForce, err = p.measureInForce(ctx, w, burstChangesPerSecond, burstTime, int(burstChangesPerSecond)/2)
	return err
}

// makeChanges makes changes at the given rate and passes each revision to
// onChange, which may be nil.
func (w *configWriter) makeChanges(ctx context.Context, changesPerSecond float64, duration time.Duration, onChange func(uint64)) error {
	start := time.Now()
	count := int(math.Round(changesPerSecond * duration.Seconds()))
	for i := range count {
		due := start.Add(time.Duration(float64(i) / changesPerSecond * float64(time.Second)))
		if err := sleep(ctx, time.Until(due)); err != nil {
			return err
		}
		revision, err := w.changeWeight(ctx)
		if err != nil {
			return err
		}
		if onChange != nil {
			onChange(revision)
		}
	}
	return sleep(ctx, time.Until(start.Add(duration)))
}

// revisionPoller polls all processes for their configuration revision.
type revisionPoller struct {
	conns   []*grpc.ClientConn
	clients []peerpb.PeerClient
}

func newPoller(s *site) (*revisionPoller, error) {
	p := &revisionPoller{}
	for _, list := range [][]*daemon{s.gateways, s.sidecars} {
		for _, d := range list {
			conn, err := grpc.NewClient("passthrough:///"+d.peerAddress, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy())
			if err != nil {
				p.close()
				return nil, err
			}
			p.conns, p.clients = append(p.conns, conn), append(p.clients, peerpb.NewPeerClient(conn))
		}
	}
	return p, nil
}

func (p *revisionPoller) close() {
	for _, c := range p.conns {
		c.Close()
	}
}

// measureInForce makes changes and returns for each sampled change the seconds
// until all processes have reached its revision or a later one.
func (p *revisionPoller) measureInForce(ctx context.Context, w *configWriter, changesPerSecond float64, duration time.Duration, sampleEvery int) ([]float64, error) {
	var mu sync.Mutex
	var times []float64
	var firstErr error
	var waits sync.WaitGroup
	count := 0
	err := w.makeChanges(ctx, changesPerSecond, duration, func(revision uint64) {
		count++
		if count%sampleEvery != 0 {
			return
		}
		start := time.Now()
		waits.Go(func() {
			err := p.awaitRevision(ctx, revision)
			mu.Lock()
			defer mu.Unlock()
			times = append(times, time.Since(start).Seconds())
			if err != nil && firstErr == nil {
				firstErr = err
			}
		})
	})
	waits.Wait()
	if err == nil {
		err = firstErr
	}
	return times, err
}

// awaitRevision waits until all processes have reached the revision.
func (p *revisionPoller) awaitRevision(ctx context.Context, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	for _, client := range p.clients {
		for {
			status, err := client.Status(ctx, &peerpb.StatusRequest{})
			if err != nil {
				return fmt.Errorf("wait for revision %d in all processes: %w", revision, err)
			}
			if status.GetSender().GetConfigRevision() >= revision {
				break
			}
			if err := sleep(ctx, pollInterval); err != nil {
				return err
			}
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(max(0, d)):
		return nil
	}
}
