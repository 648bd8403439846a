package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"siskinstand.example/loadgen/cluster"
	"siskinstand.example/loadgen/load"
	"siskinstand.example/loadgen/mix"
)

// atMostOnce sends calls that must not be repeated through all gateways and
// counts their runs at the services.
func atMostOnce() scenario {
	return scenario{
		name:    "at_most_once",
		cluster: cluster.Config{Topology: cluster.Topology{Gateways: 3, PlainServicesPerZone: 2}},
		run:     runAtMostOnce,
	}
}

// plainCallFaults kill no plain service: its process holds the count of the runs.
func plainCallFaults() []fault {
	return []fault{
		{"kill_gateway", 3, killGateway},
		{"pause_gateway", 2, pauseGateway},
		{"kill_sidecar", 4, killSidecar(true)},
		{"pause_sidecar", 3, pauseSidecar(true)},
		{"pause_service", 2, pauseBackend(true)},
		{"freeze_service", 2, freezePlainService},
		{"break_calls", 5, breakConnections},
		{"store_outage", 2, storeOutage},
		{"store_slow", 2, slowStore},
		{"lost_write_answers", 4, loseWriteResponses("claims/")},
	}
}

// callHistory is what the callers learnt of one key.
type callHistory struct {
	sendCount      int
	notRunCount    int
	isComplete     bool
	illegalOutcome string
	// outcomes are the outcomes in order.
	outcomes string
}

// callerPool are concurrent callers that resend a call with its key through the
// any gateway when they don't know its outcome.
type callerPool struct {
	scenarioRun *scenarioRun
	client      *load.Client
	runID       string
	maxCalls    int64
	// sendCount counts sends, next numbers the keys.
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
		// Fewer callers, so that a small number of calls lasts over several faults.
		workers = 150
	}
	c := s.clientConfig()
	all := &callerPool{scenarioRun: s, client: load.NewClient(c), runID: c.RunID, maxCalls: int64(s.config.Calls), histories: map[string]*callHistory{}}
	injecting, stop := context.WithCancel(ctx)
	defer stop()
	injected := make(chan error, 1)
	go func() { injected <- s.injectFaults(injecting, time.Hour, time.Second, plainCallFaults()) }()
	begin := time.Now()
	var group sync.WaitGroup
	for i := range workers {
		group.Go(func() { all.runCaller(ctx, rand.New(rand.NewPCG(s.config.Seed, uint64(i)))) })
	}
	group.Wait()
	took := time.Since(begin)
	stop()
	if err := <-injected; err != nil {
		return err
	}
	// Calls that a paused process still holds run within this time or never.
	if err := sleep(ctx, 6*time.Second); err != nil {
		return err
	}
	s.report.record("rate", float64(all.maxCalls)/took.Seconds(), "calls/s", noTarget)
	return all.reportResults(ctx)
}

// runCaller makes calls until the limit is reached.
func (c *callerPool) runCaller(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		index := c.nextIndex.Add(1) - 1
		if index >= c.maxCalls {
			return
		}
		c.call(ctx, int(index), random)
	}
}

// call sends one key up to four times. Half of the callers give up after a
// not_run, so that its accuracy shows in the count of runs.
func (c *callerPool) call(ctx context.Context, index int, random *rand.Rand) {
	const maxSends = 4
	item := mix.Item{Index: index, Class: mix.ClassPlain, Seed: uint64(index)}
	r := &callHistory{}
	persistent := index%2 == 0
	for range maxSends {
		// Callers come back through any gateway, sometimes the same one.
		gateway := random.IntN(len(c.scenarioRun.Layout.Gateways))
		result := c.client.SendTo(ctx, item, gateway, time.Now())
		r.add(c.scenarioRun, result)
		if result.Outcome == load.Complete || result.Outcome == load.Ran || (result.Outcome == load.NotRun && !persistent) {
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

// isAllowed reports whether an outcome breaks no requirement. An answer may be
// cut or late only if its own gateway was killed or paused meanwhile.
func (s *scenarioRun) isAllowed(r load.Result) bool {
	if r.Outcome.Legal() {
		return true
	}
	excusable := r.Outcome == load.Truncated || r.Outcome == load.Late
	return excusable && s.disruptions.overlaps(r.Gateway, r.Started, time.Now())
}

// reportResults compares what the callers learnt with the services' counts.
func (c *callerPool) reportResults(ctx context.Context) error {
	runs, err := c.scenarioRun.RunCounts(ctx)
	if err != nil {
		return err
	}
	twice, notRunRan, missing, illegal, whole, resent := 0, 0, 0, 0, 0, 0
	example := ""
	for key, r := range c.histories {
		n := runs[key]
		if n > 1 {
			twice++
			example = fmt.Sprintf("key %s ran %d times", key, n)
		}
		if r.notRunCount == r.sendCount && n > 0 {
			notRunRan++
			example = fmt.Sprintf("key %s ran after not_run: %s", key, r.outcomes)
		}
		if r.isComplete {
			whole++
			if n == 0 {
				missing++
			}
		}
		if r.sendCount > 1 {
			resent++
		}
		if r.illegalOutcome != "" {
			illegal++
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
	report.record("whole", float64(whole)/float64(len(c.histories)), "of keys", atLeast(0.5))
	report.record("run_twice", float64(twice), "keys", exactly(0))
	report.record("not_run_had_run", float64(notRunRan), "keys", exactly(0))
	report.record("answered_without_run", float64(missing), "keys", exactly(0))
	report.record("illegal_outcomes", float64(illegal), "keys", exactly(0))
	return nil
}
