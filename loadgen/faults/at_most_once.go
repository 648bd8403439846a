package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"siskinstand.example/coord/config"
	"siskinstand.example/loadgen/cluster"
	"siskinstand.example/loadgen/load"
	"siskinstand.example/loadgen/mix"
)

// atMostOnce sends non-repeatable calls through all gateways under faults and
// checks how often each of them ran at the plain services.
func atMostOnce() scenario {
	return scenario{
		name:    "at_most_once",
		cluster: cluster.Config{Topology: cluster.Topology{Gateways: 3, PlainServicesPerZone: 2}},
		run:     runAtMostOnce,
	}
}

// plainCallFaults returns the faults that affect plain calls. None of them kills
// a plain service, because the run counts exist only in its process.
func plainCallFaults() []fault {
	return []fault{
		{"kill_gateway", 3, killGateway},
		{"pause_gateway", 2, pauseGateway},
		{"kill_sidecar", 4, killSidecar(config.KindPlain)},
		{"pause_sidecar", 3, pauseSidecar(config.KindPlain)},
		{"pause_service", 2, pauseBackend(config.KindPlain)},
		{"freeze_service", 2, freezePlainService},
		{"break_calls", 5, breakConnections},
		{"store_outage", 2, storeOutage},
		{"store_slow", 2, slowStore},
		{"lost_write_answers", 4, loseWriteResponses("claims/")},
	}
}

// callHistory records the outcomes that a caller saw for one idempotency key.
type callHistory struct {
	sendCount   int
	notRunCount int
	isComplete  bool
	// illegalOutcome describes the last outcome that isAllowed rejected.
	illegalOutcome string
	// outcomes describes each send in order.
	outcomes string
}

// callerPool holds the state shared by concurrent callers. They resend a call
// with the same idempotency key through any gateway if its outcome is unknown or, for
// every other call, not_run.
type callerPool struct {
	scenarioRun *scenarioRun
	client      *load.Client
	runID       string
	maxCalls    int64
	// sendCount counts the requests sent, and nextIndex is the index of the next
	// call.
	sendCount atomic.Int64
	nextIndex atomic.Int64

	mu        sync.Mutex
	histories map[string]*callHistory
}

func (s *scenarioRun) clientConfig() load.Config {
	c := load.Config{
		Token: cluster.Token, Model: cluster.Model, Service: cluster.PlainService,
		RunID: "faults", Deadline: 30 * time.Second, PlainDeadline: 5 * time.Second, MaxInFlight: 2048,
	}
	for _, g := range s.Layout.Gateways {
		c.Gateways = append(c.Gateways, gatewayURL(g))
	}
	return c
}

func runAtMostOnce(ctx context.Context, s *scenarioRun) error {
	workers := 1000
	if s.config.Short {
		// With fewer callers, a small number of calls still spans several faults.
		workers = 150
	}
	c := s.clientConfig()
	pool := &callerPool{scenarioRun: s, client: load.NewClient(c), runID: c.RunID, maxCalls: int64(s.config.Calls), histories: map[string]*callHistory{}}
	injecting, stop := context.WithCancel(ctx)
	defer stop()
	injected := make(chan error, 1)
	go func() { injected <- s.injectFaults(injecting, time.Hour, time.Second, plainCallFaults()) }()
	begin := time.Now()
	var group sync.WaitGroup
	for i := range workers {
		group.Go(func() { pool.runCaller(ctx, rand.New(rand.NewPCG(s.config.Seed, uint64(i)))) })
	}
	group.Wait()
	elapsed := time.Since(begin)
	stop()
	if err := <-injected; err != nil {
		return err
	}
	// Calls held by a paused process either run within this time or never.
	if err := sleep(ctx, 6*time.Second); err != nil {
		return err
	}
	s.report.record("rate", float64(pool.maxCalls)/elapsed.Seconds(), "calls/s", noTarget)
	return pool.reportResults(ctx)
}

// runCaller makes calls until the pool has made maxCalls calls.
func (c *callerPool) runCaller(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		index := c.nextIndex.Add(1) - 1
		if index >= c.maxCalls {
			return
		}
		c.call(ctx, int(index), random)
	}
}

