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

// sequence is a request that the engine has queued or runs.
type sequence struct {
	attemptID string
	prompt    string
	blocks    []uint64
	seed      uint64
	priority  int
	arrival   int64

	promptTokens int64
	// nextPosition is the index of the next output token.
	nextPosition int64
	// resumedTokens is the number of output tokens in the request's resume_text,
	// which are not generated again.
	resumedTokens    int64
	outputTokens     int64
	finishReason     string
	reservedTokens   int64
	prefillRemaining int64

	// tokens is closed after the last token.
	tokens chan string
	// aborted is closed when the engine crashes or stops.
	aborted chan struct{}
	// cancelled is closed when a client cancels the attempt.
	cancelled chan struct{}
}

// maxLoadSamples limits the history of load samples, from which delayed load
// reports are served.
const maxLoadSamples = 2048

// loadSampleInterval is the minimum time between load samples. With it, the
// history covers a lag of several seconds.
const loadSampleInterval = 10 * time.Millisecond

// submit adds a sequence to the waiting queue.
func (e *Engine) submit(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals++
	s.arrival = e.arrivals
	e.waiting = append(e.waiting, s)
	slices.SortFunc(e.waiting, compareSchedulingOrder)
	if len(e.counters.Attempts) < maxCountedAttempts {
		e.counters.Attempts[s.attemptID]++
	}
	e.changed.Broadcast()
}

// compareSchedulingOrder orders by priority, lower values first, then by arrival.
func compareSchedulingOrder(a, b *sequence) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrival, b.arrival))
}

// runSteps executes steps while there are requests, until the engine is closed.
func (e *Engine) runSteps() {
	for {
		e.mu.Lock()
		for !e.closed && (e.switches.Frozen || len(e.running)+len(e.waiting) == 0) {
			e.changed.Wait()
		}
		if e.closed {
			e.mu.Unlock()
			return
		}
		stepTime := e.planStep()
		e.mu.Unlock()
		time.Sleep(stepTime)
		e.mu.Lock()
		if !e.switches.Frozen {
			e.finishStep()
		}
		e.mu.Unlock()
	}
}

// planStep admits waiting sequences and returns the duration of the next step.
// While the engine is down or loads a model, it admits none and returns
// loadSampleInterval, as it does if nothing runs.
func (e *Engine) planStep() time.Duration {
	now := time.Now()
	e.recordLoadSample(now)
	if now.Before(e.downUntil) || now.Before(e.readyAt) {
		return loadSampleInterval
	}
	e.admitWaiting(now)
	if len(e.running) == 0 {
		return loadSampleInterval
	}
	prefill := min(e.pendingPrefill(), e.config.ChunkTokens)
	stepTime := max(time.Duration(e.switches.TokenTime),
		time.Duration(prefill)*time.Second/time.Duration(e.switches.PrefillTokensPerSecond))
	if e.isCollapsed() {
		e.counters.CollapsedSteps++
		stepTime *= time.Duration(e.switches.CollapseFactor)
	}
	return stepTime
}

func (e *Engine) admitWaiting(now time.Time) {
	for len(e.waiting) > 0 && len(e.running) < e.config.MaxBatch {
		s := e.waiting[0]
		if !e.memory.reserve(s.reservedTokens, now) {
			return
		}
		e.waiting = e.waiting[1:]
		s.prefillRemaining = max(1, s.promptTokens+s.nextPosition-e.memory.cachedPrefixTokens(s.blocks, now))
		e.running = append(e.running, s)
		slices.SortFunc(e.running, compareSchedulingOrder)
		e.counters.Started++
		if marker := e.switches.CrashMarker; marker != "" && strings.Contains(s.prompt, marker) {
			e.crash()
			return
		}
	}
}

// isCollapsed reports whether the engine is cold and its running requests exceed
// ColdTokens. A request that runs alone never causes a collapse, because
// otherwise a cold engine would run every long prompt at collapsed speed.
func (e *Engine) isCollapsed() bool {
	return e.switches.Cold && len(e.running) > 1 && e.memory.runningTokens > e.switches.ColdTokens
}

