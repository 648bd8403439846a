package demo

import (
	"context"
	"fmt"

	"siskinstand.example/loadgen/load"
	"siskinstand.example/loadgen/mix"
)

// checkUseful fails if too little work was done for the checks to mean
// anything, or if a model request was lost although no engine failed.
func checkUseful(results []load.Result) error {
	whole, plain := 0, 0
	for _, r := range results {
		if r.Outcome == load.Complete {
			whole++
			if r.Item.Class == mix.ClassPlain {
				plain++
			}
		}
		if r.Item.Class != mix.ClassPlain && (r.Outcome == load.MayHaveRun || r.Outcome == load.Unsent) {
			return fmt.Errorf("invariant request_outcome broken: request %d ended as %s (%s) although nothing failed", r.Item.Index, r.Outcome, r.Reason)
		}
	}
	if 2*whole < len(results) || plain == 0 {
		return fmt.Errorf("only %d of %d answers are whole, %d of them plain calls", whole, len(results), plain)
	}
	return nil
}

// checkRuns compares the outcome of each plain call with the runs that the
// services counted.
func (r *run) checkRuns(ctx context.Context, runID string, results []load.Result) error {
	for _, result := range results {
		if result.Item.Class != mix.ClassPlain {
			continue
		}
		key := result.Item.IdempotencyKey(runID)
		runs, err := r.cluster.Runs(ctx, key)
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
