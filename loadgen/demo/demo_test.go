package demo

import (
	"testing"

	"siskinstand.example/loadgen/load"
	"siskinstand.example/loadgen/mix"
)

// Guards against accepting a run without completed requests or plain calls, or
// with a model request that may have run and got no response.
func TestCheckCoverageFindsLostWork(t *testing.T) {
	complete := load.Result{Item: mix.Item{Class: mix.Class1k}, Outcome: load.Complete}
	plain := load.Result{Item: mix.Item{Class: mix.ClassPlain}, Outcome: load.Complete}
	lost := load.Result{Item: mix.Item{Class: mix.Class1k}, Outcome: load.MayHaveRun}
	if err := checkCoverage([]load.Result{complete, plain}); err != nil {
		t.Error(err)
	}
	for name, results := range map[string][]load.Result{"nothing": nil, "no plain": {complete, complete}, "lost": {complete, plain, plain, lost}} {
		if checkCoverage(results) == nil {
			t.Errorf("%s: got no error, want one", name)
		}
	}
}
