// Package placement decides which replica answers a prompt and which replicas
// help to read it. The cost model takes the speeds that the configuration states.
// Times are readings of a clock that counts while the host is suspended.
package placement

import (
	"math"
	"time"

	"siskinstand.example/coord/catalog"
)

// Model predicts the times of one service's replicas.
type Model struct{ engine catalog.Engine }

// NewModel returns the model for an engine.
func NewModel(e catalog.Engine) Model { return Model{engine: e} }

// PartPrefill returns the reading time of one of several even parts of a prompt at a
// replica without writers. Each part has its share of the pairs of the whole prompt.
func (m Model) PartPrefill(prompt, parts int) time.Duration {
	tokens := float64(prompt) / float64(parts)
	pairs := float64(prompt) * float64(prompt) / 2 / float64(parts)
	return time.Duration(tokens/m.engine.PrefillTokensPerSecond*float64(time.Second) + pairs*m.engine.NanosPerTokenPair)
}

// PassTime returns the time of one pass of a replica with writers.
func (m Model) PassTime(writers, context int) time.Duration {
	step := m.engine.StepTime + time.Duration(writers)*m.engine.StepTimePerRequest + time.Duration(float64(context)*m.engine.StepNanosPerContextToken)
	return time.Duration(m.engine.StepsPerPass) * step
}

// TimeToFirstEvent returns the time until a replica has read a part that comes after
// the work ahead of it and has written the first event. Reading goes on inside
// the passes of the writers, up to one chunk a step, and makes them longer.
func (m Model) TimeToFirstEvent(part, ahead time.Duration, writers, context int) time.Duration {
	pass := m.PassTime(writers+1, context)
	t := part + ahead + pass
	if writers == 0 {
		return t
	}
	// What arrives waits for half a pass on average, and more passes begin where
	// one does not take all the tokens.
	passTokens := float64(m.engine.PrefillChunkTokens * m.engine.StepsPerPass)
	extra := math.Floor((part + ahead).Seconds() * m.engine.PrefillTokensPerSecond / passTokens)
	return t + time.Duration((0.5+extra)*float64(pass))
}
