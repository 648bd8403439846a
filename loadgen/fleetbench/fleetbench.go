// Package fleetbench plays days of the users' bench and decodes its reports.
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

// Bench is the users' bench and a checkout that it plays.
type Bench struct {
	// Program is the path of the bench.
	Program string
	// Checkout is the checkout.
	Checkout string
}

// Day is one day to play.
type Day struct {
	// Site is the path of the site file, Name the day in it.
	Site string
	Name string
	Seed uint64
}

// String names the day by its site, name and seed.
func (d Day) String() string {
	return fmt.Sprintf("%s %s %d", filepath.Base(d.Site), d.Name, d.Seed)
}

// label is a name that the bench writes as text or as a number.
type label string

// UnmarshalJSON takes both.
func (l *label) UnmarshalJSON(data []byte) error {
	*l = label(strings.Trim(string(data), `"`))
	return nil
}

// FileStem is the name as part of a file's.
func (d Day) FileStem() string { return strings.ReplaceAll(d.String(), " ", "-") }

// RequestStats is what became of the requests of one kind.
type RequestStats struct {
	Name     label   `json:"name"`
	Requests int     `json:"n"`
	InAim    int     `json:"in_aim"`
	Late     int     `json:"late"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Worth    float64 `json:"worth"`
	P50MS    float64 `json:"p50_ms"`
	P99MS    float64 `json:"p99_ms"`
}

// Report is the outcome of a day.
type Report struct {
	// Worth is the credit less all prices, from 0 to 1.
	Worth float64
	// Violations counts the broken rules by name; Fault ends a day early.
	Violations map[string]int
	Fault      string
	// Prices are the parts taken off the worth, by name.
	Prices  map[string]float64
	Classes []RequestStats
	// Windows are spans of the day, named by their first second.
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
	name string
	part float64
}

// UnmarshalJSON reads a row of name, amount and part of the worth.
func (p *wirePrice) UnmarshalJSON(data []byte) error {
	var amount float64
	row := []any{&p.name, &amount, &p.part}
	return json.Unmarshal(data, &row)
}

// Decode reads a report of the bench.
func Decode(data []byte) (Report, error) {
	var w wireReport
	if err := json.Unmarshal(data, &w); err != nil {
		return Report{}, eris.Wrap(err, "decode report")
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
		r.Prices[p.name] += p.part
	}
	return r, nil
}

// Run plays a day without charging processor time, which makes it repeatable,
// and writes what it prints beside the report. It returns an error if the bench
// wrote no report.
func (b Bench) Run(ctx context.Context, d Day, report string) (Report, error) {
	report, err := filepath.Abs(report)
	if err != nil {
		return Report{}, eris.Wrap(err, "path of the report")
	}
	site, err := filepath.Abs(d.Site)
	if err != nil {
		return Report{}, eris.Wrap(err, "path of the site")
	}
	cmd := exec.CommandContext(ctx, b.Program, "run", site, d.Name, "--seed", strconv.FormatUint(d.Seed, 10), "--no-cpu", "--report", report)
	cmd.Dir = b.Checkout
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	failed := cmd.Run()
	if err := os.WriteFile(report+".txt", out.Bytes(), 0o600); err != nil {
		return Report{}, eris.Wrap(err, "keep the output")
	}
	data, err := os.ReadFile(report)
	if err != nil {
		return Report{}, eris.Wrapf(err, "%s was not played (%v), see %s.txt", d, failed, report)
	}
	return Decode(data)
}

// ViolationNames returns the names of the broken rules in order, and the fault.
func (r Report) ViolationNames() []string {
	var names []string
	if r.Fault != "" {
		names = append(names, r.Fault)
	}
	return append(names, slices.Sorted(maps.Keys(r.Violations))...)
}
