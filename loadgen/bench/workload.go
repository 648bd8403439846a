package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"siskinstand.example/coord/admission"
	"siskinstand.example/coord/routing"
)

// request is one request and what became of it.
type request struct {
	id      string
	account account
	arrived time.Time
	gateway int
	// prompt is the true length; estimate is what the gateway believes.
	prompt, estimate int64
	output, bound    int64
	family           uint64
	familyTokens     int64
	fingerprint      uint64
	deadline         time.Time

	firstToken time.Time
	ended      time.Time
	outcome    outcome
	admitted   bool
	admittedAt time.Time
}

// outcome is the end of a request.
type outcome string

const (
	outcomeOpen    outcome = "open"
	outcomeDone    outcome = "done"
	outcomeRefused outcome = "refused"
	outcomeLate    outcome = "late"
)

func (r *request) class() admission.Class { return admission.ClassOf(r.prompt) }

// account is one client account; share is its part of all requests.
type account struct {
	name  string
	share float64
}

// accounts are as in today's deployments: about ten, a few of them large.
var accounts = []account{
	{"a0", 0.30}, {"a1", 0.25}, {"a2", 0.15}, {"a3", 0.06}, {"a4", 0.05},
	{"a5", 0.05}, {"a6", 0.05}, {"a7", 0.04}, {"a8", 0.03}, {"a9", 0.02},
}

// lengthRange is a range of prompt lengths, drawn log-uniformly.
type lengthRange struct {
	low, high int64
	share     float64
}

// lengths run from 1,000 to 1,000,000 tokens with one in fifty over 100,000.
var lengths = []lengthRange{
	{1_000, 1_024, 0.35}, {1_025, 4_096, 0.35}, {4_097, 16_384, 0.17}, {16_385, 65_536, 0.10},
	{65_537, 100_000, 0.01}, {100_001, 262_144, 0.013}, {262_145, 1_000_000, 0.007},
}

const (
	// families is the number of shared prompt starts of an account.
	families          = 6
	maxFamilyTokens   = 800
	meanOutputTokens  = 150
	maxOutputTokens   = 1_000
	outputBoundTokens = 1_024
	requestDeadline   = 60 * time.Second
)

// meanPrompt returns the mean prompt tokens of a request, where prompts above
// the limit count as none.
func meanPrompt(limit int64) float64 {
	mean := 0.0
	for _, l := range lengths {
		if l.low <= limit {
			mean += l.share * float64(l.high-l.low) / math.Log(float64(l.high)/float64(l.low))
		}
	}
	return mean
}

// workload draws requests from a seed.
type workload struct {
	random *rand.Rand
	number int
	// estimateError is the largest relative error of length estimates.
	estimateError float64
	shortOnly     bool
	gateways      int
}

func newWorkload(seed uint64, s Scenario) *workload {
	return &workload{random: rand.New(rand.NewPCG(seed, 7)), estimateError: s.EstimateError, shortOnly: s.ShortOnly, gateways: s.Gateways}
}

// gap draws the time to the next arrival of a Poisson process.
func (w *workload) gap(perSecond float64) time.Duration {
	return time.Duration(w.random.ExpFloat64() / perSecond * float64(time.Second))
}

func (w *workload) next(now time.Time) *request {
	w.number++
	r := &request{
		id: fmt.Sprintf("r%d", w.number), arrived: now, deadline: now.Add(requestDeadline),
		gateway: w.random.IntN(w.gateways), outcome: outcomeOpen, bound: outputBoundTokens,
	}
	r.account = w.account()
	r.prompt = w.length()
	r.output = min(1+int64(w.random.ExpFloat64()*meanOutputTokens), maxOutputTokens)
	factor := 1 + w.estimateError*(2*w.random.Float64()-1)
	// A group would take a prompt whose estimate exceeds one engine's memory;
	// the bench does not drive groups.
	r.estimate = min(max(int64(float64(r.prompt)*factor), 1), defaultEngine().memoryTokens-r.bound)
	family := w.random.IntN(families)
	r.family = routing.HashName(fmt.Sprintf("%s/%d", r.account.name, family))
	r.familyTokens = int64(300 + family*(maxFamilyTokens-300)/families)
	r.fingerprint = w.random.Uint64()
	if w.shortOnly && r.prompt > admission.LongTokens {
		r.outcome = outcomeRefused
	}
	return r
}

// nextLong draws a request with the given length from the smallest account.
func (w *workload) nextLong(now time.Time, tokens int64) *request {
	r := w.next(now)
	r.account = accounts[len(accounts)-1]
	r.prompt, r.estimate, r.outcome = tokens, tokens, outcomeOpen
	return r
}

func (w *workload) account() account {
	x := w.random.Float64()
	for _, a := range accounts {
		if x < a.share {
			return a
		}
		x -= a.share
	}
	return accounts[len(accounts)-1]
}

func (w *workload) length() int64 {
	x, y := w.random.Float64(), w.random.Float64()
	for _, l := range lengths {
		if x < l.share {
			return int64(float64(l.low) * math.Pow(float64(l.high)/float64(l.low), y))
		}
		x -= l.share
	}
	return lengths[len(lengths)-1].high
}
