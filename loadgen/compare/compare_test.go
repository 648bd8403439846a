package compare

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"siskinstand.example/loadgen/fleetbench"
)

func worths(before, after []float64) []pair {
	var pairs []pair
	for i := range before {
		pairs = append(pairs, pair{
			day:    fleetbench.Day{Site: "sites/a.toml", Name: "scale-1", Seed: uint64(i)},
			before: report(before[i]), after: report(after[i]),
		})
	}
	return pairs
}

func report(worth float64) fleetbench.Report {
	return fleetbench.Report{
		Worth: worth, Prices: map[string]float64{"cloud calls": worth / 100}, Violations: map[string]int{},
		Classes: []fleetbench.RequestStats{{Name: "long", Requests: 10, Refused: 2, Worth: worth, P50MS: 1500}},
		Windows: []fleetbench.RequestStats{{Name: "0", Worth: worth}, {Name: "2", Worth: worth / 2}},
	}
}

func TestDifference(t *testing.T) {
	// Guards against noise that is taken for a gain, and against a gain that is
	// hidden by the spread between days.
	tests := map[string]struct {
		before, after []float64
		want          difference
		verdict       string
	}{
		"same gain on unlike days": {[]float64{0.2, 0.5, 0.8}, []float64{0.21, 0.51, 0.81}, difference{0.5, 0.51, 0.01, 0, 3}, "higher"},
		"noise":                    {[]float64{0.5, 0.5, 0.5, 0.5}, []float64{0.52, 0.48, 0.53, 0.49}, difference{0.5, 0.505, 0.005, 0.011902, 4}, "within the noise"},
		"loss":                     {[]float64{0.5, 0.6}, []float64{0.4, 0.49}, difference{0.55, 0.445, -0.105, 0.005, 2}, "lower"},
		"one day":                  {[]float64{0.5}, []float64{0.9}, difference{0.5, 0.9, 0.4, 0, 1}, "one pair, no spread"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := differ(worths(tc.before, tc.after), worth)
			if diff := cmp.Diff(tc.want, got, cmp.AllowUnexported(difference{}), cmpopts.EquateApprox(0, 1e-6)); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
			if got.verdict() != tc.verdict {
				t.Errorf("verdict %q, want %q", got.verdict(), tc.verdict)
			}
		})
	}
}

func TestOutput(t *testing.T) {
	// Guards against a broken rule that the comparison does not name, and
	// against plots that are missing.
	pairs := worths([]float64{0.2, 0.5}, []float64{0.3, 0.6})
	pairs[1].after.Violations["LOST"] = 2
	var b strings.Builder
	if err := write(&b, pairs); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"worth, a.toml scale-1", "refused of long", "price: cloud calls", "broken rules, a.toml scale-1 1: before [], after [LOST]"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("%q is not in\n%s", want, b.String())
		}
	}
	dir := t.TempDir()
	if err := plots(pairs, dir); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"worth", "waiting", "worth-by-class", "waiting-by-class"} {
		if _, err := os.Stat(filepath.Join(dir, "a.toml-scale-1-0-"+name+".svg")); err != nil {
			t.Error(err)
		}
	}
}
