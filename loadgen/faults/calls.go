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
		cluster: cluster.Config{Shape: cluster.Shape{Gateways: 3, PlainByZone: 2}},
		run:     runAtMostOnce,
	}
}

// callFaults kill no plain service: its process holds the count of the runs.
func callFaults() []fault {
	return []fault{
		{"kill_gateway", 3, killGateway},
		{"pause_gateway", 2, pauseGateway},
		{"kill_sidecar", 4, killSidecar(true)},
		{"pause_sidecar", 3, pauseSidecar(true)},
		{"pause_service", 2, pauseBackend(true)},
		{"freeze_service", 2, freezeCalls},
		{"break_calls", 5, breakCalls},
		{"store_outage", 2, storeOutage},
		{"store_slow", 2, storeSlow},
		{"lost_write_answers", 4, loseWrites("claims/")},
	}
}

// record is what the callers learnt of one key.
type record struct {
	sends   int
	notRun  int
	whole   bool
	illegal string
	// reasons are the outcomes in order.
	reasons string
}

// callers are concurrent callers that resend a call with its key through the
// any gateway when they don't know its outcome.
type callers struct {
	stage  *stage
	client *load.Client
	runID  string
	limit  int64
	// sent counts sends, next numbers the keys.
	sent atomic.Int64
	next atomic.Int64

	mu      sync.Mutex
	records map[string]*record
}

func (s *stage) clientConfig() load.Config {
	c := load.Config{
		Token: cluster.Token, Model: cluster.Model, Service: cluster.PlainService,
		RunID: "faults", Deadline: 30 * time.Second, PlainDeadline: 5 * time.Second, MaxOpen: 2048,
	}
	for _, g := range s.Layout.Gateways {
		c.Gateways = append(c.Gateways, gatewayURL(g))
	}
	return c
}

func runAtMostOnce(ctx context.Context, s *stage) error {
	workers := 1000
	if s.config.Short {
		// Fewer callers, so that a small number of calls lasts over several faults.
		workers = 150
	}
	c := s.clientConfig()
	all := &callers{stage: s, client: load.NewClient(c), runID: c.RunID, limit: int64(s.config.Calls), records: map[string]*record{}}
	injecting, stop := context.WithCancel(ctx)
	defer stop()
	injected := make(chan error, 1)
	go func() { injected <- s.inject(injecting, time.Hour, time.Second, callFaults()) }()
	begin := time.Now()
	var group sync.WaitGroup
	for i := range workers {
		group.Go(func() { all.work(ctx, rand.New(rand.NewPCG(s.config.Seed, uint64(i)))) })
	}
	group.Wait()
	took := time.Since(begin)
	stop()
	if err := <-injected; err != nil {
		return err
	}
	// Calls that a paused process still holds run within this time or never.
	if err := rest(ctx, 6*time.Second); err != nil {
		return err
	}
	s.report.figure("rate", float64(all.limit)/took.Seconds(), "calls/s", none)
	return all.judge(ctx)
}

// work makes calls until the limit is reached.
func (c *callers) work(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		index := c.next.Add(1) - 1
		if index >= c.limit {
			return
		}
		c.call(ctx, int(index), random)
	}
}

// call sends one key up to four times. Half of the callers give up after a
// not_run, so that its accuracy shows in the count of runs.
func (c *callers) call(ctx context.Context, index int, random *rand.Rand) {
	const maxSends = 4
	item := mix.Item{Index: index, Class: mix.ClassPlain, Seed: uint64(index)}
	r := &record{}
	persistent := index%2 == 0
	for range maxSends {
		// Callers come back through any gateway, sometimes the same one.
		gateway := random.IntN(len(c.stage.Layout.Gateways))
		result := c.client.SendTo(ctx, item, gateway, time.Now())
		r.note(c.stage, result)
		if result.Outcome == load.Complete || result.Outcome == load.Ran || (result.Outcome == load.NotRun && !persistent) {
			break
		}
		if rest(ctx, between(random, 20*time.Millisecond, 300*time.Millisecond)) != nil {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent.Add(int64(r.sends))
	c.records[item.IdempotencyKey(c.runID)] = r
}

func (r *record) note(s *stage, result load.Result) {
	r.sends++
	r.reasons += fmt.Sprintf("%s %s at %s after %s by %s; ", result.Outcome, result.Reason, result.Started.Format("04:05.000"), result.Latency.Round(time.Millisecond), result.Gateway)
	switch result.Outcome {
	case load.NotRun:
		r.notRun++
	case load.Complete:
		r.whole = true
	}
	if !s.allowed(result) {
		r.illegal = fmt.Sprintf("%s: %s", result.Outcome, result.Reason)
	}
}

// allowed reports whether an outcome breaks no requirement. An answer may be
// cut or late only if its own gateway was killed or paused meanwhile.
func (s *stage) allowed(r load.Result) bool {
	if r.Outcome.Legal() {
		return true
	}
	excusable := r.Outcome == load.Truncated || r.Outcome == load.Late
	return excusable && s.log.excuses(r.Gateway, r.Started, time.Now())
}

// judge compares what the callers learnt with the services' counts.
func (c *callers) judge(ctx context.Context) error {
	runs, err := c.stage.AllRuns(ctx)
	if err != nil {
		return err
	}
	twice, notRunRan, missing, illegal, whole, resent := 0, 0, 0, 0, 0, 0
	example := ""
	for key, r := range c.records {
		n := runs[key]
		if n > 1 {
			twice++
			example = fmt.Sprintf("key %s ran %d times", key, n)
		}
		if r.notRun == r.sends && n > 0 {
			notRunRan++
			example = fmt.Sprintf("key %s ran after not_run: %s", key, r.reasons)
		}
		if r.whole {
			whole++
			if n == 0 {
				missing++
			}
		}
		if r.sends > 1 {
			resent++
		}
		if r.illegal != "" {
			illegal++
			example = fmt.Sprintf("key %s: %s", key, r.illegal)
		}
	}
	if example != "" {
		c.stage.report.note(example)
	}
	report := c.stage.report
	report.figure("calls", float64(len(c.records)), "keys", atLeast(float64(c.limit)))
	report.figure("sends", float64(c.sent.Load()), "requests", none)
	report.figure("resent", float64(resent), "keys", atLeast(1))
	report.figure("whole", float64(whole)/float64(len(c.records)), "of keys", atLeast(0.5))
	report.figure("run_twice", float64(twice), "keys", exactly(0))
	report.figure("not_run_had_run", float64(notRunRan), "keys", exactly(0))
	report.figure("answered_without_run", float64(missing), "keys", exactly(0))
	report.figure("illegal_outcomes", float64(illegal), "keys", exactly(0))
	return nil
}
