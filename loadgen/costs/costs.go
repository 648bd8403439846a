// Package costs compares the times that siskin-edge predicts with those that
// its log shows.
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

// classes bound prompts by their tokens, as the users' deployments name them.
var classes = []struct {
	name string
	upTo int
}{{"short, up to 20,000 tokens", 20_000}, {"middle, up to 120,000", 120_000}, {"large", 1 << 30}}

// maxLine is longer than any line of the log.
const maxLine = 1 << 20

var field = regexp.MustCompile(`(\w+)=(?:"([^"]*)"|(\S+))`)

// Sample is one stream that was sent once and has answered.
type Sample struct {
	PromptTokens int
	// Predicted and Actual are the times from the choice of the replicas to the
	// first event.
	Predicted, Actual time.Duration
}

// ReadSamples reads a log, with or without a prefix before each line.
func ReadSamples(in io.Reader) ([]Sample, error) {
	type placing struct{ predicted, waited time.Duration }
	placings := map[string]placing{}
	var samples []Sample
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		line := lines.Text()
		placed, answered := strings.Contains(line, `"placed" `), strings.Contains(line, `"answered" `)
		if !placed && !answered {
			continue
		}
		fields := map[string]string{}
		for _, m := range field.FindAllStringSubmatch(line, -1) {
			fields[m[1]] = m[2] + m[3]
		}
		number := func(name string) int {
			n, err := strconv.Atoi(fields[name])
			if err != nil {
				return -1
			}
			return n
		}
		id := fields["request_id"]
		if placed {
			placings[id] = placing{time.Duration(number("predicted_ms")) * time.Millisecond, time.Duration(number("waited_ms")) * time.Millisecond}
			continue
		}
		p, ok := placings[id]
		if ok && number("status") == 200 && number("sends") <= 1 && number("prompt") > 0 && number("first_ms") >= 0 {
			samples = append(samples, Sample{number("prompt"), p.predicted, time.Duration(number("first_ms"))*time.Millisecond - p.waited})
		}
		delete(placings, id)
	}
	return samples, eris.Wrap(lines.Err(), "read log")
}

// WriteTable prints the error of the prediction by class.
func WriteTable(out io.Writer, samples []Sample) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "prompts\tstreams\tpredicted ms, median\tfirst event ms, median\terror ms, 10 % / median / 90 %")
	least := 0
	for _, c := range classes {
		var predicted, actual, errors []float64
		for _, s := range samples {
			if s.PromptTokens > least && s.PromptTokens <= c.upTo {
				predicted = append(predicted, float64(s.Predicted.Milliseconds()))
				actual = append(actual, float64(s.Actual.Milliseconds()))
				errors = append(errors, float64((s.Actual - s.Predicted).Milliseconds()))
			}
		}
		least = c.upTo
		if len(errors) == 0 {
			continue
		}
		at := func(values []float64, share float64) float64 {
			slices.Sort(values)
			return stat.Quantile(share, stat.Empirical, values, nil)
		}
		fmt.Fprintf(w, "%s\t%d\t%.0f\t%.0f\t%+.0f / %+.0f / %+.0f\n", c.name, len(errors), at(predicted, 0.5), at(actual, 0.5), at(errors, 0.1), at(errors, 0.5), at(errors, 0.9))
	}
	return eris.Wrap(w.Flush(), "write table")
}
