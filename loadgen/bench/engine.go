package bench

import (
	"slices"
	"time"
)

// engineConfig describes one engine. The default values match those of the fake
// engine, except for the memory, which is large enough for the longest prompt.
type engineConfig struct {
	memoryTokens int64
	maxBatch     int
	chunkTokens  int64
	// prefillRate is in tokens per second; stepTime is the duration of a step
	// without prefill. A step takes the sum of both times, in the fake engine the
	// longer one.
	prefillRate float64
	stepTime    time.Duration
	// A cold engine slows down by collapseFactor while more than one request is
	// running and their prompts and output so far exceed maxColdTokens in total. A
	// single request of any length runs at normal speed. The engine is warm after
	// warmAfterTokens of prefill. The fake engine does the same, but it counts the
	// reserved tokens and only the prefill of steps without a slowdown.
	maxColdTokens   int64
	warmAfterTokens int64
	collapseFactor  float64
}

func defaultEngine() engineConfig {
	return engineConfig{
		memoryTokens: 1_100_000, maxBatch: 64, chunkTokens: 2_048,
		prefillRate: 200_000, stepTime: 5 * time.Millisecond,
		maxColdTokens: 16_000, warmAfterTokens: 100_000, collapseFactor: 50,
	}
}

// busyPrefillRate returns the prompt tokens per second of an engine that
// prefills a full chunk in every step.
func (c engineConfig) busyPrefillRate() float64 {
	return float64(c.chunkTokens) / c.busyStep().Seconds()
}

// busyStep returns the duration of a step that prefills a full chunk.
func (c engineConfig) busyStep() time.Duration {
	return c.stepTime + time.Duration(float64(c.chunkTokens)/c.prefillRate*float64(time.Second))
}

// job is one request attempt that runs on an engine.
type job struct {
	request      *request
	priority     int
	onFirstToken func()
	onDone       func()

	sequence        uint64
	remainingPrompt int64
	outputTokens    int64
	reservedTokens  int64
	ended           bool
}

// engine models an inference engine with continuous batching, chunked prefill in
// priority order, memory counted in tokens, and a prefix cache.
type engine struct {
	clock  *clock
	config engineConfig
	zone   string
	name   string

	waiting, running []*job
	reservedTokens   int64
	cache            prefixCache
	stepping         bool
	submitted        uint64

	cold            bool
	warmupTokens    int64
	collapsedSteps  int
	prefilledTokens int64
}

func newEngine(c *clock, name, zone string, config engineConfig) *engine {
	return &engine{clock: c, config: config, name: name, zone: zone, cache: prefixCache{limit: config.memoryTokens / 8}}
}

// submit adds a job to the waiting queue, ordered by priority and arrival.
func (e *engine) submit(j *job) {
	e.submitted++
	j.sequence = e.submitted
	j.remainingPrompt = j.request.promptTokens
	j.reservedTokens = j.request.promptTokens + j.request.outputLimit
	at, _ := slices.BinarySearchFunc(e.waiting, j, compareJobs)
	e.waiting = slices.Insert(e.waiting, at, j)
	e.startStepping()
}

// remove takes a job out of the queue or the batch without calling onDone.
func (e *engine) remove(j *job) {
	if j.ended {
		return
	}
	j.ended = true
	e.waiting = slices.DeleteFunc(e.waiting, func(o *job) bool { return o == j })
	if at := slices.Index(e.running, j); at >= 0 {
		e.running = slices.Delete(e.running, at, at+1)
		e.reservedTokens -= j.reservedTokens
	}
}

func compareJobs(a, b *job) int {
	if a.priority != b.priority {
		return a.priority - b.priority
	}
	if a.sequence < b.sequence {
		return -1
	}
	return 1
}

