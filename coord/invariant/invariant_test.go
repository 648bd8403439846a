package invariant

import "testing"

// Guards against an invariant whose violations are not counted or reported.
func TestCheckCountsEachName(t *testing.T) {
	var reported []Name
	r := NewRegistry(func(n Name, _ string) { reported = append(reported, n) })
	for _, n := range Names() {
		r.Check(true, n, "holds")
		r.Check(false, n, "violated by %s", "the test")
		if got := r.Count(n); got != 1 {
			t.Errorf("Count(%s) = %d, want 1", n, got)
		}
		if got := r.LastMessage(n); got != "violated by the test" {
			t.Errorf("LastMessage(%s) = %q, want the message of the violation", n, got)
		}
	}
	if got, want := r.Total(), int64(len(Names())); got != want {
		t.Errorf("Total = %d, want %d", got, want)
	}
	if len(reported) != len(Names()) {
		t.Errorf("reported %d violations, want %d", len(reported), len(Names()))
	}
}
