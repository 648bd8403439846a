// Package fleetbench runs days of the users' fleet benchmark and decodes its
// reports.
package fleetbench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Bench is the users' benchmark program and the checkout that it measures.
type Bench struct {
	// Program is the path of the benchmark program.
	Program string
	// Checkout is the source directory in which the program runs.
	Checkout string
}

// Day identifies one simulated day.
type Day struct {
	// Site is the path of the site file. Name is the name of a day in it, or a day
	// file.
	Site string
	Name string
	Seed uint64
}

// String returns the base name of the site file, the day's name and the seed.
func (d Day) String() string {
	return fmt.Sprintf("%s %s %d", filepath.Base(d.Site), d.Name, d.Seed)
}

// textOrNumber is a name that the benchmark writes as a JSON string or number.
type textOrNumber string

// UnmarshalJSON accepts a JSON string or number.
func (l *textOrNumber) UnmarshalJSON(data []byte) error {
	*l = textOrNumber(strings.Trim(string(data), `"`))
	return nil
}

// FileStem returns the day as a file name without an extension.
func (d Day) FileStem() string { return strings.ReplaceAll(d.String(), " ", "-") }

// RequestStats holds the results of the requests of one class or time window.
type RequestStats struct {
	Name     textOrNumber `json:"name"`
	Requests int          `json:"n"`
	InAim    int          `json:"in_aim"`
	Late     int          `json:"late"`
	Refused  int          `json:"refused"`
	Failed   int          `json:"failed"`
	Worth    float64      `json:"worth"`
	P50MS    float64      `json:"p50_ms"`
	P99MS    float64      `json:"p99_ms"`
}

// Report is the result of a day.
type Report struct {
	// Worth is the score of the day, from 0 to 1: the part of its possible score that
	// the requests earned, less all prices.
	Worth float64
	// Violations counts the violations of each rule by name. Fault, if set, is the
	// failure that ended the day early.
	Violations map[string]int
	Fault      string
	// Prices are the deductions from the worth, by name.
	Prices  map[string]float64
	Classes []RequestStats
	// Windows are the results by time window. A window is named after its first
	// second.
	Windows []RequestStats
}

type wireReport struct {
	Worth   float64        `json:"G"`
	Fault   any            `json:"fault"`
	Breaks  map[string]any `json:"breaks"`
	Prices  []wirePrice    `json:"prices"`
	Classes []RequestStats `json:"classes"`
	Windows []RequestStats `json:"windows"`
}

type wirePrice struct {
	name  string
	share float64
}

// UnmarshalJSON decodes a JSON array of name, amount and share of the worth.
func (p *wirePrice) UnmarshalJSON(data []byte) error {
	var amount float64
	row := []any{&p.name, &amount, &p.share}
	return json.Unmarshal(data, &row)
}

// Decode decodes a report of the benchmark.
func Decode(data []byte) (Report, error) {
	var w wireReport
	if err := json.Unmarshal(data, &w); err != nil {
		return Report{}, eris.Wrap(err, "decode benchmark report")
	}
	r := Report{Worth: w.Worth, Violations: map[string]int{}, Prices: map[string]float64{}, Classes: w.Classes, Windows: w.Windows}
	if w.Fault != nil {
		r.Fault = fmt.Sprint(w.Fault)
	}
	for rule, count := range w.Breaks {
		n, ok := count.(float64)
		if !ok {
			n = 1
		}
		r.Violations[rule] = max(1, int(n))
	}
	for _, p := range w.Prices {
		r.Prices[p.name] += p.share
	}
	return r, nil
}

// Run runs a day and decodes its report. Processor time is not charged, which
// makes the run repeatable. The output of the program is written to a file next
// to the report. Run returns an error if the benchmark wrote no report.
func (b Bench) Run(ctx context.Context, d Day, reportPath string) (Report, error) {
	reportPath, err := filepath.Abs(reportPath)
	if err != nil {
		return Report{}, eris.Wrap(err, "resolve report path")
	}
	site, err := filepath.Abs(d.Site)
	if err != nil {
		return Report{}, eris.Wrap(err, "resolve site path")
	}
	cmd := exec.CommandContext(ctx, b.Program, "run", site, d.Name, "--seed", strconv.FormatUint(d.Seed, 10), "--no-cpu", "--report", reportPath)
	cmd.Dir = b.Checkout
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	runErr := cmd.Run()
	if err := os.WriteFile(reportPath+".txt", out.Bytes(), 0o600); err != nil {
		return Report{}, eris.Wrap(err, "write benchmark output")
	}
	data, err := os.ReadFile(reportPath)
	if err != nil {
		return Report{}, eris.Wrapf(err, "benchmark wrote no report for %s (%v), see %s.txt", d, runErr, reportPath)
	}
	return Decode(data)
}

// ViolationNames returns the fault, if any, and the sorted names of the broken
// rules.
func (r Report) ViolationNames() []string {
	var names []string
	if r.Fault != "" {
		names = append(names, r.Fault)
	}
	return append(names, slices.Sorted(maps.Keys(r.Violations))...)
}
