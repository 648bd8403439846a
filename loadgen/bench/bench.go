// Package bench drives the decision code of gateways and sidecars in virtual
// time against a small engine model, compares it with simple baselines on the
// same seeds and checks the targets of docs/design.md, section 14.
package bench

import (
	"fmt"
	"io"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// Config describes one run of the bench.
type Config struct {
	Seed uint64
	// Directory receives the plots.
	Directory string
	Out       io.Writer
}

// ErrTargetMissed is returned after all figures have been printed.
var ErrTargetMissed = eris.New("a target was missed")

// variation changes the engine model.
type variation struct {
	name   string
	change func(*Scenario)
}

var variations = []variation{
	{"slow_engines", func(s *Scenario) { s.SpeedFactor = 0.5 }},
	{"fast_engines", func(s *Scenario) { s.SpeedFactor = 2 }},
	{"late_reports", func(s *Scenario) { s.ReportLag = 3 * time.Second }},
	{"wrong_lengths", func(s *Scenario) { s.EstimateError = 0.4 }},
}

// maxParallel bounds the runs at once, so that the bench leaves cores to others.
const maxParallel = 4

// Run prints every figure and writes the plots.
func Run(c Config) error {
	scenario := defaultScenario(c.Seed)
	parts := make([][]figure, 5+len(variations))
	var group errgroup.Group
	group.SetLimit(maxParallel)
	group.Go(func() error {
		parts[0] = capacityFigures(scenario)
		return nil
	})
	group.Go(func() error {
		mixed := compare(scenario)
		parts[1] = append(mixed.latencyFigures(""), slowdownFigure(mixed))
		return plotFirstToken(mixed, filepath.Join(c.Directory, "first-token.svg"))
	})
	group.Go(func() error {
		parts[2] = longestWaitFigures(scenario)
		return nil
	})
	group.Go(func() error {
		zone := compare(zoneScenario(scenario))
		parts[3] = zoneFigures(zone)
		return plotZone(zone, filepath.Join(c.Directory, "zone.svg"))
	})
	group.Go(func() error {
		parts[4] = overloadFigures(scenario)
		return nil
	})
	for i, v := range variations {
		group.Go(func() error {
			s := scenario
			s.Name = v.name
			v.change(&s)
			parts[5+i] = compare(s).latencyFigures(v.name + "_")
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return report(c.Out, parts)
}

func report(out io.Writer, parts [][]figure) error {
	missed := 0
	for _, part := range parts {
		for _, f := range part {
			f.print(out)
			if f.missed() {
				missed++
			}
		}
	}
	for _, row := range notDriven {
		fmt.Fprintf(out, "not driven: %s\n", row)
	}
	if missed > 0 {
		return eris.Wrapf(ErrTargetMissed, "%d figures", missed)
	}
	return nil
}

// notDriven lists the rows of the table that virtual time cannot show.
var notDriven = []string{
	"non-repeatable calls run twice (make faults: at_most_once; models/claim.pml)",
	"not_run refusals of requests that had run (make faults: at_most_once; models/claim.pml)",
	"change in force everywhere (make faults: propagation; models/config.pml)",
	"endpoints lost to one crash-causing request (make faults: crash_request)",
	"engine memory without owner after the expiry (make faults: memory_owner)",
	"overhead of gateway to sidecar to engine (make faults: overhead)",
}
