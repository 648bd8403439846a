package demo

import (
	"testing"

	"siskinstand.example/loadgen/load"
	"siskinstand.example/loadgen/mix"
)

// Guards against a check that accepts a run that shows nothing or lost work.
func TestCheckUsefulFindsLostWork(t *testing.T) {
	whole := load.Result{Item: mix.Item{Class: mix.Class1k}, Outcome: load.Complete}
	plain := load.Result{Item: mix.Item{Class: mix.ClassPlain}, Outcome: load.Complete}
	lost := load.Result{Item: mix.Item{Class: mix.Class1k}, Outcome: load.MayHaveRun}
	if err := checkUseful([]load.Result{whole, plain}); err != nil {
		t.Error(err)
	}
	for name, results := range map[string][]load.Result{"nothing": nil, "no plain": {whole, whole}, "lost": {whole, plain, plain, lost}} {
		if checkUseful(results) == nil {
			t.Errorf("%s accepted", name)
		}
	}
}
