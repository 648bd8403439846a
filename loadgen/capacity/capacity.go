// Package capacity measures the production code at increasing sizes and projects
// the resources each role needs at the design size: 380 gateways, 12,000 endpoints
// and 15,000 accounts (docs/design.md, section 1).
package capacity

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"time"
)

// Config configures a capacity run.
type Config struct {
	// Binaries is the directory of the executables. Directory receives settings
	// and logs.
	Binaries  string
	Directory string
	Seed      uint64
	// Page, if set, is a file whose section between the markers is replaced with
	// the tables.
	Page string
	Out  io.Writer
}

func (c Config) path(name string) string { return filepath.Join(c.Directory, name) }

// runner collects the rows. The named rows are inputs of later projections.
type runner struct {
	Config
	rows        []Row
	siteResults []siteMeasurements

	parse, readerApply, gatewayApply, viewRebuild, viewHeap Row
	startMemory, connectionMemory                           Row
	idleCPU, idleMemory, claimWrites                        Row
	// snapshotLoadSeconds is the time to transfer and parse a snapshot.
	snapshotLoadSeconds float64
}

func (r *runner) add(row Row) Row {
	r.rows = append(r.rows, row)
	return row
}

// Run takes all measurements and prints the tables. It returns an error if a
// measurement fails. A row that exceeds its limit is marked and is not an error.
func Run(ctx context.Context, c Config) error {
	r := &runner{Config: c}
	steps := []struct {
		name string
		run  func(context.Context) error
	}{
		{"tables", r.addTableRows},
		{"views", r.addViewRows},
		{"connections", r.addConnectionRows},
		{"start", r.addStartRows},
		{"claims", r.addClaimRows},
		{"processes", r.addSiteRows},
		{"store", func(context.Context) error { r.addStoreRows(); return nil }},
		{"gateway", func(context.Context) error { r.addGatewayRows(); return nil }},
		{"spread", func(context.Context) error { r.addPropagationRows(); return nil }},
		{"zone", func(context.Context) error { r.addZoneRows(); return nil }},
	}
	for _, s := range steps {
		start := time.Now()
		if err := s.run(ctx); err != nil {
			return fmt.Errorf("measure %s: %w", s.name, err)
		}
		fmt.Fprintf(c.Out, "measured %s in %s\n", s.name, time.Since(start).Round(100*time.Millisecond))
	}
	text := r.render()
	fmt.Fprintln(c.Out, text)
	if c.Page == "" {
		return nil
	}
	return updatePage(c.Page, text)
}

// render returns the summary and the tables.
func (r *runner) render() string {
	over := 0
	for _, row := range r.rows {
		if row.ExceedsLimit() {
			over++
		}
	}
	return fmt.Sprintf("Seed %d, %d figures, %d over their limit.\n%s", r.Seed, len(r.rows), over, Render(r.rows))
}
