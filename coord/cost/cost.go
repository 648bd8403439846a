// Package cost predicts what a request costs: prefill time, output length, decoding time and
// memory, or the service time of a plain call. It learns from observed requests per route,
// client account and shape of the request. Times are readings of a clock that keeps counting
// while the host is suspended.
package cost

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request describes a request whose cost is to be predicted.
type Request struct {
	Route   string
	Account string
	// PromptTokens is 0 for plain calls, whose service time is predicted.
	PromptTokens    int
	MaxOutputTokens int
	// OutputHint is the caller's estimate of the output length, or 0.
	OutputHint int
	// MeanOutput is the configured mean output length; 0 if there is none.
	MeanOutput int
	// Prefill is the prefill time, TokenTime the time per output token, both by the
	// configured speed of the replica.
	Prefill   time.Duration
	TokenTime time.Duration
}

// Estimate is the predicted cost of a request.
type Estimate struct {
	Prefill time.Duration
	// Decode is the expected time from the first event to the end; Service is the expected
	// duration of a plain call.
	Decode  time.Duration
	Service time.Duration
	// Output is the expected output length, Memory the tokens that the request needs with a
	// probability of 0.9.
	Output int
	Memory int
	// P10, P50 and P90 are quantiles of the output length in tokens, or of the duration of a
	// plain call in microseconds.
	P10, P50, P90 int
	// Samples is the number of earlier requests on which the estimate is based.
	Samples int
	// Source is the most specific evidence used.
	Source Source
	// Survival predicts the rest of the request while it runs.
	Survival Survival
}

// Expected returns the expected decoding time of a stream or duration of a plain call.
func (e *Estimate) Expected() time.Duration { return e.Decode + e.Service }

// Source is the evidence for an estimate.
type Source string

// Sources of estimates.
const (
	// SourceInitial is the hint, the configured mean or the bound, without observations.
	SourceInitial Source = "initial"
	// SourceRoute means all requests of the route, without regard to hints.
	SourceRoute Source = "route"
	// SourceShape means requests of the route with similar prompts and hints.
	SourceShape Source = "shape"
	// SourceAccount means those of the same client account.
	SourceAccount Source = "account"
	// SourcePeers means results that only other hosts have observed.
	SourcePeers Source = "peers"
)

// Result is the observed cost of a request.
type Result struct {
	OutputTokens int
	// Took is the time from the first event to the end of a stream, or the duration of a
	// plain call.
	Took time.Duration
	// Incomplete is set if the request ended early, so that its cost is a lower bound.
	Incomplete bool
}

const (
	// defaultOutput is the expected output length without a hint, a configured mean or a bound.
	defaultOutput = 256
	// boundShare is the share of the largest output that is expected if nothing else is known.
	boundShare = 0.5
	// serviceUnit is the expected duration of a plain call before any has been observed.
	// Ratios from 1/64 to 64 cover calls of 1.6 ms to 6.4 s.
	serviceUnit = 100 * time.Millisecond
)

// isPlain reports whether the request is a plain call.
func (r Request) isPlain() bool { return r.PromptTokens == 0 }

// mean returns the cost to which ratios are relative if there is no hint: tokens, or
// microseconds for a plain call.
func (r Request) mean() float64 {
	switch {
	case r.isPlain():
		return float64(serviceUnit.Microseconds())
	case r.MeanOutput > 0:
		return float64(r.MeanOutput)
	case r.MaxOutputTokens > 0:
		return max(1, boundShare*float64(r.MaxOutputTokens))
	}
	return defaultOutput
}

// hint returns the caller's hint within the bound, or 0 if there is none.
func (r Request) hint() float64 {
	if r.isPlain() || r.OutputHint <= 0 {
		return 0
	}
	if r.MaxOutputTokens > 0 {
		return float64(min(r.OutputHint, r.MaxOutputTokens))
	}
	return float64(r.OutputHint)
}

// unitTime returns the duration of one unit of mean or hint.
func (r Request) unitTime() time.Duration {
	if r.isPlain() {
		return time.Microsecond
	}
	return max(r.TokenTime, time.Nanosecond)
}

// limit returns the largest cost, or 0 if there is none.
func (r Request) limit() float64 {
	if r.isPlain() {
		return 0
	}
	return float64(max(0, r.MaxOutputTokens))
}

// observed returns the cost of a result in the unit of mean.
func (r Request) observed(result Result) float64 {
	if r.isPlain() {
		return float64(result.Took.Microseconds())
	}
	return float64(result.OutputTokens)
}

// keys identify the entries about a request, which are the same on all hosts. Two keys that
// collide share their statistics, which at 2,048 keys of 32 bits has a probability of 0.05%.
type keys struct{ route, shape, account uint32 }

// keys returns the keys of a request. Its shape is the prompt length by factors of four and
// the hint by factors of two.
func (r Request) keys() keys {
	route := xxhash.Sum64String(r.Route)
	shape := mix(route ^ uint64(1+bits.Len(uint(max(0, r.PromptTokens)))/2)<<8 ^ uint64(bits.Len(uint(r.hint()))))
	return keys{route: uint32(mix(route)), shape: uint32(shape), account: uint32(mix(shape ^ xxhash.Sum64String(r.Account)))}
}

// mix spreads the bits of a value.
func mix(v uint64) uint64 {
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	return v ^ v>>29
}
