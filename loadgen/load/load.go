// Package load sends a mix of requests to gateways as an open loop, that is, at
// times that don't depend on the responses, and checks every response.
package load

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"siskinstand.example/adapters/httpclient"
	"siskinstand.example/loadgen/mix"
)

// Outcome classifies the end of a request.
type Outcome string

// The first five outcomes are legal; each of the others breaks an invariant.
const (
	Complete   Outcome = "whole"
	NotRun     Outcome = "not_run"
	MayHaveRun Outcome = "may_have_run"
	Ran        Outcome = "ran"
	// Unsent means that the request was not sent. Either no connection to the
	// gateway could be opened, which callers of a gateway that is being replaced
	// have to expect, or too many requests were in flight.
	Unsent Outcome = "unsent"
	// Wrong means that the response differs from the expected one.
	Wrong Outcome = "wrong"
	// Truncated means that the request failed after its connection was opened,
	// or that its stream was malformed or ended without a final marker or an error
	// event.
	Truncated Outcome = "cut"
	// Late means that the request ended more than deliveryGrace after its
	// deadline.
	Late Outcome = "late"
	// NoVerdict means that the error response or error event had no valid verdict.
	NoVerdict Outcome = "unclear"
)

// Outcomes returns all outcomes.
func Outcomes() []Outcome {
	return []Outcome{Complete, NotRun, MayHaveRun, Ran, Unsent, Wrong, Truncated, Late, NoVerdict}
}

// Legal reports whether the outcome breaks no invariant.
func (o Outcome) Legal() bool {
	return o == Complete || o == NotRun || o == MayHaveRun || o == Ran || o == Unsent
}

// Config holds the parameters of a load run.
type Config struct {
	// Gateways are base URLs, used round-robin.
	Gateways []string
	// IsReady, if set, reports whether the load balancer sends requests to a
	// gateway. If none is ready, requests are sent regardless of readiness.
	IsReady func(gateway int) bool
	Token   string
	Model   string
	// Service is the name of the plain service, whose calls must not be repeated.
	Service string
	// RunID is part of each idempotency key and makes the keys unique to the run.
	RunID string
	// Deadline is the deadline of model requests, PlainDeadline that of plain calls.
	Deadline      time.Duration
	PlainDeadline time.Duration
	// Duration is the time over which requests arrive.
	Duration time.Duration
	Mix      mix.Config
	// MaxInFlight bounds the requests in flight. Requests beyond it are not sent
	// and count as Unsent.
	MaxInFlight int
}

// gatewayURL returns the base URL of the first ready gateway, starting from
// index.
func (c Config) gatewayURL(index int) string {
	n := len(c.Gateways)
	for i := range n {
		if g := (index + i) % n; c.IsReady == nil || c.IsReady(g) {
			return c.Gateways[g]
		}
	}
	return c.Gateways[index%n]
}

// deliveryGrace is added to the deadline before a response counts as late. It
// covers the transfer from the gateway and the time to read the response on a
// busy machine.
const deliveryGrace = 2 * time.Second

// Result describes the outcome of one request.
type Result struct {
	Item    mix.Item
	Outcome Outcome
	// Reason is the code of an error response, or describes the failure.
	Reason string
	// Gateway is the base URL to which the request was sent at Started.
	Gateway string
	Started time.Time
	// TimeToFirstToken and Latency are measured from the time at which the request
	// was due.
	TimeToFirstToken time.Duration
	Latency          time.Duration
}

// CountComplete returns the number of requests that received a complete and
// correct response.
func CountComplete(results []Result) int {
	complete := 0
	for _, r := range results {
		if r.Outcome == Complete {
			complete++
		}
	}
	return complete
}

// Run sends the mix for the configured duration and returns all results in
// completion order.
func Run(ctx context.Context, c Config) []Result { return RunUntil(ctx, ctx, c) }

// RunUntil is like Run, but sends no more requests once the context sending has
// ended. It still waits for the requests in flight.
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
	var inFlight atomic.Int64
	begin := time.Now()
	items := mix.New(c.Mix)
	for {
		item := items.Next()
		if item.ArrivalOffset > c.Duration || !waitUntil(sending, begin.Add(item.ArrivalOffset)) {
			return
		}
		if inFlight.Add(1) > int64(c.MaxInFlight) {
			inFlight.Add(-1)
			results <- Result{Item: item, Outcome: Unsent, Reason: "tool_limit"}
			continue
		}
		group.Go(func() {
			defer inFlight.Add(-1)
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

// NewClient returns a client with its own connection pool.
func NewClient(c Config) *Client {
	transport := httpclient.NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext, MaxIdleConnsPerHost: 256, DisableCompression: true})
	return &Client{config: c, http: &http.Client{Transport: transport}}
}

// CheckOutcomes returns an error with the count of each illegal outcome, or nil
// if there is none.
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
