// Package load sends a mix of requests to gateways as an open loop, that is,
// at times that don't depend on the answers, and checks every answer.
package load

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"siskinstand.example/loadgen/mix"
)

// Outcome is how a request ended.
type Outcome string

// The outcomes. The first five are legal; each other one breaks an invariant.
const (
	Complete   Outcome = "whole"
	NotRun     Outcome = "not_run"
	MayHaveRun Outcome = "may_have_run"
	Ran        Outcome = "ran"
	// Unsent means that the gateway took no connection; as for any caller of a
	// replaced gateway, nothing follows about the request.
	Unsent Outcome = "unsent"
	// Wrong is an answer that differs from the expected one.
	Wrong Outcome = "wrong"
	// Truncated is an answer or a stream that ended without a final marker or error.
	Truncated Outcome = "cut"
	// Late is an end after the deadline.
	Late Outcome = "late"
	// NoVerdict is a refusal without a verdict.
	NoVerdict Outcome = "unclear"
)

// Outcomes lists all outcomes.
func Outcomes() []Outcome {
	return []Outcome{Complete, NotRun, MayHaveRun, Ran, Unsent, Wrong, Truncated, Late, NoVerdict}
}

// Legal reports whether the outcome breaks no invariant.
func (o Outcome) Legal() bool {
	return o == Complete || o == NotRun || o == MayHaveRun || o == Ran || o == Unsent
}

// Config describes a run.
type Config struct {
	// Gateways are base URLs, used in turn.
	Gateways []string
	// Ready, if set, tells whether the balancer sends requests to a gateway. If
	// none is ready, requests go to any.
	Ready func(gateway int) bool
	Token string
	Model string
	// Service is the plain service for calls that must not be repeated.
	Service string
	// RunID makes idempotency keys unique to the run.
	RunID    string
	Deadline time.Duration
	// PlainDeadline is the deadline of plain calls.
	PlainDeadline time.Duration
	Duration      time.Duration
	Mix           mix.Config
	// MaxOpen bounds the requests in flight; further ones count as Skipped.
	MaxOpen int
}

// gateway returns the base URL for a request.
func (c Config) gateway(index int) string {
	n := len(c.Gateways)
	for i := range n {
		if g := (index + i) % n; c.Ready == nil || c.Ready(g) {
			return c.Gateways[g]
		}
	}
	return c.Gateways[index%n]
}

// lateGrace is the time that an answer may take from the gateway to the tool,
// and the tool to read it, on a busy machine.
const lateGrace = 2 * time.Second

// Result is what happened to one request.
type Result struct {
	Item    mix.Item
	Outcome Outcome
	// Reason is the refusal's code or what was wrong.
	Reason string
	// Gateway is the base URL that the request went to, and Started the time.
	Gateway string
	Started time.Time
	// TimeToFirstToken and Total count from the time that the mix set.
	TimeToFirstToken time.Duration
	Latency          time.Duration
}

// CountComplete returns how many requests got their whole, correct answer.
func CountComplete(results []Result) int {
	whole := 0
	for _, r := range results {
		if r.Outcome == Complete {
			whole++
		}
	}
	return whole
}

// Run sends the mix for the configured time and returns all results, in order
// of their ends.
func Run(ctx context.Context, c Config) []Result { return RunUntil(ctx, ctx, c) }

// RunUntil is Run that sends no further request after sending has ended. The
// requests in flight are still answered.
func RunUntil(ctx, sending context.Context, c Config) []Result {
	client := NewClient(c)
	results := make(chan Result, 64)
	go func() {
		defer close(results)
		dispatch(ctx, sending, c, client, results)
	}()
	var all []Result
	for r := range results {
		all = append(all, r)
	}
	return all
}

func dispatch(ctx, sending context.Context, c Config, client *Client, results chan<- Result) {
	var group sync.WaitGroup
	defer group.Wait()
	var open atomic.Int64
	begin := time.Now()
	items := mix.New(c.Mix)
	for {
		item := items.Next()
		if item.ArrivalOffset > c.Duration || !waitUntil(sending, begin.Add(item.ArrivalOffset)) {
			return
		}
		if open.Add(1) > int64(c.MaxOpen) {
			open.Add(-1)
			results <- Result{Item: item, Outcome: Unsent, Reason: "tool_limit"}
			continue
		}
		group.Go(func() {
			defer open.Add(-1)
			results <- client.Send(ctx, item, begin.Add(item.ArrivalOffset))
		})
	}
}

func waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}

// NewClient returns a client with its own connections.
func NewClient(c Config) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	return &Client{config: c, http: &http.Client{Transport: transport}}
}

// CheckOutcomes returns an error that names the broken invariants, or nil.
func CheckOutcomes(results []Result) error {
	count := map[Outcome]int{}
	var example string
	for _, r := range results {
		if !r.Outcome.Legal() {
			count[r.Outcome]++
			example = fmt.Sprintf("request %d (%s): %s", r.Item.Index, r.Item.Class, r.Reason)
		}
	}
	if len(count) == 0 {
		return nil
	}
	return fmt.Errorf("invariants broken: %v; for example %s", count, example)
}