// admitWaiting moves jobs from the waiting queue to the batch while memory and
// maxBatch allow.
func (e *engine) admitWaiting() {
	for len(e.waiting) > 0 && len(e.running) < e.config.maxBatch {
		j := e.waiting[0]
		if !e.cache.makeRoom(e.config.memoryTokens-e.reservedTokens, j.reservedTokens) {
			return
		}
		e.waiting = e.waiting[1:]
		j.remainingPrompt -= e.cache.lookup(j.request)
		e.reservedTokens += j.reservedTokens
		at, _ := slices.BinarySearchFunc(e.running, j, compareJobs)
		e.running = slices.Insert(e.running, at, j)
	}
}

func (e *engine) startStepping() {
	if !e.stepping {
		e.stepping = true
		e.clock.after(0, e.step)
	}
}

// step schedules one batch step, whose effects apply when its duration has
// passed.
func (e *engine) step() {
	e.admitWaiting()
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	left := e.config.chunkTokens
	parts := make([]int64, len(e.running))
	for i, j := range e.running {
		parts[i] = min(j.remainingPrompt, left)
		left -= parts[i]
	}
	duration := e.config.stepTime + time.Duration(float64(e.config.chunkTokens-left)/e.config.prefillRate*float64(time.Second))
	if e.cold && len(e.running) > 1 && e.runningTokens() > e.config.maxColdTokens {
		e.collapsedSteps++
		duration = time.Duration(float64(duration) * e.config.collapseFactor)
	}
	batch := slices.Clone(e.running)
	e.clock.after(duration, func() { e.applyStep(batch, parts) })
}

// runningTokens returns the prompt tokens of the running jobs and their output
// tokens so far.
func (e *engine) runningTokens() int64 {
	var sum int64
	for _, j := range e.running {
		sum += j.request.promptTokens + j.outputTokens
	}
	return sum
}

func (e *engine) applyStep(batch []*job, parts []int64) {
	for i, j := range batch {
		if j.ended {
			continue
		}
		e.prefilledTokens += parts[i]
		e.recordWarmup(parts[i])
		j.remainingPrompt -= parts[i]
		if j.remainingPrompt > 0 {
			continue
		}
		j.outputTokens++
		if j.outputTokens == 1 {
			e.cache.store(j.request)
			j.onFirstToken()
		}
		if j.outputTokens >= j.request.outputTokens && !j.ended {
			e.remove(j)
			j.onDone()
		}
	}
	e.step()
}

func (e *engine) recordWarmup(tokens int64) {
	if !e.cold {
		return
	}
	e.warmupTokens += tokens
	e.cold = e.warmupTokens < e.config.warmAfterTokens
}

// restart drops all jobs and the cache and marks the engine cold.
func (e *engine) restart() {
	for _, j := range slices.Concat(e.waiting, e.running) {
		j.ended = true
	}
	e.waiting, e.running, e.reservedTokens = nil, nil, 0
	e.cache = prefixCache{limit: e.cache.limit}
	e.cold, e.warmupTokens = true, 0
}

// prefixCache is an LRU cache of shared prompt prefixes, least recently used
// first.
type prefixCache struct {
	limit   int64
	tokens  int64
	entries []prefix
}

type prefix struct {
	id     uint64
	tokens int64
}

// lookup returns the number of the request's prompt tokens that are cached, at
// most all but one, and marks the prefix as most recently used.
func (c *prefixCache) lookup(r *request) int64 {
	for i, p := range c.entries {
		if p.id == r.prefixID {
			c.entries = append(slices.Delete(c.entries, i, i+1), p)
			return min(p.tokens, r.promptTokens-1)
		}
	}
	return 0
}

func (c *prefixCache) store(r *request) {
	if c.lookup(r) > 0 {
		return
	}
	c.entries = append(c.entries, prefix{id: r.prefixID, tokens: r.prefixTokens})
	c.tokens += r.prefixTokens
	c.makeRoom(c.limit, 0)
}

// makeRoom evicts prefixes until the cache and need together fit into free
// tokens. It reports whether they fit.
func (c *prefixCache) makeRoom(free, need int64) bool {
	for c.tokens+need > free && len(c.entries) > 0 {
		c.tokens -= c.entries[0].tokens
		c.entries = c.entries[1:]
	}
	return c.tokens+need <= free
}
