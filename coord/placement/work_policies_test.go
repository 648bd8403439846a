package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"siskinstand.example/coord/cost"
	"siskinstand.example/coord/placement/placementtest"
)

// workJob is a short prompt of the comparison.
type workJob struct {
	Job
	host, replica     int
	decode, predicted time.Duration
	prefill           time.Duration
	// firstEvent and end are 0 while the prompt waits for a slot.
	firstEvent, end time.Duration
	request         cost.Request
}

// workFleet simulates a deployment whose hosts place short prompts by a policy, in steps of a
// millisecond. Hosts learn of other hosts' starts and ends with a delay.
type workFleet struct {
	random, noise *rand.Rand
	model         Model
	predictor     *cost.Predictor
	predict       prediction
	choose        workPolicy
	// jobs holds the requests at each replica, ended those of which the end is not known to all
	// hosts yet.
	jobs, ended [workReplicas][]*workJob
	prefillEnd  [workReplicas]time.Duration
	// idle holds the candidates without load.
	idle          []Candidate
	prompts, late int
	// predictedFree and actualFree are the sums of the predicted and the actual times until a
	// request of a full replica ends.
	predictedFree, actualFree time.Duration
	freeProbes                []freeProbe
}

// prediction returns the caller's hint for a request of the given decoding time.
type prediction func(now, decode time.Duration, noise *rand.Rand) time.Duration

// workPolicy returns the index of the chosen candidate, or false for a refusal. points holds
// the sums of the hints less the time that the requests have run.
type workPolicy func(f *workFleet, c []Candidate, points []time.Duration, r Request) (int, bool)

type freeProbe struct {
	replica int
	at      time.Duration
}

const (
	workHosts      = 16
	workReplicas   = 36
	workSlots      = 12
	workStartDelay = 30 * time.Millisecond
	workEndDelay   = 105 * time.Millisecond
	workMeanDecode = 1200 * time.Millisecond
	workDeviation  = 0.8
	// workLoad is the load as a share of the slots.
	workLoad   = 0.95
	workLength = 10 * time.Second
)

func (f *workFleet) view(now time.Duration, host int) ([]Candidate, []time.Duration) {
	candidates, points := slices.Clone(f.idle), make([]time.Duration, workReplicas)
	for i := range candidates {
		c := candidates[i]
		for _, list := range [][]*workJob{f.jobs[i], f.ended[i]} {
			for _, j := range list {
				if j.host != host && now-j.SentAt < workStartDelay || j.host == host && j.end > 0 && j.end <= now {
					continue
				}
				if j.streamsSince = 0; j.firstEvent > 0 && j.firstEvent <= now {
					j.streamsSince = j.firstEvent
				}
				remaining, interval := j.work(now)
				c.Load = c.Load.Add(Load{Streams: 1, Tokens: j.Tokens, MaxGap: j.Plan.MaxGap, Remaining: remaining, EndInterval: interval, ShortestRest: remaining, QueuedPrefill: max(0, min(j.prefill, j.SentAt+j.Plan.TimeToFirstEvent-now))})
				points[i] += max(0, j.SentAt+j.predicted-now)
			}
		}
		candidates[i] = c
	}
	return candidates, points
}

