package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"siskinstand.example/coord/admission"
	"siskinstand.example/coord/routing"
)

// request is a simulated request and its result.
type request struct {
	id      string
	account account
	arrived time.Time
	gateway int
	// promptTokens is the actual length, estimatedPromptTokens the gateway's
	// estimate.
	promptTokens, estimatedPromptTokens int64
	outputTokens, outputLimit           int64
	prefixID                            uint64
	prefixTokens                        int64
	fingerprint                         uint64
	deadline                            time.Time

	firstToken time.Time
	ended      time.Time
	outcome    outcome
	admitted   bool
	admittedAt time.Time
}

// outcome is the result of a request.
type outcome string

const (
	outcomeOpen    outcome = "open"
	outcomeDone    outcome = "done"
	outcomeRefused outcome = "refused"
	outcomeLate    outcome = "late"
)

func (r *request) class() admission.Class { return admission.ClassOf(r.promptTokens) }

// account is a client account; share is its fraction of all requests.
type account struct {
	name  string
	share float64
}

// accounts resemble those of existing deployments: about ten, a few of them
// large.
var accounts = []account{
	{"a0", 0.30}, {"a1", 0.25}, {"a2", 0.15}, {"a3", 0.06}, {"a4", 0.05},
	{"a5", 0.05}, {"a6", 0.05}, {"a7", 0.04}, {"a8", 0.03}, {"a9", 0.02},
}

// lengthRange is a range of prompt lengths, sampled log-uniformly.
type lengthRange struct {
	low, high int64
	share     float64
}

// promptLengths covers 1,000 to 1,000,000 tokens, with one prompt in fifty over
// 100,000.
var promptLengths = []lengthRange{
	{1_000, 1_024, 0.35}, {1_025, 4_096, 0.35}, {4_097, 16_384, 0.17}, {16_385, 65_536, 0.10},
	{65_537, 100_000, 0.01}, {100_001, 262_144, 0.013}, {262_145, 1_000_000, 0.007},
}

const (
	// prefixesPerAccount is the number of shared prompt prefixes of an account.
	prefixesPerAccount = 6
	// Prefixes have 300 to 716 tokens; maxPrefixTokens is an exclusive bound.
	maxPrefixTokens   = 800
	meanOutputTokens  = 150
	maxOutputTokens   = 1_000
	outputLimitTokens = 1_024
	requestDeadline   = 60 * time.Second
)

// meanPromptTokens returns the mean prompt tokens per request, where prompts of
// ranges that start above the limit count as 0 tokens.
func meanPromptTokens(limit int64) float64 {
	mean := 0.0
	for _, l := range promptLengths {
		if l.low <= limit {
			mean += l.share * float64(l.high-l.low) / math.Log(float64(l.high)/float64(l.low))
		}
	}
	return mean
}

// workload generates requests from a seed.
type workload struct {
	random       *rand.Rand
	requestCount int
	// estimateError is the maximum relative error of prompt length estimates.
	estimateError float64
	shortOnly     bool
	gateways      int
}

func newWorkload(seed uint64, s Scenario) *workload {
	return &workload{random: rand.New(rand.NewPCG(seed, 7)), estimateError: s.EstimateError, shortOnly: s.ShortOnly, gateways: s.Gateways}
}

// nextInterval draws the time until the next arrival of a Poisson process.
func (w *workload) nextInterval(perSecond float64) time.Duration {
	return time.Duration(w.random.ExpFloat64() / perSecond * float64(time.Second))
}

func (w *workload) nextRequest(now time.Time) *request {
	w.requestCount++
	r := &request{
		id: fmt.Sprintf("r%d", w.requestCount), arrived: now, deadline: now.Add(requestDeadline),
		gateway: w.random.IntN(w.gateways), outcome: outcomeOpen, outputLimit: outputLimitTokens,
	}
	r.account = w.pickAccount()
	r.promptTokens = w.drawPromptTokens()
	r.outputTokens = min(1+int64(w.random.ExpFloat64()*meanOutputTokens), maxOutputTokens)
	factor := 1 + w.estimateError*(2*w.random.Float64()-1)
	// Cap the estimate at one engine's memory: a longer prompt would go to a group
	// of engines, and groups are not simulated.
	r.estimatedPromptTokens = min(max(int64(float64(r.promptTokens)*factor), 1), defaultEngine().memoryTokens-r.outputLimit)
	prefix := w.random.IntN(prefixesPerAccount)
	r.prefixID = routing.HashName(fmt.Sprintf("%s/%d", r.account.name, prefix))
	r.prefixTokens = int64(300 + prefix*(maxPrefixTokens-300)/prefixesPerAccount)
	r.fingerprint = w.random.Uint64()
	if w.shortOnly && r.promptTokens > admission.LongTokens {
		// simulate drops requests that aren't open.
		r.outcome = outcomeRefused
	}
	return r
}

// nextLongRequest returns a request with the given prompt length from the
// smallest account.
func (w *workload) nextLongRequest(now time.Time, tokens int64) *request {
	r := w.nextRequest(now)
	r.account = accounts[len(accounts)-1]
	r.promptTokens, r.estimatedPromptTokens, r.outcome = tokens, tokens, outcomeOpen
	return r
}

func (w *workload) pickAccount() account {
	x := w.random.Float64()
	for _, a := range accounts {
		if x < a.share {
			return a
		}
		x -= a.share
	}
	return accounts[len(accounts)-1]
}

func (w *workload) drawPromptTokens() int64 {
	x, y := w.random.Float64(), w.random.Float64()
	for _, l := range promptLengths {
		if x < l.share {
			return int64(float64(l.low) * math.Pow(float64(l.high)/float64(l.low), y))
		}
		x -= l.share
	}
	return promptLengths[len(promptLengths)-1].high
}
