// Package compare runs the same simulated days with two builds and separates real
// differences from noise.
package compare

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"

	"siskinstand.example/loadgen/fleetbench"
)

// Config configures a comparison.
type Config struct {
	// Before and After run the benchmark with the two builds.
	Before, After fleetbench.Bench
	Days          []fleetbench.Day
	// Jobs is the number of days that run in parallel.
	Jobs int
	// Directory is where the reports and plots are written.
	Directory string
	Out       io.Writer
}

// pair holds the reports of both builds for one day.
type pair struct {
	day           fleetbench.Day
	before, after fleetbench.Report
}

// Run runs all days, prints the comparison and writes the plots. Each job runs a
// day with both builds before it starts the next day.
func Run(ctx context.Context, c Config) error {
	if err := os.MkdirAll(c.Directory, 0o750); err != nil {
		return eris.Wrap(err, "create output directory")
	}
	pairs := make([]pair, len(c.Days))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(1, c.Jobs))
	for i, d := range c.Days {
		g.Go(func() error {
			name := filepath.Join(c.Directory, d.FileStem())
			before, err := c.Before.Run(ctx, d, name+"-before.json")
			if err != nil {
				return err
			}
			after, err := c.After.Run(ctx, d, name+"-after.json")
			if err != nil {
				return err
			}
			pairs[i] = pair{d, before, after}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	if err := writeComparison(c.Out, pairs); err != nil {
		return err
	}
	return savePlots(pairs, c.Directory)
}

// difference summarizes the paired differences of one figure.
type difference struct {
	before, after float64
	// change is the mean of after minus before, stdErr its standard error.
	change, stdErr float64
	pairs          int
}

// compareFigure compares a figure over all pairs in which both reports have it.
func compareFigure(pairs []pair, figure func(fleetbench.Report) (float64, bool)) difference {
	var before, after, changes []float64
	for _, p := range pairs {
		b, okB := figure(p.before)
		a, okA := figure(p.after)
		if okA && okB {
			before, after, changes = append(before, b), append(after, a), append(changes, a-b)
		}
	}
	d := difference{pairs: len(changes)}
	if d.pairs == 0 {
		return d
	}
	d.before, d.after = stat.Mean(before, nil), stat.Mean(after, nil)
	mean, deviation := stat.MeanStdDev(changes, nil)
	d.change = mean
	if d.pairs > 1 {
		d.stdErr = stat.StdErr(deviation, float64(d.pairs))
	}
	return d
}

// significanceThreshold is the number of standard errors that a change must exceed
// to count as more than noise.
const significanceThreshold = 2

func (d difference) verdict() string {
	switch {
	case d.pairs < 2:
		return "one pair, no spread"
	case math.Abs(d.change) <= significanceThreshold*d.stdErr:
		return "within the noise"
	case d.change > 0:
		return "higher"
	}
	return "lower"
}

// worthFigure returns the total worth of a report.
func worthFigure(r fleetbench.Report) (float64, bool) { return r.Worth, true }

func priceFigure(name string) func(fleetbench.Report) (float64, bool) {
	return func(r fleetbench.Report) (float64, bool) { return r.Prices[name], true }
}

// classFigure returns a figure of the named class, which a report has if the class
// had any requests.
func classFigure(name string, figure func(fleetbench.RequestStats) float64) func(fleetbench.Report) (float64, bool) {
	return func(r fleetbench.Report) (float64, bool) {
		for _, c := range r.Classes {
			if string(c.Name) == name && c.Requests > 0 {
				return figure(c), true
			}
		}
		return 0, false
	}
}

func writeComparison(out io.Writer, pairs []pair) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name string, d difference) {
		fmt.Fprintf(w, "%s\t%.4f\t%.4f\t%+.4f\t%.4f\t%d\t%s\n", name, d.before, d.after, d.change, d.stdErr, d.pairs, d.verdict())
	}
	fmt.Fprintln(w, "figure\tbefore\tafter\tchange\tstd error\tpairs\tverdict")
	row("worth", compareFigure(pairs, worthFigure))
	groups := map[string][]pair{}
	for _, p := range pairs {
		name := filepath.Base(p.day.Site) + " " + p.day.Name
		groups[name] = append(groups[name], p)
	}
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		row("worth, "+name, compareFigure(groups[name], worthFigure))
	}
	for _, name := range classNames(pairs) {
		row("worth of "+name, compareFigure(pairs, classFigure(name, func(c fleetbench.RequestStats) float64 { return c.Worth })))
		row("refused of "+name, compareFigure(pairs, classFigure(name, func(c fleetbench.RequestStats) float64 { return float64(c.Refused) / float64(c.Requests) })))
		row("median s of "+name, compareFigure(pairs, classFigure(name, func(c fleetbench.RequestStats) float64 { return c.P50MS / 1000 })))
	}
	names := map[string]bool{}
	for _, p := range pairs {
		for _, r := range []fleetbench.Report{p.before, p.after} {
			for name, share := range r.Prices {
				names[name] = names[name] || share >= 0.0005
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if names[name] {
			row("price: "+name, compareFigure(pairs, priceFigure(name)))
		}
	}
	for _, p := range pairs {
		if b, a := p.before.ViolationNames(), p.after.ViolationNames(); len(a)+len(b) > 0 {
			fmt.Fprintf(w, "broken rules, %s: before %v, after %v\n", p.day, b, a)
		}
	}
	return eris.Wrap(w.Flush(), "write comparison")
}

func classNames(pairs []pair) []string {
	names := map[string]bool{}
	for _, p := range pairs {
		for _, c := range p.after.Classes {
			names[string(c.Name)] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}
