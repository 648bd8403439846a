package demo

import (
	"context"
	"fmt"

	"siskinstand.example/loadgen/load"
	"siskinstand.example/loadgen/mix"
)

// checkCoverage fails if fewer than half of the requests or no plain calls were
// completed, because the other checks would then show nothing. It also fails if a
// model request ended as MayHaveRun or Unsent, as no engine fails in the demo.
func checkCoverage(results []load.Result) error {
	complete, plain := 0, 0
	for _, r := range results {
		if r.Outcome == load.Complete {
			complete++
			if r.Item.Class == mix.ClassPlain {
				plain++
			}
		}
		if r.Item.Class != mix.ClassPlain && (r.Outcome == load.MayHaveRun || r.Outcome == load.Unsent) {
			return fmt.Errorf("invariant request_outcome broken: request %d ended as %s (%s) although no engine failed", r.Item.Index, r.Outcome, r.Reason)
		}
	}
	if 2*complete < len(results) || plain == 0 {
		return fmt.Errorf("only %d of %d responses are complete, including %d responses to plain calls", complete, len(results), plain)
	}
	return nil
}

// checkRunCounts compares the outcome of each plain call with the number of runs
// that the plain services counted.
func (r *demoRun) checkRunCounts(ctx context.Context, runID string, results []load.Result) error {
	for _, result := range results {
		if result.Item.Class != mix.ClassPlain {
			continue
		}
		key := result.Item.IdempotencyKey(runID)
		runs, err := r.cluster.RunCount(ctx, key)
		if err != nil {
			return err
		}
		switch {
		case runs > 1:
			return fmt.Errorf("invariant at_most_once broken: call %s ran %d times", key, runs)
		case result.Outcome == load.NotRun && runs > 0:
			return fmt.Errorf("invariant not_run_true broken: call %s ran", key)
		case result.Outcome == load.Complete && runs == 0:
			return fmt.Errorf("call %s was answered but did not run", key)
		}
	}
	return nil
}
