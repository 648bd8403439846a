// Package costs compares the times to the first event that siskin-edge predicts
// with the actual times in its log.
package costs

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/gonum/stat"
)

// classes are prompt length classes in tokens, named as in users' deployments.
var classes = []struct {
	name      string
	maxTokens int
}{{"short, up to 20,000 tokens", 20_000}, {"middle, up to 120,000", 120_000}, {"large", 1 << 30}}

// maxLineBytes is larger than any log line, in bytes.
const maxLineBytes = 1 << 20

var fieldPattern = regexp.MustCompile(`(\w+)=(?:"([^"]*)"|(\S+))`)

// Sample is one stream that was answered with status 200 and was sent at most once.
type Sample struct {
	PromptTokens int
	// Predicted and Actual are the times from replica selection to the first event.
	Predicted, Actual time.Duration
}

// ReadSamples parses a log of siskin-edge. Lines may have a prefix.
func ReadSamples(in io.Reader) ([]Sample, error) {
	type placement struct{ predicted, waited time.Duration }
	placements := map[string]placement{}
	var samples []Sample
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		line := lines.Text()
		placed, answered := strings.Contains(line, `"placed" `), strings.Contains(line, `"answered" `)
		if !placed && !answered {
			continue
		}
		fields := map[string]string{}
		for _, m := range fieldPattern.FindAllStringSubmatch(line, -1) {
			fields[m[1]] = m[2] + m[3]
		}
		// intField returns -1 for a missing field or one that is not an integer.
		intField := func(name string) int {
			n, err := strconv.Atoi(fields[name])
			if err != nil {
				return -1
			}
			return n
		}
		id := fields["request_id"]
		if placed {
			placements[id] = placement{time.Duration(intField("predicted_ms")) * time.Millisecond, time.Duration(intField("waited_ms")) * time.Millisecond}
			continue
		}
		p, ok := placements[id]
		if ok && intField("status") == 200 && intField("sends") <= 1 && intField("prompt") > 0 && intField("first_ms") >= 0 {
			samples = append(samples, Sample{intField("prompt"), p.predicted, time.Duration(intField("first_ms"))*time.Millisecond - p.waited})
		}
		delete(placements, id)
	}
	return samples, eris.Wrap(lines.Err(), "read log")
}

// WriteTable prints the prediction error for each prompt length class.
func WriteTable(out io.Writer, samples []Sample) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "prompts\tstreams\tpredicted ms, median\tfirst event ms, median\terror ms, 10 % / median / 90 %")
	minTokens := 0
	for _, c := range classes {
		var predicted, actual, errors []float64
		for _, s := range samples {
			if s.PromptTokens > minTokens && s.PromptTokens <= c.maxTokens {
				predicted = append(predicted, float64(s.Predicted.Milliseconds()))
				actual = append(actual, float64(s.Actual.Milliseconds()))
				errors = append(errors, float64((s.Actual - s.Predicted).Milliseconds()))
			}
		}
		minTokens = c.maxTokens
		if len(errors) == 0 {
			continue
		}
		quantile := func(values []float64, q float64) float64 {
			slices.Sort(values)
			return stat.Quantile(q, stat.Empirical, values, nil)
		}
		fmt.Fprintf(w, "%s\t%d\t%.0f\t%.0f\t%+.0f / %+.0f / %+.0f\n", c.name, len(errors), quantile(predicted, 0.5), quantile(actual, 0.5), quantile(errors, 0.1), quantile(errors, 0.5), quantile(errors, 0.9))
	}
	return eris.Wrap(w.Flush(), "write table")
}
