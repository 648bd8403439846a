package config

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"siskinstand.example/coord/admission"
	"siskinstand.example/coord/memory"
	"siskinstand.example/coord/suspect"
	"siskinstand.example/service/settings"
)

// Guards against a sample file whose defaults differ from those that the
// property tests and the bench run with.
func TestSampleHasTheDefaultsOfTheDecisions(t *testing.T) {
	s, err := settings.Parse[Settings]("sample.ini", []byte(Sample()))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(admission.DefaultConfig(), s.Admission.Config()); diff != "" {
		t.Errorf("admission differs (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(memory.DefaultConfig(), s.Memory.Config()); diff != "" {
		t.Errorf("memory differs (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(suspect.DefaultConfig(), s.Suspects.Config()); diff != "" {
		t.Errorf("suspects differ (-want +got):\n%s", diff)
	}
}
