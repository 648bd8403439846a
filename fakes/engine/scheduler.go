package engine

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"time"

	engineapi "siskinstand.example/adapters/engine"
	"siskinstand.example/fakes/server"
)

// sequence is one request inside the engine.
type sequence struct {
	attempt  string
	prompt   string
	blocks   []uint64
	seed     uint64
	priority int
	arrival  int64

	promptTokens int64
	position     int64
	resumed      int64
	length       int64
	reason       string
	reserved     int64
	prefillLeft  int64

	tokens    chan string
	broken    chan struct{}
	cancelled chan struct{}
}

// maxSamples bounds the history behind delayed load reports.
const maxSamples = 2048

// sampleInterval keeps the history long enough for a lag of several seconds.
const sampleInterval = 10 * time.Millisecond

// submit queues a sequence.
func (e *Engine) submit(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals++
	s.arrival = e.arrivals
	e.waiting = append(e.waiting, s)
	slices.SortFunc(e.waiting, order)
	if len(e.counters.Attempts) < maxAttempts {
		e.counters.Attempts[s.attempt]++
	}
	e.changed.Broadcast()
}

func order(a, b *sequence) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrival, b.arrival))
}

// run makes steps while there is work.
func (e *Engine) run() {
	for {
		e.mu.Lock()
		for !e.closed && (e.switches.Frozen || len(e.running)+len(e.waiting) == 0) {
			e.changed.Wait()
		}
		if e.closed {
			e.mu.Unlock()
			return
		}
		length := e.plan()
		e.mu.Unlock()
		time.Sleep(length)
		e.mu.Lock()
		if !e.switches.Frozen {
			e.finishStep()
		}
		e.mu.Unlock()
	}
}

// plan starts waiting sequences and returns the length of the next step.
func (e *Engine) plan() time.Duration {
	now := time.Now()
	e.sample(now)
	if now.Before(e.downUntil) || now.Before(e.readyAt) {
		return sampleInterval
	}
	e.start(now)
	if len(e.running) == 0 {
		return sampleInterval
	}
	prefill := min(e.pendingPrefill(), e.config.ChunkTokens)
	length := max(time.Duration(e.switches.TokenTime),
		time.Duration(prefill)*time.Second/time.Duration(e.switches.PrefillTokensPerSecond))
	if e.collapsed() {
		e.counters.CollapsedSteps++
		length *= time.Duration(e.switches.CollapseFactor)
	}
	return length
}

func (e *Engine) start(now time.Time) {
	for len(e.waiting) > 0 && len(e.running) < e.config.MaxBatch {
		s := e.waiting[0]
		if !e.memory.take(s.reserved, now) {
			return
		}
		e.waiting = e.waiting[1:]
		s.prefillLeft = max(1, s.promptTokens+s.position-e.memory.hit(s.blocks, now))
		e.running = append(e.running, s)
		slices.SortFunc(e.running, order)
		e.counters.Started++
		if marker := e.switches.CrashMarker; marker != "" && strings.Contains(s.prompt, marker) {
			e.crash()
			return
		}
	}
}

// collapsed reports whether a cold engine runs more than it can. A request that
// runs alone never collapses, or long prompts could never run on it.
func (e *Engine) collapsed() bool {
	return e.switches.Cold && len(e.running) > 1 && e.memory.running > e.switches.ColdTokens
}

func (e *Engine) pendingPrefill() int64 {
	var sum int64
	for _, s := range e.running {
		sum += s.prefillLeft
	}
	return sum
}

// finishStep applies one step: a chunk of prefill by priority, and one token
// for each sequence whose prefill was done before.
func (e *Engine) finishStep() {
	now := time.Now()
	budget := e.config.ChunkTokens
	for _, s := range slices.Clone(e.running) {
		if s.prefillLeft == 0 {
			e.emit(s, now)
			continue
		}
		part := min(budget, s.prefillLeft)
		s.prefillLeft -= part
		budget -= part
		if s.prefillLeft == 0 {
			e.emit(s, now)
		}
	}
	if e.switches.Cold && !e.collapsed() {
		e.warmed += e.config.ChunkTokens - budget
		if e.warmed >= e.switches.WarmAfterTokens {
			e.switches.Cold = false
		}
	}
}

func (e *Engine) emit(s *sequence, now time.Time) {
	if s.position < s.length {
		s.tokens <- token(s.seed, s.position)
		s.position++
	}
	if s.position < s.length {
		return
	}
	e.remove(s)
	e.counters.Completed++
	e.memory.keep(s.attempt, s.blocks, now)
	if e.switches.LeakTokens > 0 {
		e.memory.leak(s.attempt, e.switches.LeakTokens)
	}
	close(s.tokens)
}

// remove takes a sequence out and releases its memory. It reports whether the
// sequence was still inside.
func (e *Engine) remove(s *sequence) bool {
	if i := slices.Index(e.running, s); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.memory.running -= s.reserved
		return true
	}
	if i := slices.Index(e.waiting, s); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		return true
	}
	return false
}

// abandon removes a sequence whose client went away.
func (e *Engine) abandon(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.remove(s)
}

func (e *Engine) sample(now time.Time) {
	if n := len(e.samples); n > 0 && now.Sub(e.samples[n-1].MeasuredAt) < sampleInterval {
		return
	}
	e.samples = append(e.samples, e.measure(now))
	if len(e.samples) > maxSamples {
		e.samples = slices.Delete(e.samples, 0, maxSamples/2)
	}
}

func (e *Engine) measure(now time.Time) engineapi.Load {
	pending := e.pendingPrefill()
	for _, s := range e.waiting {
		pending += s.promptTokens
	}
	load := engineapi.Load{
		RunningRequests:      len(e.running),
		UsedTokens:           e.memory.fixed(now),
		PrefillTokensPerSec:  e.switches.PrefillTokensPerSecond,
		MeasuredAt:           now,
		PendingPrefillTokens: pending,
		CachedPrefixTokens:   e.memory.cached(),
		TotalTokens:          e.memory.total,
	}
	if e.switches.TokenTime > 0 {
		load.DecodeTokensPerSec = int64(time.Second / time.Duration(e.switches.TokenTime))
	}
	return load
}

func (e *Engine) loadHandler(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	lag := time.Duration(e.switches.LoadLag)
	report := engineapi.Load{MeasuredAt: now.Add(-lag), TotalTokens: e.memory.total, PrefillTokensPerSec: e.switches.PrefillTokensPerSecond}
	if lag == 0 {
		report = e.measure(now)
	}
	for _, s := range e.samples {
		if lag > 0 && now.Sub(s.MeasuredAt) >= lag {
			report = s
		}
	}
	e.mu.Unlock()
	server.WriteJSON(w, report)
}
