// Package report prints a table of results by request class and plots the
// distribution of the time to first token.
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

// Histograms record microseconds, up to one hour, with three significant digits.
const (
	minMicroseconds   = 1
	maxMicroseconds   = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Row summarizes the results of one class.
type Row struct {
	Class    mix.Class
	Count    int
	Outcomes map[load.Outcome]int
	// Latencies holds the times to first token of complete responses. For plain
	// calls it holds the times to the complete response.
	Latencies *hdrhistogram.Histogram
}

// Summarize returns one row for each class that has results, in the order of
// mix.Classes.
func Summarize(results []load.Result) []Row {
	byClass := map[mix.Class]*Row{}
	for _, r := range results {
		row := byClass[r.Item.Class]
		if row == nil {
			row = &Row{Class: r.Item.Class, Outcomes: map[load.Outcome]int{}, Latencies: hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits)}
			byClass[r.Item.Class] = row
		}
		row.Count++
		row.Outcomes[r.Outcome]++
		if r.Outcome == load.Complete {
			took := r.TimeToFirstToken
			if r.Item.Class == mix.ClassPlain {
				took = r.Latency
			}
			_ = row.Latencies.RecordValue(min(max(took.Microseconds(), minMicroseconds), maxMicroseconds))
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

// Quantile returns the q-quantile of the latencies, with q between 0 and 1.
func (r Row) Quantile(q float64) time.Duration {
	return time.Duration(r.Latencies.ValueAtQuantile(100*q)) * time.Microsecond
}

// WriteTable prints one line per class, with times in milliseconds.
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
			cells = append(cells, formatQuantile(r, q))
		}
		for _, o := range load.Outcomes() {
			cells = append(cells, fmt.Sprint(r.Outcomes[o]))
		}
		fmt.Fprintln(table, strings.Join(cells, "\t")+"\t")
	}
	return table.Flush()
}

// WriteFailureReasons prints the number of requests without a complete response
// for the ten most frequent pairs of outcome and reason, the most frequent first.
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

func formatQuantile(r Row, q float64) string {
	if r.Latencies.TotalCount() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", float64(r.Quantile(q))/float64(time.Millisecond))
}

// SavePlot plots the latency quantiles of each class to a file, whose extension
// selects the format.
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
		line, err := plotter.NewLine(quantilePoints(r))
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(drawn)
		p.Add(line)
		p.Legend.Add(string(r.Class), line)
		drawn++
	}
	if drawn == 0 {
		return fmt.Errorf("nothing to plot: no complete responses")
	}
	return p.Save(width, height, path)
}

func quantilePoints(r Row) plotter.XYs {
	const steps = 100
	points := make(plotter.XYs, 0, steps)
	for i := range steps {
		q := float64(i) / steps
		points = append(points, plotter.XY{X: q, Y: float64(r.Quantile(q)) / float64(time.Millisecond)})
	}
	return points
}
