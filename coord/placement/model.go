// Package placement decides which replica serves a prompt and which replicas
// help to prefill it. The cost model uses the engine speeds from the
// configuration. Times are readings of a clock that keeps counting while the
// host is suspended.
package placement

import (
	"math"
	"time"

	"siskinstand.example/coord/catalog"
)

// Model predicts the latencies of one service's replicas.
type Model struct{ engine catalog.Engine }

// NewModel returns the cost model of an engine.
func NewModel(e catalog.Engine) Model { return Model{engine: e} }

// PartPrefill returns the prefill time of one of several equal parts of a
// prompt at a replica that is not decoding. The attention cost, which grows
// with the token pairs of the whole prompt, is shared equally by the parts.
func (m Model) PartPrefill(prompt, parts int) time.Duration {
	tokens := float64(prompt) / float64(parts)
	pairs := float64(prompt) * float64(prompt) / 2 / float64(parts)
	return time.Duration(tokens/m.engine.PrefillTokensPerSecond*float64(time.Second) + pairs*m.engine.NanosPerTokenPair)
}

// PassTime returns the time of one pass of a replica that decodes the given
// number of streams with the given total of context tokens.
func (m Model) PassTime(streams, context int) time.Duration {
	step := m.engine.StepTime + time.Duration(streams)*m.engine.StepTimePerRequest + time.Duration(float64(context)*m.engine.StepNanosPerContextToken)
	return time.Duration(m.engine.StepsPerPass) * step
}

// TimeToFirstEvent predicts the time until a replica has finished the work
// ahead, prefilled a part and emitted the first event. Prefill runs inside the
// decode passes, up to one chunk a step, and makes them longer.
func (m Model) TimeToFirstEvent(part, ahead time.Duration, streams, context int) time.Duration {
	pass := m.PassTime(streams+1, context)
	t := part + ahead + pass
	if streams == 0 {
		return t
	}
	// A new prompt waits for half a pass on average, and needs further passes
	// if its tokens and those ahead do not fit into one.
	passTokens := float64(m.engine.PrefillChunkTokens * m.engine.StepsPerPass)
	extra := math.Floor((part + ahead).Seconds() * m.engine.PrefillTokensPerSecond / passTokens)
	return t + time.Duration((0.5+extra)*float64(pass))
}
