package config

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"siskinstand.example/coord/admission"
	"siskinstand.example/coord/memory"
	"siskinstand.example/coord/suspect"
	"siskinstand.example/service/settings"
)

// Guards against a sample settings file whose defaults differ from the package
// defaults that the property tests and the benchmark use.
func TestSampleMatchesPackageDefaults(t *testing.T) {
	s, err := settings.Parse[Settings]("sample.ini", []byte(Sample()))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(admission.DefaultConfig(), s.Admission.Config()); diff != "" {
		t.Errorf("admission settings differ (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(memory.DefaultConfig(), s.Memory.Config()); diff != "" {
		t.Errorf("memory settings differ (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(suspect.DefaultConfig(), s.Suspects.Config()); diff != "" {
		t.Errorf("suspect settings differ (-want +got):\n%s", diff)
	}
}
