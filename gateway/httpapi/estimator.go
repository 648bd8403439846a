package httpapi

import "sync"

const (
	// initialBytesPerToken is the typical ratio for English text.
	initialBytesPerToken = 4.0
	// ratioSmoothing is the weight of one request in the moving average. The ratio
	// converges within a few dozen requests and still follows changing traffic.
	ratioSmoothing = 0.1
	// minBytesPerToken and maxBytesPerToken limit the effect of a wrong token
	// count from an engine.
	minBytesPerToken = 1.0
	maxBytesPerToken = 16.0
)

// estimator estimates token counts from body sizes, using a moving average of the
// bytes per token of each model. The zero value is ready to use.
type estimator struct {
	mu     sync.Mutex
	ratios map[string]float64
}

func (e *estimator) estimate(model string, bodyBytes int) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	ratio, ok := e.ratios[model]
	if !ok {
		ratio = initialBytesPerToken
	}
	return max(int64(float64(bodyBytes)/ratio), 1)
}

// update adjusts the ratio of a model using the token count that an engine reported.
// The map does not grow without limit, because only configured models are used.
func (e *estimator) update(model string, bodyBytes int, tokens int64) {
	if tokens <= 0 || bodyBytes == 0 {
		return
	}
	measured := min(max(float64(bodyBytes)/float64(tokens), minBytesPerToken), maxBytesPerToken)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ratios == nil {
		e.ratios = map[string]float64{}
	}
	old, ok := e.ratios[model]
	if !ok {
		old = initialBytesPerToken
	}
	e.ratios[model] = old + ratioSmoothing*(measured-old)
}
