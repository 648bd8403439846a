package demo

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"siskinstand.example/fakes/engine"
	"siskinstand.example/fakes/plainservice"
	"siskinstand.example/loadgen/load"
	"siskinstand.example/loadgen/mix"
	engineapi "siskinstand.example/platform/engine"
)

func get(ctx context.Context, url string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, fmt.Errorf("%s answered with status %d", url, response.StatusCode)
	}
	return response, nil
}

func getJSON(ctx context.Context, url string, target any) error {
	response, err := get(ctx, url)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(target)
}

// started returns how many requests the endpoints of a zone have started.
func (r *run) started(ctx context.Context, zone string) (int64, error) {
	var sum int64
	for _, e := range r.layout.endpoints {
		if e.zone != zone {
			continue
		}
		counters := "http://" + e.backend + "/control/counters"
		var model engine.Counters
		var plain plainservice.Counters
		var err error
		if e.plain {
			err = getJSON(ctx, counters, &plain)
		} else {
			err = getJSON(ctx, counters, &model)
		}
		if err != nil {
			return 0, err
		}
		sum += int64(len(model.Attempts)) + plain.Calls
	}
	return sum, nil
}

// checkUseful fails if too little work was done for the checks to mean
// anything, or if a model request was lost although no engine failed.
func checkUseful(results []load.Result) error {
	whole, plain := 0, 0
	for _, r := range results {
		if r.Outcome == load.Whole {
			whole++
			if r.Item.Class == mix.ClassPlain {
				plain++
			}
		}
		if r.Item.Class != mix.ClassPlain && (r.Outcome == load.MayHaveRun || r.Outcome == load.Unsent) {
			return fmt.Errorf("invariant request_outcome broken: request %d ended as %s (%s) although nothing failed", r.Item.Index, r.Outcome, r.Reason)
		}
	}
	if 2*whole < len(results) || plain == 0 {
		return fmt.Errorf("only %d of %d answers are whole, %d of them plain calls", whole, len(results), plain)
	}
	return nil
}

// checkRuns compares the outcome of each plain call with the runs that the
// services counted.
func (r *run) checkRuns(ctx context.Context, runID string, results []load.Result) error {
	for _, result := range results {
		if result.Item.Class != mix.ClassPlain {
			continue
		}
		key := result.Item.Key(runID)
		runs, err := r.runs(ctx, key)
		if err != nil {
			return err
		}
		switch {
		case runs > 1:
			return fmt.Errorf("invariant at_most_once broken: call %s ran %d times", key, runs)
		case result.Outcome == load.NotRun && runs > 0:
			return fmt.Errorf("invariant not_run_true broken: call %s ran", key)
		case result.Outcome == load.Whole && runs == 0:
			return fmt.Errorf("call %s was answered but did not run", key)
		}
	}
	return nil
}

func (r *run) runs(ctx context.Context, key string) (int, error) {
	sum := 0
	for _, e := range r.layout.endpoints {
		if !e.plain {
			continue
		}
		var n int
		if err := getJSON(ctx, "http://"+e.backend+"/control/runs?key="+url.QueryEscape(key), &n); err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}

// checkCold fails if a cold engine got more work than it can handle.
func (r *run) checkCold(ctx context.Context) error {
	for _, e := range r.layout.endpoints {
		if e.plain {
			continue
		}
		var counters engine.Counters
		if err := getJSON(ctx, "http://"+e.backend+"/control/counters", &counters); err != nil {
			return err
		}
		if n := counters.CollapsedSteps; n > 0 {
			return fmt.Errorf("invariant ramp_limit broken: %s collapsed for %d steps while it was cold", e.name, n)
		}
	}
	return nil
}

// checkFleet fails if a process is behind the newest revision or has an alarm.
func (r *run) checkFleet(ctx context.Context) error {
	var arguments []string
	for _, g := range r.layout.gateways {
		arguments = append(arguments, "--gateway", g.peers)
	}
	return r.control(ctx, append(arguments, "status")...)
}

// checkMemory fails if an engine holds memory other than cached prefixes after
// the load has ended.
func (r *run) checkMemory(ctx context.Context) error {
	const settle = 12 * time.Second
	deadline := time.Now().Add(settle)
	for _, e := range r.layout.endpoints {
		if e.plain {
			continue
		}
		for {
			var state engineapi.State
			if err := getJSON(ctx, "http://"+e.backend+"/engine/state", &state); err != nil {
				return err
			}
			held := heldPiece(state)
			if held == "" {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("invariant memory_owner broken: %s still holds %s after %s", e.name, held, settle)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func heldPiece(state engineapi.State) string {
	for _, p := range state.Pieces {
		if p.Kind != engineapi.PiecePrefix {
			return fmt.Sprintf("%s %s", p.Kind, p.ID)
		}
	}
	return ""
}

// metricsDelay is longer than the interval at which processes publish counts.
const metricsDelay = 1500 * time.Millisecond

// checkMetrics fails if a process counted a violation of an invariant.
func (r *run) checkMetrics(ctx context.Context) error {
	time.Sleep(metricsDelay)
	for name, admin := range r.layout.admins() {
		response, err := get(ctx, "http://"+admin+"/metrics")
		if err != nil {
			return err
		}
		scanner := bufio.NewScanner(response.Body)
		for scanner.Scan() {
			if value, line := violations(scanner.Text()); value > 0 {
				response.Body.Close()
				return fmt.Errorf("%s counted violations: %s", name, line)
			}
		}
		response.Body.Close()
		if err := scanner.Err(); err != nil {
			return err
		}
	}
	return nil
}

// violations reads one line of the Prometheus text format.
func violations(line string) (float64, string) {
	if strings.HasPrefix(line, "#") || !strings.Contains(line, "invariant_violations") {
		return 0, ""
	}
	fields := strings.Fields(line)
	value, err := strconv.ParseFloat(fields[len(fields)-1], 64)
	if err != nil {
		return 0, ""
	}
	return value, line
}
