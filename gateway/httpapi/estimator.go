package httpapi

import "sync"

const (
	// firstBytesPerToken is the usual ratio of English text.
	firstBytesPerToken = 4.0
	// learnShare is the weight of one request; the ratio settles after a few
	// dozen requests and still follows a change of traffic.
	learnShare = 0.1
	// minBytesPerToken and maxBytesPerToken bound the ratio against a faulty
	// count of an engine.
	minBytesPerToken = 1.0
	maxBytesPerToken = 16.0
)

// estimator keeps the bytes per token of each model. The zero value is ready.
type estimator struct {
	mu     sync.Mutex
	ratios map[string]float64
}

func (e *estimator) tokens(model string, size int) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	ratio, ok := e.ratios[model]
	if !ok {
		ratio = firstBytesPerToken
	}
	return max(int64(float64(size)/ratio), 1)
}

// learn corrects the ratio by an engine's own count. Models are those of the
// configuration, so their number is bounded.
func (e *estimator) learn(model string, size int, tokens int64) {
	if tokens <= 0 || size == 0 {
		return
	}
	measured := min(max(float64(size)/float64(tokens), minBytesPerToken), maxBytesPerToken)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ratios == nil {
		e.ratios = map[string]float64{}
	}
	old, ok := e.ratios[model]
	if !ok {
		old = firstBytesPerToken
	}
	e.ratios[model] = old + learnShare*(measured-old)
}