func (e *Engine) pendingPrefill() int64 {
	var sum int64
	for _, s := range e.running {
		sum += s.prefillRemaining
	}
	return sum
}

// finishStep applies the results of one step: up to ChunkTokens of prefill in
// scheduling order, and one output token for each sequence whose prefill is
// complete.
func (e *Engine) finishStep() {
	now := time.Now()
	budget := e.config.ChunkTokens
	for _, s := range slices.Clone(e.running) {
		if s.prefillRemaining == 0 {
			e.emitToken(s, now)
			continue
		}
		chunk := min(budget, s.prefillRemaining)
		s.prefillRemaining -= chunk
		budget -= chunk
		if s.prefillRemaining == 0 {
			e.emitToken(s, now)
		}
	}
	if e.switches.Cold && !e.isCollapsed() {
		e.warmupTokens += e.config.ChunkTokens - budget
		if e.warmupTokens >= e.switches.WarmAfterTokens {
			e.switches.Cold = false
		}
	}
}

// emitToken sends the next output token of a sequence. After the last one it
// removes the sequence, caches its prompt and simulates the leak of LeakTokens.
func (e *Engine) emitToken(s *sequence, now time.Time) {
	if s.nextPosition < s.outputTokens {
		s.tokens <- outputToken(s.seed, s.nextPosition)
		s.nextPosition++
	}
	if s.nextPosition < s.outputTokens {
		return
	}
	e.remove(s)
	e.counters.Completed++
	e.memory.cachePrompt(s.attemptID, s.blocks, now)
	if e.switches.LeakTokens > 0 {
		e.memory.addLeak(s.attemptID, e.switches.LeakTokens)
	}
	close(s.tokens)
}

// remove removes a sequence from the engine and releases its memory. It reports
// whether the sequence was still queued or running.
func (e *Engine) remove(s *sequence) bool {
	if i := slices.Index(e.running, s); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.memory.runningTokens -= s.reservedTokens
		return true
	}
	if i := slices.Index(e.waiting, s); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		return true
	}
	return false
}

// abandon removes a sequence whose response has ended, if it is still in the
// engine; the client may have disconnected.
func (e *Engine) abandon(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.remove(s)
}

func (e *Engine) recordLoadSample(now time.Time) {
	if n := len(e.loadSamples); n > 0 && now.Sub(e.loadSamples[n-1].MeasuredAt) < loadSampleInterval {
		return
	}
	e.loadSamples = append(e.loadSamples, e.currentLoad(now))
	if len(e.loadSamples) > maxLoadSamples {
		e.loadSamples = slices.Delete(e.loadSamples, 0, maxLoadSamples/2)
	}
}

func (e *Engine) currentLoad(now time.Time) engineapi.Load {
	pending := e.pendingPrefill()
	for _, s := range e.waiting {
		pending += s.promptTokens
	}
	load := engineapi.Load{
		RunningRequests:      len(e.running),
		UsedTokens:           e.memory.unevictableTokens(now),
		PrefillTokensPerSec:  e.switches.PrefillTokensPerSecond,
		MeasuredAt:           now,
		PendingPrefillTokens: pending,
		CachedPrefixTokens:   e.memory.cachedTokens(),
		TotalTokens:          e.memory.totalTokens,
	}
	if e.switches.TokenTime > 0 {
		load.DecodeTokensPerSec = int64(time.Second / time.Duration(e.switches.TokenTime))
	}
	return load
}

// loadHandler reports the current load or, with a LoadLag, the newest sample that
// is at least that old. Without such a sample it reports an idle engine.
func (e *Engine) loadHandler(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	lag := time.Duration(e.switches.LoadLag)
	report := engineapi.Load{MeasuredAt: now.Add(-lag), TotalTokens: e.memory.totalTokens, PrefillTokensPerSec: e.switches.PrefillTokensPerSecond}
	if lag == 0 {
		report = e.currentLoad(now)
	}
	for _, s := range e.loadSamples {
		if lag > 0 && now.Sub(s.MeasuredAt) >= lag {
			report = s
		}
	}
	e.mu.Unlock()
	server.WriteJSON(w, report)
}
