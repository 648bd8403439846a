package bench

import (
	"slices"
	"time"
)

// engineConfig describes one engine. The figures match those of the fake
// engine, except for the memory, which holds the longest prompt.
type engineConfig struct {
	memoryTokens int64
	maxBatch     int
	chunkTokens  int64
	// prefillRate is in tokens a second without decoding; stepTime is the
	// length of a step without prefill.
	prefillRate float64
	stepTime    time.Duration
	// A cold engine collapses while it runs more than coldTokens in more than one
	// request, as the fake engine does, and is warm after warmAfter tokens of
	// prefill. It can run one request of any length.
	coldTokens     int64
	warmAfter      int64
	collapseFactor float64
}

func defaultEngine() engineConfig {
	return engineConfig{
		memoryTokens: 1_100_000, maxBatch: 64, chunkTokens: 2_048,
		prefillRate: 200_000, stepTime: 5 * time.Millisecond,
		coldTokens: 16_000, warmAfter: 100_000, collapseFactor: 50,
	}
}

// busyPrefillRate is the prompt tokens a second of an engine that prefills a
// whole chunk in every step.
func (c engineConfig) busyPrefillRate() float64 {
	return float64(c.chunkTokens) / c.busyStep().Seconds()
}

// busyStep is the length of a step with a whole chunk.
func (c engineConfig) busyStep() time.Duration {
	return c.stepTime + time.Duration(float64(c.chunkTokens)/c.prefillRate*float64(time.Second))
}

// job is one attempt in an engine.
type job struct {
	request  *request
	priority int
	first    func()
	done     func()

	order     uint64
	remaining int64
	produced  int64
	reserved  int64
	ended     bool
}

// engine is the model: continuous batching, chunked prefill by priority,
// memory in tokens and a prefix cache.
type engine struct {
	clock  *clock
	config engineConfig
	zone   string
	name   string

	waiting, running []*job
	used             int64
	cache            prefixCache
	stepping         bool
	order            uint64

	cold           bool
	warmed         int64
	collapsedSteps int
	prefilled      int64
}

func newEngine(c *clock, name, zone string, config engineConfig) *engine {
	return &engine{clock: c, config: config, name: name, zone: zone, cache: prefixCache{limit: config.memoryTokens / 8}}
}

// submit queues a job inside the engine.
func (e *engine) submit(j *job) {
	e.order++
	j.order = e.order
	j.remaining = j.request.prompt
	j.reserved = j.request.prompt + j.request.bound
	at, _ := slices.BinarySearchFunc(e.waiting, j, compareJobs)
	e.waiting = slices.Insert(e.waiting, at, j)
	e.wake()
}

// cancel removes a job without calling it back.
func (e *engine) cancel(j *job) {
	if j.ended {
		return
	}
	j.ended = true
	e.waiting = slices.DeleteFunc(e.waiting, func(o *job) bool { return o == j })
	if at := slices.Index(e.running, j); at >= 0 {
		e.running = slices.Delete(e.running, at, at+1)
		e.used -= j.reserved
	}
}

func compareJobs(a, b *job) int {
	if a.priority != b.priority {
		return a.priority - b.priority
	}
	if a.order < b.order {
		return -1
	}
	return 1
}

// start moves jobs from the waiting list to the batch while memory allows.
func (e *engine) start() {
	for len(e.waiting) > 0 && len(e.running) < e.config.maxBatch {
		j := e.waiting[0]
		if !e.cache.makeRoom(e.config.memoryTokens-e.used, j.reserved) {
			return
		}
		e.waiting = e.waiting[1:]
		j.remaining -= e.cache.hit(j.request)
		e.used += j.reserved
		at, _ := slices.BinarySearchFunc(e.running, j, compareJobs)
		e.running = slices.Insert(e.running, at, j)
	}
}

func (e *engine) wake() {
	if !e.stepping {
		e.stepping = true
		e.clock.after(0, e.step)
	}
}

// step plans one step of the batch and applies it when its time has passed.
func (e *engine) step() {
	e.start()
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	left := e.config.chunkTokens
	parts := make([]int64, len(e.running))
	for i, j := range e.running {
		parts[i] = min(j.remaining, left)
		left -= parts[i]
	}
	duration := e.config.stepTime + time.Duration(float64(e.config.chunkTokens-left)/e.config.prefillRate*float64(time.Second))
	if e.cold && len(e.running) > 1 && e.load() > e.config.coldTokens {
		e.collapsedSteps++
		duration = time.Duration(float64(duration) * e.config.collapseFactor)
	}
	batch := slices.Clone(e.running)
	e.clock.after(duration, func() { e.apply(batch, parts) })
}

// load is the tokens that the running jobs hold at present.
func (e *engine) load() int64 {
	var sum int64
	for _, j := range e.running {
		sum += j.request.prompt + j.produced
	}
	return sum
}

func (e *engine) apply(batch []*job, parts []int64) {
	for i, j := range batch {
		if j.ended {
			continue
		}
		e.prefilled += parts[i]
		e.warm(parts[i])
		j.remaining -= parts[i]
		if j.remaining > 0 {
			continue
		}
		j.produced++
		if j.produced == 1 {
			e.cache.store(j.request)
			j.first()
		}
		if j.produced >= j.request.output && !j.ended {
			e.cancel(j)
			j.done()
		}
	}
	e.step()
}

func (e *engine) warm(tokens int64) {
	if !e.cold {
		return
	}
	e.warmed += tokens
	e.cold = e.warmed < e.config.warmAfter
}

// restart empties the engine and makes it cold.
func (e *engine) restart() {
	for _, j := range slices.Concat(e.waiting, e.running) {
		j.ended = true
	}
	e.waiting, e.running, e.used = nil, nil, 0
	e.cache = prefixCache{limit: e.cache.limit}
	e.cold, e.warmed = true, 0
}

// prefixCache holds shared prompt starts, least recently used first.
type prefixCache struct {
	limit   int64
	tokens  int64
	entries []prefix
}

type prefix struct {
	family uint64
	tokens int64
}

// hit returns the tokens of the request that are cached.
func (c *prefixCache) hit(r *request) int64 {
	for i, p := range c.entries {
		if p.family == r.family {
			c.entries = append(slices.Delete(c.entries, i, i+1), p)
			return min(p.tokens, r.prompt-1)
		}
	}
	return 0
}

func (c *prefixCache) store(r *request) {
	if c.hit(r) > 0 {
		return
	}
	c.entries = append(c.entries, prefix{family: r.family, tokens: r.familyTokens})
	c.tokens += r.familyTokens
	c.makeRoom(c.limit, 0)
}

// makeRoom evicts prefixes until need fits beside them into free tokens. It
// reports whether it does.
func (c *prefixCache) makeRoom(free, need int64) bool {
	for c.tokens+need > free && len(c.entries) > 0 {
		c.tokens -= c.entries[0].tokens
		c.entries = c.entries[1:]
	}
	return c.tokens+need <= free
}