func (f *workFleet) place(now time.Duration) {
	f.prompts++
	host := f.random.IntN(workHosts)
	decode := time.Duration(float64(workMeanDecode) * math.Exp(workDeviation*f.random.NormFloat64()-workDeviation*workDeviation/2))
	predicted := f.predict(now, decode, f.noise)
	candidates, points := f.view(now, host)
	r := Request{Hash: f.random.Uint64(), PromptTokens: 5000, OutputTokens: 1700, Objective: shortObjective, TimeLeft: 10 * time.Second, MaxGap: 250 * time.Millisecond, HostCount: workHosts, UnreportedPrompts: 15}
	i, ok := f.choose(f, candidates, points, r)
	if !ok {
		f.late++
		return
	}
	j := &workJob{host: host, replica: i, decode: decode, predicted: predicted, prefill: f.model.PartPrefill(5000, 1)}
	j.request = cost.Request{Route: "short", PromptTokens: 5000, MaxOutputTokens: 20_000, OutputHint: int(predicted.Milliseconds()), MeanOutput: int(workMeanDecode.Milliseconds()), TokenTime: time.Millisecond}
	j.Job = Job{SentAt: now, Tokens: 6700, PartPrefill: j.prefill, Survival: NewSurvival(f.predictor.Predict(now, j.request).Survival), Plan: Plan{MaxGap: r.MaxGap, TimeToFirstEvent: 2 * j.prefill}}
	f.jobs[i] = append(f.jobs[i], j)
}

// step ends and starts requests.
func (f *workFleet) step(now time.Duration) {
	for i := range f.jobs {
		running := 0
		kept := f.jobs[i][:0]
		for _, j := range f.jobs[i] {
			if j.end > 0 && j.end <= now {
				f.ended[i] = append(f.ended[i], j)
				f.predictor.Observe(now, j.request, cost.Result{OutputTokens: int(j.decode.Milliseconds()), Took: j.decode})
				f.resolveProbes(now, i)
				continue
			}
			kept = append(kept, j)
			if j.end > 0 {
				running++
			}
		}
		f.jobs[i] = kept
		for _, j := range kept {
			if j.end == 0 && running < workSlots {
				running++
				f.prefillEnd[i] = max(now, f.prefillEnd[i]) + j.prefill
				j.firstEvent = f.prefillEnd[i] + f.model.PassTime(running, 0)*3/2
				j.end = j.firstEvent + j.decode
				if j.firstEvent-j.SentAt > shortObjective {
					f.late++
				}
			}
		}
		for len(f.ended[i]) > 0 && now-f.ended[i][0].end > workEndDelay {
			f.ended[i] = f.ended[i][1:]
		}
	}
}

func (f *workFleet) resolveProbes(now time.Duration, replica int) {
	kept := f.freeProbes[:0]
	for _, p := range f.freeProbes {
		if p.replica == replica {
			f.actualFree += now - p.at
			continue
		}
		kept = append(kept, p)
	}
	f.freeProbes = kept
}

func (f *workFleet) run() *workFleet {
	for i := range workReplicas {
		f.idle = append(f.idle, Candidate{ID: fmt.Sprint("r", i), Rank: uint64(i + 1), Slots: workSlots})
	}
	perSecond := workLoad * workReplicas * workSlots / (workMeanDecode + 100*time.Millisecond).Seconds()
	for now := time.Millisecond; now < workLength; now += time.Millisecond {
		f.step(now)
		if now > workLength/2 && now < workLength-time.Second && now%(50*time.Millisecond) == 0 {
			f.probe(now)
		}
		for arrivals := f.random.ExpFloat64(); arrivals < perSecond/1000; arrivals += f.random.ExpFloat64() {
			f.place(now)
		}
	}
	return f
}

// probe records the predicted times to a free slot of the full replicas.
func (f *workFleet) probe(now time.Duration) {
	candidates, _ := f.view(now, -1)
	for i, c := range candidates {
		if c.Load.Streams >= workSlots {
			f.predictedFree += c.Load.NextFree()
			f.freeProbes = append(f.freeProbes, freeProbe{i, now})
		}
	}
}

// chooseWith returns the policy of Choose.
func chooseWith(remainingWork bool) workPolicy {
	p := DefaultPolicy()
	p.RemainingWork = remainingWork
	return func(f *workFleet, c []Candidate, _ []time.Duration, r Request) (int, bool) {
		plan, refusal := Choose(f.model, p, c, r)
		i := slices.IndexFunc(c, func(c Candidate) bool { return c.ID == plan.Primary })
		return i, refusal.Reason == RefusedNone
	}
}

