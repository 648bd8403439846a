package faults

import (
	"fmt"
	"io"
	"strings"
	"sync"
)

// target is a requirement on the value of a figure.
type target struct {
	text string
	met  func(float64) bool
}

// noTarget marks a figure without a target.
var noTarget = target{text: "none", met: func(float64) bool { return true }}

func exactly(want float64) target {
	return target{fmt.Sprintf("%g", want), func(v float64) bool { return v == want }}
}

func atMost(limit float64) target {
	return target{fmt.Sprintf("<=%g", limit), func(v float64) bool { return v <= limit }}
}

func below(limit float64) target {
	return target{fmt.Sprintf("<%g", limit), func(v float64) bool { return v < limit }}
}

func atLeast(limit float64) target {
	return target{fmt.Sprintf(">=%g", limit), func(v float64) bool { return v >= limit }}
}

// report prints the figures of one scenario and collects missed targets. It is
// safe for concurrent use.
type report struct {
	scenario string
	out      io.Writer

	mu            sync.Mutex
	missedTargets []string
}

// record prints a figure as "scenario.name=value unit target bound", with MISSED
// after the bound if the value misses its target, and collects missed targets.
func (r *report) record(name string, value float64, unit string, t target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	verdict := ""
	if !t.met(value) {
		verdict = " MISSED"
		r.missedTargets = append(r.missedTargets, fmt.Sprintf("%s is %.4g %s, target %s", name, value, unit, t.text))
	}
	fmt.Fprintf(r.out, "%s.%s=%.4g %s target %s%s\n", r.scenario, name, value, unit, t.text, verdict)
}

// comment prints a line with details about the figures.
func (r *report) comment(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "# %s: %s\n", r.scenario, text)
}

func (r *report) missedTargetsError() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.missedTargets) == 0 {
		return nil
	}
	return fmt.Errorf("targets missed: %s", strings.Join(r.missedTargets, "; "))
}