// call sends one call up to four times. Every other call is not resent after a
// not_run verdict, so that the run count shows whether the verdict was correct.
func (c *callerPool) call(ctx context.Context, index int, random *rand.Rand) {
	const maxSends = 4
	item := mix.Item{Index: index, Class: mix.ClassPlain, Seed: uint64(index)}
	r := &callHistory{}
	retriesNotRun := index%2 == 0
	for range maxSends {
		// A call may be resent through any gateway, including the same one.
		gateway := random.IntN(len(c.scenarioRun.Layout.Gateways))
		result := c.client.SendTo(ctx, item, gateway, time.Now())
		r.add(c.scenarioRun, result)
		if result.Outcome == load.Complete || result.Outcome == load.Ran || (result.Outcome == load.NotRun && !retriesNotRun) {
			break
		}
		if sleep(ctx, randomDuration(random, 20*time.Millisecond, 300*time.Millisecond)) != nil {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendCount.Add(int64(r.sendCount))
	c.histories[item.IdempotencyKey(c.runID)] = r
}

func (r *callHistory) add(s *scenarioRun, result load.Result) {
	r.sendCount++
	r.outcomes += fmt.Sprintf("%s %s at %s after %s by %s; ", result.Outcome, result.Reason, result.Started.Format("04:05.000"), result.Latency.Round(time.Millisecond), result.Gateway)
	switch result.Outcome {
	case load.NotRun:
		r.notRunCount++
	case load.Complete:
		r.isComplete = true
	}
	if !s.isAllowed(result) {
		r.illegalOutcome = fmt.Sprintf("%s: %s", result.Outcome, result.Reason)
	}
}

// isAllowed reports whether an outcome meets the requirements. A response may be
// truncated or late only if its gateway was killed or paused meanwhile.
func (s *scenarioRun) isAllowed(r load.Result) bool {
	if r.Outcome.Legal() {
		return true
	}
	canBeExcused := r.Outcome == load.Truncated || r.Outcome == load.Late
	return canBeExcused && s.disruptions.overlaps(r.Gateway, r.Started, time.Now())
}

// reportResults compares the outcomes that the callers saw with the run counts of
// the plain services.
func (c *callerPool) reportResults(ctx context.Context) error {
	runs, err := c.scenarioRun.RunCounts(ctx)
	if err != nil {
		return err
	}
	ranTwice, falseNotRun, completeWithoutRun, illegalOutcomes, complete, resent := 0, 0, 0, 0, 0, 0
	example := ""
	for key, r := range c.histories {
		n := runs[key]
		if n > 1 {
			ranTwice++
			example = fmt.Sprintf("key %s ran %d times", key, n)
		}
		if r.notRunCount == r.sendCount && n > 0 {
			falseNotRun++
			example = fmt.Sprintf("key %s ran after not_run: %s", key, r.outcomes)
		}
		if r.isComplete {
			complete++
			if n == 0 {
				completeWithoutRun++
			}
		}
		if r.sendCount > 1 {
			resent++
		}
		if r.illegalOutcome != "" {
			illegalOutcomes++
			example = fmt.Sprintf("key %s: %s", key, r.illegalOutcome)
		}
	}
	if example != "" {
		c.scenarioRun.report.comment(example)
	}
	report := c.scenarioRun.report
	report.record("calls", float64(len(c.histories)), "keys", atLeast(float64(c.maxCalls)))
	report.record("sends", float64(c.sendCount.Load()), "requests", noTarget)
	report.record("resent", float64(resent), "keys", atLeast(1))
	report.record("whole", float64(complete)/float64(len(c.histories)), "of keys", atLeast(0.5))
	report.record("run_twice", float64(ranTwice), "keys", exactly(0))
	report.record("not_run_had_run", float64(falseNotRun), "keys", exactly(0))
	report.record("answered_without_run", float64(completeWithoutRun), "keys", exactly(0))
	report.record("illegal_outcomes", float64(illegalOutcomes), "keys", exactly(0))
	return nil
}
