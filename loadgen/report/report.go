// Package report prints a table of results by length class and draws the
// distribution of the times to the first token.
package report

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"siskinstand.example/loadgen/load"
	"siskinstand.example/loadgen/mix"
)

// Histograms count microseconds up to an hour with three digits.
const (
	lowest  = 1
	highest = int64(time.Hour / time.Microsecond)
	digits  = 3
)

// Row is the summary of one class.
type Row struct {
	Class    mix.Class
	Count    int
	Outcomes map[load.Outcome]int
	// Latencies are times to the first token of whole answers; for plain calls they
	// are times to the whole answer.
	Latencies *hdrhistogram.Histogram
}

// Summarize groups results by class, in order of length.
func Summarize(results []load.Result) []Row {
	byClass := map[mix.Class]*Row{}
	for _, r := range results {
		row := byClass[r.Item.Class]
		if row == nil {
			row = &Row{Class: r.Item.Class, Outcomes: map[load.Outcome]int{}, Latencies: hdrhistogram.New(lowest, highest, digits)}
			byClass[r.Item.Class] = row
		}
		row.Count++
		row.Outcomes[r.Outcome]++
		if r.Outcome == load.Complete {
			took := r.TimeToFirstToken
			if r.Item.Class == mix.ClassPlain {
				took = r.Latency
			}
			_ = row.Latencies.RecordValue(min(max(took.Microseconds(), lowest), highest))
		}
	}
	var rows []Row
	for _, class := range mix.Classes() {
		if row := byClass[class]; row != nil {
			rows = append(rows, *row)
		}
	}
	return rows
}

// Quantile returns a quantile between 0 and 1 of the row's times.
func (r Row) Quantile(q float64) time.Duration {
	return time.Duration(r.Latencies.ValueAtQuantile(100*q)) * time.Microsecond
}

// WriteTable prints one line for each class. Times are in milliseconds.
func WriteTable(w io.Writer, rows []Row) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	header := []string{"class", "requests", "p50 ms", "p95 ms", "p99 ms"}
	for _, o := range load.Outcomes() {
		header = append(header, string(o))
	}
	fmt.Fprintln(table, strings.Join(header, "\t")+"\t")
	for _, r := range rows {
		cells := []string{string(r.Class), fmt.Sprint(r.Count)}
		for _, q := range []float64{0.50, 0.95, 0.99} {
			cells = append(cells, milliseconds(r, q))
		}
		for _, o := range load.Outcomes() {
			cells = append(cells, fmt.Sprint(r.Outcomes[o]))
		}
		fmt.Fprintln(table, strings.Join(cells, "\t")+"\t")
	}
	return table.Flush()
}

// WriteFailureReasons prints how often each reason ended a request that has no whole
// answer, the most frequent first.
func WriteFailureReasons(w io.Writer, results []load.Result) {
	type cause struct {
		outcome load.Outcome
		reason  string
	}
	count := map[cause]int{}
	for _, r := range results {
		if r.Outcome != load.Complete {
			count[cause{r.Outcome, r.Reason}]++
		}
	}
	causes := slices.SortedFunc(maps.Keys(count), func(a, b cause) int {
		return cmp.Or(cmp.Compare(count[b], count[a]), cmp.Compare(a.outcome, b.outcome), cmp.Compare(a.reason, b.reason))
	})
	const maxLines = 10
	for i, c := range causes {
		if i == maxLines {
			fmt.Fprintf(w, "and %d further reasons\n", len(causes)-maxLines)
			return
		}
		fmt.Fprintf(w, "%s: %s: %d\n", c.outcome, c.reason, count[c])
	}
}

func milliseconds(r Row, q float64) string {
	if r.Latencies.TotalCount() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", float64(r.Quantile(q))/float64(time.Millisecond))
}

// SavePlot writes the quantiles of each class as an SVG file.
func SavePlot(path string, rows []Row) error {
	const width, height = 18 * vg.Centimeter, 12 * vg.Centimeter
	p := plot.New()
	p.Title.Text = "Time to first token by prompt length"
	p.X.Label.Text = "quantile"
	p.Y.Label.Text = "milliseconds"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	drawn := 0
	for _, r := range rows {
		if r.Latencies.TotalCount() == 0 {
			continue
		}
		line, err := plotter.NewLine(quantiles(r))
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(drawn)
		p.Add(line)
		p.Legend.Add(string(r.Class), line)
		drawn++
	}
	if drawn == 0 {
		return fmt.Errorf("no whole answers to draw")
	}
	return p.Save(width, height, path)
}

func quantiles(r Row) plotter.XYs {
	const steps = 100
	points := make(plotter.XYs, 0, steps)
	for i := range steps {
		q := float64(i) / steps
		points = append(points, plotter.XY{X: q, Y: float64(r.Quantile(q)) / float64(time.Millisecond)})
	}
	return points
}