// leastOf returns the policy that takes a replica with the least score and a free slot.
func leastOf(score func(c Candidate, point time.Duration) float64) workPolicy {
	return func(_ *workFleet, c []Candidate, points []time.Duration, r Request) (int, bool) {
		best := -1
		for k := range c {
			i := (k + int(r.Hash%workReplicas)) % workReplicas
			if c[i].Load.Streams < workSlots && (best < 0 || score(c[i], points[i]) < score(c[best], points[best])) {
				best = i
			}
		}
		return best, best >= 0
	}
}

// Guards against predictions that make placement worse than without them when they are useless,
// and against wrong expected times to a free slot. The pattern is short prompts that fill 0.95 of
// the slots, with hints that are right, up to 40% off, off by a factor of two, and adversarial:
// every two seconds the longest requests get the shortest hints.
func TestPoliciesWithPredictions(t *testing.T) {
	policies := map[string]workPolicy{
		"as before": chooseWith(false), "remaining work": chooseWith(true),
		"least requests":       leastOf(func(c Candidate, _ time.Duration) float64 { return float64(c.Load.Streams) }),
		"least predicted work": leastOf(func(_ Candidate, point time.Duration) float64 { return float64(point) }),
		"shortest expected wait": leastOf(func(c Candidate, _ time.Duration) float64 {
			return float64(c.Load.QueuedPrefill) - 1/float64(1+c.Load.NextFree())
		}),
	}
	predictions := map[string]prediction{
		"right": func(_, d time.Duration, _ *rand.Rand) time.Duration { return d },
		"40% off": func(_, d time.Duration, noise *rand.Rand) time.Duration {
			return time.Duration(float64(d) * math.Pow(1.4, 2*noise.Float64()-1))
		},
		"twice off": func(_, d time.Duration, noise *rand.Rand) time.Duration {
			return time.Duration(float64(d) * math.Exp2(float64(2*noise.IntN(2)-1)))
		},
		"adversarial": func(now, d time.Duration, _ *rand.Rand) time.Duration {
			if now/(2*time.Second)%2 == 0 {
				return d
			}
			return time.Duration(float64(workMeanDecode) / float64(d) * float64(workMeanDecode))
		},
	}
	engine := placementtest.Engine()
	engine.Slots = workSlots
	// late returns the late prompts of all seeds and the predicted over the actual time to a free
	// slot.
	late := func(t *testing.T, policy string, predict prediction) (late, freeRatio float64) {
		var predicted, actual time.Duration
		for seed := range uint64(3) {
			f := (&workFleet{random: rand.New(rand.NewPCG(seed, 1)), noise: rand.New(rand.NewPCG(seed, 2)), model: NewModel(engine), predictor: cost.New(cost.Config{}), predict: predict, choose: policies[policy]}).run()
			late += float64(f.late)
			predicted, actual = predicted+f.predictedFree, actual+f.actualFree
			t.Logf("%s, seed %d: %d of %d late", policy, seed, f.late, f.prompts)
		}
		return late, predicted.Seconds() / actual.Seconds()
	}
	before, _ := late(t, "as before", predictions["right"])
	late(t, "least requests", predictions["right"]) // neither of the two uses predictions
	for name, predict := range predictions {
		t.Run(name, func(t *testing.T) {
			for _, policy := range []string{"least predicted work", "shortest expected wait"} {
				late(t, policy, predict)
			}
			withWork, freeRatio := late(t, "remaining work", predict)
			t.Logf("%.0f late prompts, as before %.0f; predicted over actual time to a free slot %.2f", withWork, before, freeRatio)
			if freeRatio < 0.5 || freeRatio > 2 {
				t.Errorf("predicted over actual time to a free slot: %.2f, want 0.5 to 2", freeRatio)
			}
			// Two standard errors of the difference of two counts.
			if withWork > before+2*math.Sqrt(before+withWork) {
				t.Errorf("%.0f late prompts, as before %.0f", withWork, before)
			}
		})
	}
}
