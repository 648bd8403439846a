package platform

import (
	"fmt"
	"testing"
	"time"

	"siskinstand.example/coord/catalog"
	"siskinstand.example/coord/placement"
	"siskinstand.example/coord/placement/placementtest"
)

// standIn is a replica whose speeds are multiples of the usual ones.
func standIn(c catalog.Engine) Engine {
	return Engine{
		Step: c.StepTime, PerRequest: c.StepTimePerRequest, PerContext: c.StepNanosPerContextToken, PerPair: c.NanosPerTokenPair, ReadPerSecond: c.PrefillTokensPerSecond, Chunk: c.PrefillChunkTokens, Stride: c.StepsPerPass,
	}
}

func TestModelAtOtherSpeeds(t *testing.T) {
	// Guards against a cost that holds for the users' engines only, where the
	// speed of reading, of a step, the chunk or the stride differ.
	engines := map[string]func(*catalog.Engine){
		"usual":        func(*catalog.Engine) {},
		"slow reading": func(e *catalog.Engine) { e.PrefillTokensPerSecond /= 4 },
		"slow pairs":   func(e *catalog.Engine) { e.NanosPerTokenPair *= 3 },
		"slow steps":   func(e *catalog.Engine) { e.StepTime *= 3 },
		"long passes":  func(e *catalog.Engine) { e.StepsPerPass *= 2 },
		"large chunks": func(e *catalog.Engine) { e.PrefillChunkTokens *= 4 },
	}
	for name, change := range engines {
		t.Run(name, func(t *testing.T) {
			e := placementtest.Engine()
			change(&e)
			model := placement.NewModel(e)
			for _, prompt := range []int{2_000, 20_000, 200_000} {
				free := standIn(e).FirstEvents([]Work{{Prompt: prompt, Events: 5}})[0]
				placementtest.CheckWithin(t, fmt.Sprintf("%d tokens at a free replica", prompt), model.TimeToFirstEvent(model.PartPrefill(prompt, 1), 0, 0, prompt), free, free/10)
			}
			for _, prompt := range []int{2_000, 20_000, 60_000} {
				beside := besideWriters(standIn(e), prompt)
				placementtest.CheckWithin(t, fmt.Sprintf("%d tokens beside 6 writers", prompt), model.TimeToFirstEvent(model.PartPrefill(prompt, 1), 0, 6, 6*writerPrompt+prompt), beside, beside*3/10)
			}
		})
	}
}

// writerPrompt is the context of each writer beside which a prompt is read.
const writerPrompt = 5_000

// besideWriters returns the mean time to the first event of a prompt that
// arrives at any moment of a pass of six writers.
func besideWriters(e Engine, prompt int) time.Duration {
	const writers, moments = 6, 20
	var sum time.Duration
	for i := range moments {
		work := make([]Work, writers, writers+1)
		for w := range work {
			work[w] = Work{Prompt: writerPrompt, Events: 1000}
		}
		began := e.FirstEvents(work)[writers-1]
		at := began + time.Second + time.Duration(i)*time.Second/moments
		firsts := e.FirstEvents(append(work, Work{At: at, Prompt: prompt, Events: 5}))
		sum += firsts[writers]
	}
	return sum / moments
}
