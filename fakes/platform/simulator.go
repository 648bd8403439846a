package platform

import "time"

// EngineSimulator computes the timing of a replica in virtual time: how long it
// takes to prefill prompts and to decode events. It follows the platform's
// documentation and the observed behaviour of the users' benchmark rather than
// this project's cost model, so that tests can check that model against it.
type EngineSimulator struct {
	StepTime           time.Duration
	StepTimePerRequest time.Duration
	// StepNanosPerContextToken is the time that each token of context adds to a
	// step. NanosPerTokenPair is the prefill time for each pair of a token and an
	// earlier one. Both are in nanoseconds.
	StepNanosPerContextToken, NanosPerTokenPair float64
	PrefillTokensPerSecond                      float64
	PrefillChunkTokens, StepsPerPass            int
}

// PromptArrival is a prompt that arrives at a replica.
type PromptArrival struct {
	At           time.Duration
	PromptTokens int
	// Events is the number of response events; each takes one pass to decode.
	Events int
}

type simulatedRequest struct {
	PromptArrival
	prefilledTokens int
	// firstEventAt is 0 until the first event.
	firstEventAt time.Duration
	eventsLeft   int
}

// TimesToFirstEvent returns the time from arrival to the first event of each
// prompt. The prompts must be in order of arrival. They are prefilled one after
// the other; a pass of a replica that decodes has StepsPerPass steps, and each
// step prefills at most one chunk.
func (e EngineSimulator) TimesToFirstEvent(arrivals []PromptArrival) []time.Duration {
	requests := make([]*simulatedRequest, len(arrivals))
	for i, a := range arrivals {
		requests[i] = &simulatedRequest{PromptArrival: a, eventsLeft: a.Events}
	}
	for now := time.Duration(0); ; {
		decoders, contextTokens := e.decodeLoad(requests)
		prefilling := e.nextPrefill(requests, now)
		switch {
		case decoders > 0:
			now += e.runPass(requests, now, decoders, contextTokens)
		case prefilling != nil:
			now += e.prefillChunk(prefilling)
			if prefilling.prefilledTokens == prefilling.PromptTokens {
				now += e.passTime(1, prefilling.PromptTokens)
				e.emitEvent(prefilling, now)
			}
		default:
			next, found := e.nextArrival(requests, now)
			if !found {
				times := make([]time.Duration, len(requests))
				for i, r := range requests {
					times[i] = r.firstEventAt - r.At
				}
				return times
			}
			now = next
		}
	}
}

// decodeLoad returns the number of decoding requests and the sum of their contexts.
func (e EngineSimulator) decodeLoad(requests []*simulatedRequest) (decoders, contextTokens int) {
	for _, r := range requests {
		if r.firstEventAt > 0 && r.eventsLeft > 0 {
			decoders++
			contextTokens += r.PromptTokens
		}
	}
	return decoders, contextTokens
}

// nextPrefill returns the first request that has arrived and is not completely
// prefilled, or nil.
func (e EngineSimulator) nextPrefill(requests []*simulatedRequest, now time.Duration) *simulatedRequest {
	for _, r := range requests {
		if r.At <= now && r.prefilledTokens < r.PromptTokens {
			return r
		}
	}
	return nil
}

// nextArrival returns the time of the next arrival after now, if there is one.
func (e EngineSimulator) nextArrival(requests []*simulatedRequest, now time.Duration) (time.Duration, bool) {
	for _, r := range requests {
		if r.At > now {
			return r.At, true
		}
	}
	return 0, false
}

// prefillChunk prefills the next chunk of a prompt and returns the time it takes.
func (e EngineSimulator) prefillChunk(r *simulatedRequest) time.Duration {
	n := min(e.PrefillChunkTokens, r.PromptTokens-r.prefilledTokens)
	pairs := float64(n) * (float64(r.prefilledTokens) + float64(n)/2)
	r.prefilledTokens += n
	return time.Duration(float64(n)/e.PrefillTokensPerSecond*float64(time.Second) + pairs*e.NanosPerTokenPair)
}

// passTime returns the duration of a pass without prefill.
func (e EngineSimulator) passTime(decoders, contextTokens int) time.Duration {
	step := e.StepTime + time.Duration(decoders)*e.StepTimePerRequest + time.Duration(float64(contextTokens)*e.StepNanosPerContextToken)
	return time.Duration(e.StepsPerPass) * step
}

func (e EngineSimulator) emitEvent(r *simulatedRequest, now time.Duration) {
	if r.firstEventAt == 0 {
		r.firstEventAt = now
	}
	r.eventsLeft--
}

// runPass runs one pass and returns its duration. Each decoding request gets an
// event at the end of the pass. Its steps also prefill, including prompts that
// arrive during the pass; a prompt whose prefill ends within a pass is decoded
// from the next pass on.
func (e EngineSimulator) runPass(requests []*simulatedRequest, now time.Duration, decoders, contextTokens int) time.Duration {
	step := e.passTime(decoders, contextTokens) / time.Duration(e.StepsPerPass)
	var decoding []*simulatedRequest
	for _, r := range requests {
		if r.eventsLeft > 0 && (r.firstEventAt > 0 || r.PromptTokens == r.prefilledTokens && r.At <= now) {
			decoding = append(decoding, r)
		}
	}
	took := time.Duration(0)
	for range e.StepsPerPass {
		took += step
		if r := e.nextPrefill(requests, now+took); r != nil {
			took += e.prefillChunk(r)
		}
	}
	for _, r := range decoding {
		e.emitEvent(r, now+took)
	}
	return took
}
