package platform

import (
	"fmt"
	"testing"
	"time"

	"siskinstand.example/coord/catalog"
	"siskinstand.example/coord/placement"
	"siskinstand.example/coord/placement/placementtest"
)

// newSimulator returns a simulator with the speeds of an engine configuration.
func newSimulator(c catalog.Engine) EngineSimulator {
	return EngineSimulator{
		StepTime: c.StepTime, StepTimePerRequest: c.StepTimePerRequest, StepNanosPerContextToken: c.StepNanosPerContextToken, NanosPerTokenPair: c.NanosPerTokenPair, PrefillTokensPerSecond: c.PrefillTokensPerSecond, PrefillChunkTokens: c.PrefillChunkTokens, StepsPerPass: c.StepsPerPass,
	}
}

func TestModelAtOtherSpeeds(t *testing.T) {
	// Guards against a cost model that is accurate only for the users' engines, and
	// not for other prefill speeds, step times, chunk sizes or steps per pass.
	engines := map[string]func(*catalog.Engine){
		"usual":        func(*catalog.Engine) {},
		"slow prefill": func(e *catalog.Engine) { e.PrefillTokensPerSecond /= 4 },
		"slow pairs":   func(e *catalog.Engine) { e.NanosPerTokenPair *= 3 },
		"slow steps":   func(e *catalog.Engine) { e.StepTime *= 3 },
		"long passes":  func(e *catalog.Engine) { e.StepsPerPass *= 2 },
		"large chunks": func(e *catalog.Engine) { e.PrefillChunkTokens *= 4 },
	}
	for name, modify := range engines {
		t.Run(name, func(t *testing.T) {
			e := placementtest.Engine()
			modify(&e)
			model := placement.NewModel(e)
			for _, prompt := range []int{2_000, 20_000, 200_000} {
				idle := newSimulator(e).TimesToFirstEvent([]PromptArrival{{PromptTokens: prompt, Events: 5}})[0]
				placementtest.CheckWithin(t, fmt.Sprintf("%d tokens at an idle replica", prompt), model.TimeToFirstEvent(model.PartPrefill(prompt, 1), 0, 0, prompt), idle, idle/10)
			}
			for _, prompt := range []int{2_000, 20_000, 60_000} {
				busy := meanTimeBesideDecoders(newSimulator(e), prompt)
				placementtest.CheckWithin(t, fmt.Sprintf("%d tokens beside 6 decoding requests", prompt), model.TimeToFirstEvent(model.PartPrefill(prompt, 1), 0, 6, 6*decoderContextTokens+prompt), busy, busy*3/10)
			}
		})
	}
}

// decoderContextTokens is the context of each request that decodes while a prompt
// is prefilled.
const decoderContextTokens = 5_000

// meanTimeBesideDecoders returns the mean time to the first event of a prompt that
// arrives while six requests decode, over arrivals spread across a second.
func meanTimeBesideDecoders(e EngineSimulator, prompt int) time.Duration {
	const decoders, samples = 6, 20
	var sum time.Duration
	for i := range samples {
		arrivals := make([]PromptArrival, decoders, decoders+1)
		for d := range arrivals {
			arrivals[d] = PromptArrival{PromptTokens: decoderContextTokens, Events: 1000}
		}
		decodeStart := e.TimesToFirstEvent(arrivals)[decoders-1]
		at := decodeStart + time.Second + time.Duration(i)*time.Second/samples
		times := e.TimesToFirstEvent(append(arrivals, PromptArrival{At: at, PromptTokens: prompt, Events: 5}))
		sum += times[decoders]
	}
	return sum / samples
}
