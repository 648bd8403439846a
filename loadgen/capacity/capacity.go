// Package capacity runs the real code at growing sizes and projects what each
// role needs at the design size (docs/design.md, section 1).
package capacity

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"time"
)

// Config describes a run.
type Config struct {
	// Binaries is the directory of the programs, Directory that of settings
	// and logs.
	Binaries  string
	Directory string
	Seed      uint64
	// Page is a file whose marked part is replaced, if set.
	Page string
	Out  io.Writer
}

func (c Config) path(name string) string { return filepath.Join(c.Directory, name) }

// runner holds the rows and those that later rows are made of.
type runner struct {
	Config
	rows     []Row
	measured []siteFigures

	parse, read, apply, rebuild, viewHeap Row
	startMemory, connectionMemory         Row
	idleCPU, idleMemory, claimWrites      Row
	// snapshotLoad is the transfer and parse of a snapshot, in seconds.
	snapshotLoad float64
}

func (r *runner) add(row Row) Row {
	r.rows = append(r.rows, row)
	return row
}

// Run measures everything, prints the tables and returns an error if a
// measurement failed. A row over its limit is shown and is no error.
func Run(ctx context.Context, c Config) error {
	r := &runner{Config: c}
	steps := []struct {
		name string
		run  func(context.Context) error
	}{
		{"tables", r.tables},
		{"views", r.views},
		{"connections", r.connections},
		{"start", r.startup},
		{"claims", r.claims},
		{"processes", r.sites},
		{"store", func(context.Context) error { r.storeCalls(); return nil }},
		{"gateway", func(context.Context) error { r.daemonRows(); return nil }},
		{"spread", func(context.Context) error { r.spread(); return nil }},
		{"zone", func(context.Context) error { r.zone(); return nil }},
	}
	for _, s := range steps {
		began := time.Now()
		if err := s.run(ctx); err != nil {
			return fmt.Errorf("measure %s: %w", s.name, err)
		}
		fmt.Fprintf(c.Out, "measured %s in %s\n", s.name, time.Since(began).Round(100*time.Millisecond))
	}
	text := r.render()
	fmt.Fprintln(c.Out, text)
	if c.Page == "" {
		return nil
	}
	return updatePage(c.Page, text)
}

// render writes the summary and the tables.
func (r *runner) render() string {
	over := 0
	for _, row := range r.rows {
		if row.Over() {
			over++
		}
	}
	return fmt.Sprintf("Seed %d, %d figures, %d over their limit.\n%s", r.Seed, len(r.rows), over, Render(r.rows))
}
